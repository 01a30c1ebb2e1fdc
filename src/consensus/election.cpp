#include "consensus/state.h"

namespace kingcupseam::consensus {

namespace {

std::string encode_vote(const member_id& id) {
    return id.name + "#" + std::to_string(id.incarnation);
}

} // namespace

bool node::state::heard_leader_recently() const {
    return current == role::leader || now - leader_contact < settings.election_timeout;
}

bool node::state::votes_provisionally() const {
    return settings.elect_after_restart && current != role::leader && !heard_since_start &&
           heard_leader_recently();
}

bool node::state::up_to_date(const message& candidate) const {
    const std::uint64_t last = store.last_index();
    return std::pair(candidate.last_term, candidate.last_index) >= std::pair(*store.term_at(last), last);
}

void node::state::start_pre_vote() {
    leader.reset();
    if (!is_voter(settings.self)) {
        fire("not_a_voter");
        reset_deadline();
        return;
    }
    if (!fire("election_timeout")) {
        return;
    }
    votes = {settings.self};
    provisional_votes = votes_provisionally();
    // Other voters may have heard from the leader up to a heartbeat later than this one, and vote once that
    // is an election timeout ago. A retry after a whole election timeout would delay the election.
    schedule_retry(1);
    if (has_won()) {
        start_election();
        return;
    }
    request_votes(message_kind::pre_vote_request, persistent.term + 1);
}

void node::state::schedule_retry(std::uint64_t spread) {
    const auto range = static_cast<std::uint64_t>(settings.heartbeat_interval.count()) * spread + 1;
    deadline = now + settings.heartbeat_interval + duration(static_cast<std::int64_t>(random() % range));
}

void node::state::start_election() {
    if (!fire("pre_vote_won")) {
        return;
    }
    save_term_and_vote(persistent.term + 1, encode_vote(settings.self));
    votes = {settings.self};
    provisional_votes = votes_provisionally();
    // Split votes are frequent while only two voters are live. Waiting an election timeout after a split vote
    // made elections with three voters take more than 400 ms.
    schedule_retry(2);
    if (has_won()) {
        become_leader();
        return;
    }
    request_votes(message_kind::vote_request, persistent.term);
}

void node::state::request_votes(message_kind kind, std::uint64_t term) {
    for (const member_id& id : latest_membership().voters) {
        if (id == settings.self) {
            continue;
        }
        message m;
        m.kind = kind;
        m.to = id;
        m.term = term;
        m.last_index = store.last_index();
        m.last_term = *store.term_at(m.last_index);
        send(std::move(m));
    }
}

void node::state::on_pre_vote_request(const message& m) {
    const bool granted =
        m.term > persistent.term && (!heard_leader_recently() || votes_provisionally()) && up_to_date(m);
    message reply = reply_to(m, message_kind::pre_vote_reply, granted);
    if (granted) {
        reply.term = m.term;
        reply.provisional = votes_provisionally();
    }
    send(std::move(reply));
}

void node::state::on_pre_vote_reply(const message& m) {
    if (!m.accepted) {
        if (m.term > persistent.term) {
            become_follower("higher_term", m.term, std::nullopt);
        }
        return;
    }
    if (current != role::pre_candidate || m.term != persistent.term + 1 || !is_voter(m.from)) {
        return;
    }
    votes.insert(m.from);
    provisional_votes = provisional_votes || m.provisional;
    if (has_won()) {
        start_election();
    }
}

void node::state::on_vote_request(const message& m) {
    // The leader's lease relies on voters that neither vote nor adopt a candidate's term while they hear from
    // the leader.
    if (heard_leader_recently() && !votes_provisionally()) {
        send(reply_to(m, message_kind::vote_reply, false));
        return;
    }
    if (m.term > persistent.term) {
        become_follower("higher_term", m.term, std::nullopt);
    }
    const std::string wanted = encode_vote(m.from);
    const bool free = persistent.voted_for.empty() || persistent.voted_for == wanted;
    const bool granted = m.term == persistent.term && free && up_to_date(m);
    if (granted) {
        if (persistent.voted_for.empty()) {
            save_term_and_vote(persistent.term, wanted);
        }
        reset_deadline();
    }
    message reply = reply_to(m, message_kind::vote_reply, granted);
    reply.provisional = granted && votes_provisionally();
    send(std::move(reply));
}

void node::state::on_vote_reply(const message& m) {
    if (m.term > persistent.term) {
        become_follower("higher_term", m.term, std::nullopt);
        return;
    }
    if (current != role::candidate || m.term != persistent.term || !m.accepted || !is_voter(m.from)) {
        return;
    }
    votes.insert(m.from);
    provisional_votes = provisional_votes || m.provisional;
    if (has_won()) {
        become_leader();
    }
}

void node::state::become_leader() {
    if (!fire("vote_won")) {
        return;
    }
    leader = settings.self;
    round = 0;
    round_starts.clear();
    valid_until = {};
    update_peers();
    // An entry of an earlier term may be counted as committed only through a later entry of this term.
    term_start = append_entry(storage::entry_kind::no_op, "");
    start_round();
    advance_commit();
}

void node::state::check_quorum() {
    std::size_t heard = is_voter(settings.self) ? 1 : 0;
    for (const auto& [id, it] : peers) {
        if (is_voter(id) && now - it.contact < settings.election_timeout) {
            ++heard;
        }
    }
    if (heard < quorum()) {
        become_follower("quorum_lost", persistent.term, std::nullopt);
    }
}

} // namespace kingcupseam::consensus
