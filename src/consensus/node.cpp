#include "consensus/state.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace kingcupseam::consensus {

not_leader::not_leader() : error("this node is not the leader") {}

node::state::state(options given, storage::log_store& log, time_point start)
    : settings(std::move(given)), store(log), random(settings.seed), persistent(log.load_hard_state()),
      now(start),
      // A restarted voter may have heard from a leader just before, so it waits as if it just had.
      leader_contact(start) {
    if (auto base = store.load_snapshot()) {
        commit = applied = base->index;
        out.install = std::move(base);
    }
    load_memberships();
    if (settings.elect_after_restart) {
        schedule_retry(1);
    } else {
        reset_deadline();
    }
}

void node::state::dispatch(const message& m) {
    if (m.group != settings.group || m.to != settings.self || m.from == settings.self) {
        return;
    }
    switch (m.kind) {
    case message_kind::pre_vote_request:
        return on_pre_vote_request(m);
    case message_kind::pre_vote_reply:
        return on_pre_vote_reply(m);
    case message_kind::vote_request:
        return on_vote_request(m);
    case message_kind::vote_reply:
        return on_vote_reply(m);
    case message_kind::append_request:
        return on_append_request(m);
    case message_kind::snapshot_request:
        return on_snapshot_request(m);
    case message_kind::append_reply:
    case message_kind::snapshot_reply:
        return on_reply(m);
    }
}

effects node::state::take_effects() {
    if (applied < commit) {
        out.committed = store.entries(applied + 1, std::numeric_limits<std::size_t>::max());
        out.committed.resize(commit - applied);
        applied = commit;
    }
    return std::exchange(out, {});
}

bool node::state::fire(std::string_view event) {
    constexpr std::array<std::string_view, 4> names{"follower", "pre_candidate", "candidate", "leader"};
    if (!roles.fire(event)) {
        return false;
    }
    const auto it = std::find(names.begin(), names.end(), roles.current());
    if (it == names.end()) {
        throw statechart::unknown_state("consensus_role", roles.current());
    }
    current = static_cast<role>(it - names.begin());
    return true;
}

void node::state::become_follower(std::string_view event, std::uint64_t term,
                                  const std::optional<member_id>& new_leader) {
    const role before = current;
    if (!fire(event)) {
        return;
    }
    if (before == role::leader) {
        // The lease of this leadership may still be relied on, so the former leader must not vote before the
        // lease ends.
        leader_contact = now;
    }
    if (before != role::follower) {
        reset_deadline();
    }
    if (term > persistent.term) {
        save_term_and_vote(term, "");
    }
    leader = new_leader;
    peers.clear();
    votes.clear();
    round_starts.clear();
    valid_until = {};
}

void node::state::save_term_and_vote(std::uint64_t term, const std::string& vote) {
    const storage::hard_state next{term, vote};
    store.save_hard_state(next);
    persistent = next;
}

void node::state::reset_deadline() {
    const auto range = static_cast<std::uint64_t>(settings.election_timeout.count()) + 1;
    deadline = now + settings.election_timeout + duration(static_cast<std::int64_t>(random() % range));
}

message node::state::reply_to(const message& m, message_kind kind, bool accepted) const {
    message reply;
    reply.kind = kind;
    reply.to = m.from;
    reply.term = persistent.term;
    reply.accepted = accepted;
    reply.round = m.round;
    return reply;
}

void node::state::send(message m) {
    m.group = settings.group;
    m.from = settings.self;
    out.messages.push_back(std::move(m));
}

node::node(options settings, storage::log_store& store, time_point now)
    : state_(std::make_shared<state>(std::move(settings), store, now)) {}

void node::bootstrap(storage::log_store& store, const membership& members) {
    if (store.last_index() != 0) {
        throw change_refused("the store is not empty");
    }
    // The term is stored first: a crash in between leaves an empty log, so that the call can be repeated.
    store.save_hard_state({1, ""});
    const storage::entry first{1, 1, storage::entry_kind::membership, encode(members)};
    store.append(std::span(&first, 1));
}

effects node::receive(const message& received, time_point now) {
    state_->now = now;
    try {
        state_->dispatch(received);
    } catch (const invalid_input&) {
        state_->out.messages.clear();
    }
    return state_->take_effects();
}

effects node::tick(time_point now) {
    state& s = *state_;
    s.now = now;
    if (s.current == role::leader) {
        s.check_quorum();
    }
    if (s.current == role::leader && now >= s.next_heartbeat) {
        s.start_round();
    }
    if (s.current != role::leader && now >= s.deadline) {
        s.start_pre_vote();
    }
    return s.take_effects();
}

std::uint64_t node::propose(std::string data, time_point now, effects& out) {
    state& s = *state_;
    s.now = now;
    if (s.current != role::leader) {
        throw not_leader();
    }
    const std::uint64_t index = s.append_entry(storage::entry_kind::command, std::move(data));
    s.broadcast_entries();
    s.advance_commit();
    out = s.take_effects();
    return index;
}

std::uint64_t node::change_membership(const membership_change& wanted, time_point now, effects& out) {
    state& s = *state_;
    s.now = now;
    if (s.current != role::leader) {
        throw not_leader();
    }
    const membership next = s.membership_after(wanted);
    const std::uint64_t index = s.append_entry(storage::entry_kind::membership, encode(next));
    s.add_membership(index, next);
    s.update_peers();
    s.broadcast_entries();
    s.advance_commit();
    out = s.take_effects();
    return index;
}

void node::compact(std::uint64_t index, std::string data) {
    state& s = *state_;
    if (index > s.applied || index < s.store.first_index()) {
        throw invalid_input("compact", "index", "must be an applied entry of the log");
    }
    auto at = s.memberships.begin();
    while (std::next(at) != s.memberships.end() && std::next(at)->first <= index) {
        ++at;
    }
    s.store.save_snapshot({index, *s.store.term_at(index), encode(at->second), std::move(data)});
    s.memberships.erase(s.memberships.begin(), at);
}

role node::current_role() const noexcept {
    return state_->current;
}
std::uint64_t node::term() const noexcept {
    return state_->persistent.term;
}
std::uint64_t node::commit_index() const noexcept {
    return state_->commit;
}
std::optional<member_id> node::leader() const {
    return state_->leader;
}
const membership& node::members() const noexcept {
    return state_->latest_membership();
}
bool node::change_in_progress() const noexcept {
    return state_->change_pending();
}
bool node::caught_up(const member_id& learner) const {
    return state_->caught_up(learner);
}
time_point node::leadership_valid_until() const noexcept {
    return state_->valid_until;
}

std::optional<time_point> node::last_contact(const member_id& member) const {
    const auto it = state_->peers.find(member);
    return it == state_->peers.end() ? std::nullopt : std::optional(it->second.contact);
}

} // namespace kingcupseam::consensus
