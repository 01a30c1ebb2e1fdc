#include "consensus/state.h"

#include <algorithm>

namespace kingcupseam::consensus {

void check_entries(const std::vector<storage::entry>& entries, std::uint64_t previous) {
    for (const storage::entry& it : entries) {
        if (it.index != ++previous) {
            throw invalid_input("append", "entries", "must follow the previous entry without a gap");
        }
        if (it.kind == storage::entry_kind::membership) {
            (void)decode_membership(it.data);
        }
    }
}

/// Accepts the sender as the leader of its term, or refuses the message if that term has ended.
bool node::state::accept_leader(const message& m, message_kind reply) {
    if (m.term < persistent.term) {
        send(reply_to(m, reply, false));
        return false;
    }
    if (m.term > persistent.term || current != role::follower) {
        become_follower(m.term > persistent.term ? "higher_term" : "leader_seen", m.term, m.from);
    }
    leader = m.from;
    leader_contact = now;
    heard_since_start = true;
    reset_deadline();
    return true;
}

void node::state::on_append_request(const message& m) {
    check_entries(m.entries, m.last_index);
    if (!accept_leader(m, message_kind::append_reply) || !check_previous(m)) {
        return;
    }
    store_entries(m);
    const std::uint64_t match = m.last_index + m.entries.size();
    commit = std::max(commit, std::min(m.commit_index, match));
    message reply = reply_to(m, message_kind::append_reply, true);
    reply.match_index = match;
    send(std::move(reply));
}

/// Refuses an append whose previous entry is not in this log; the reply hints at the index to retry from.
bool node::state::check_previous(const message& m) {
    if (m.last_index <= commit) {
        return true;
    }
    const auto term = store.term_at(m.last_index);
    if (term == m.last_term) {
        return true;
    }
    std::uint64_t hint = store.last_index();
    if (term) {
        hint = m.last_index;
        while (hint > commit && store.term_at(hint) == term) {
            --hint;
        }
    }
    message reply = reply_to(m, message_kind::append_reply, false);
    reply.match_index = hint;
    send(std::move(reply));
    return false;
}

void node::state::store_entries(const message& m) {
    const auto first_new = std::find_if(m.entries.begin(), m.entries.end(), [&](const storage::entry& it) {
        return it.index > commit && store.term_at(it.index) != it.term;
    });
    if (first_new == m.entries.end()) {
        return;
    }
    if (first_new->index <= store.last_index()) {
        store.truncate_after(first_new->index - 1);
        drop_memberships_after(first_new->index - 1);
    }
    store.append(std::span(first_new, m.entries.end()));
    for (auto it = first_new; it != m.entries.end(); ++it) {
        if (it->kind == storage::entry_kind::membership) {
            add_membership(it->index, decode_membership(it->data));
        }
    }
}

void node::state::on_snapshot_request(const message& m) {
    if (!m.state) {
        return;
    }
    (void)decode_membership(m.state->membership);
    if (!accept_leader(m, message_kind::snapshot_reply)) {
        return;
    }
    if (m.state->index > commit) {
        store.save_snapshot(*m.state);
        commit = applied = m.state->index;
        out.install = m.state;
        load_memberships();
    }
    message reply = reply_to(m, message_kind::snapshot_reply, true);
    reply.match_index = m.state->index;
    send(std::move(reply));
}

} // namespace kingcupseam::consensus
