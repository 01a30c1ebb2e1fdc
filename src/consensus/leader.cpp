#include "consensus/state.h"

#include <algorithm>

namespace kingcupseam::consensus {

namespace {

/// The highest value that at least @p quorum of the voters have reached.
std::uint64_t reached_by(std::vector<std::uint64_t> values, std::size_t quorum) {
    std::sort(values.begin(), values.end(), std::greater<>());
    return quorum <= values.size() ? values[quorum - 1] : 0;
}

} // namespace

std::uint64_t node::state::append_entry(storage::entry_kind kind, std::string data) {
    const storage::entry next{store.last_index() + 1, persistent.term, kind, std::move(data)};
    store.append(std::span(&next, 1));
    return next.index;
}

void node::state::start_round() {
    ++round;
    round_starts.emplace_back(round, now);
    next_heartbeat = now + settings.heartbeat_interval;
    for (auto& [id, it] : peers) {
        send_append(id, it);
    }
    update_lease();
}

void node::state::broadcast_entries() {
    for (auto& [id, it] : peers) {
        if (!it.probing && !it.snapshot_sent) {
            send_append(id, it);
        }
    }
}

void node::state::send_append(const member_id& id, peer& to) {
    // A large snapshot may take several heartbeats to arrive, so it is resent only after four election
    // timeouts.
    if (to.snapshot_sent && now - *to.snapshot_sent < 4 * settings.election_timeout) {
        send_empty_heartbeat(id, to);
        return;
    }
    const std::uint64_t previous = to.next - 1;
    const auto previous_term = store.term_at(previous);
    if (!previous_term) {
        send_snapshot(id, to);
        return;
    }
    to.snapshot_sent.reset();
    message m;
    m.to = id;
    m.term = persistent.term;
    m.last_index = previous;
    m.last_term = *previous_term;
    m.commit_index = commit;
    m.round = round;
    m.entries = store.entries(to.next, settings.max_append_bytes);
    if (!to.probing) {
        to.next += m.entries.size();
    }
    send(std::move(m));
}

void node::state::send_snapshot(const member_id& id, peer& to) {
    message m;
    m.kind = message_kind::snapshot_request;
    m.to = id;
    m.term = persistent.term;
    m.commit_index = commit;
    m.round = round;
    m.state = store.load_snapshot();
    to.snapshot_sent = now;
    to.next = m.state->index + 1;
    send(std::move(m));
}

/// Sends a heartbeat without log position, while a snapshot is in transit.
void node::state::send_empty_heartbeat(const member_id& id, const peer&) {
    message m;
    m.to = id;
    m.term = persistent.term;
    m.round = round;
    send(std::move(m));
}

void node::state::on_reply(const message& m) {
    if (m.term > persistent.term) {
        become_follower("higher_term", m.term, std::nullopt);
        return;
    }
    const auto it = peers.find(m.from);
    if (current != role::leader || m.term != persistent.term || it == peers.end()) {
        return;
    }
    peer& from = it->second;
    from.contact = now;
    from.acked_round = std::max(from.acked_round, std::min(m.round, round));
    update_lease();
    if (!m.accepted) {
        on_rejected(m, from);
        return;
    }
    from.match = std::max(from.match, std::min(m.match_index, store.last_index()));
    if (from.snapshot_sent && from.match + 1 < from.next) {
        return;
    }
    from.snapshot_sent.reset();
    from.probing = false;
    from.next = std::max(from.next, from.match + 1);
    if (from.next <= store.last_index()) {
        send_append(m.from, from);
    }
    advance_commit();
}

void node::state::on_rejected(const message& m, peer& from) {
    if (from.snapshot_sent) {
        return;
    }
    from.next = std::max(std::min(from.next, m.match_index + 1), from.match + 1);
    from.probing = true;
    send_append(m.from, from);
}

void node::state::advance_commit() {
    std::vector<std::uint64_t> matches;
    for (const member_id& id : latest_membership().voters) {
        const auto it = peers.find(id);
        matches.push_back(it == peers.end() ? store.last_index() : it->second.match);
    }
    const std::uint64_t reached = reached_by(std::move(matches), quorum());
    if (reached <= commit || store.term_at(reached) != persistent.term) {
        return;
    }
    commit = reached;
    if (!change_pending() && !is_voter(settings.self)) {
        become_follower("not_a_voter", persistent.term, std::nullopt);
    }
}

void node::state::update_lease() {
    std::vector<std::uint64_t> rounds;
    for (const member_id& id : latest_membership().voters) {
        const auto it = peers.find(id);
        rounds.push_back(it == peers.end() ? round : it->second.acked_round);
    }
    const std::uint64_t confirmed = reached_by(std::move(rounds), quorum());
    while (!round_starts.empty() && round_starts.front().first < confirmed) {
        round_starts.pop_front();
    }
    if (!round_starts.empty() && round_starts.front().first == confirmed) {
        const duration lease = settings.election_timeout - settings.election_timeout / 10;
        valid_until = std::max(valid_until, round_starts.front().second + lease);
    }
}

} // namespace kingcupseam::consensus
