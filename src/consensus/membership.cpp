#include "consensus/state.h"

#include <algorithm>

namespace kingcupseam::consensus {

namespace {

bool contains(const std::vector<member_id>& list, const member_id& id) {
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

void node::state::load_memberships() {
    memberships.clear();
    const auto base = store.load_snapshot();
    memberships.emplace_back(base ? base->index : 0,
                             base ? decode_membership(base->membership) : membership{});
    for (std::uint64_t next = store.first_index(); next <= store.last_index();) {
        for (const auto& it : store.entries(next, settings.max_append_bytes)) {
            if (it.kind == storage::entry_kind::membership) {
                add_membership(it.index, decode_membership(it.data));
            }
            next = it.index + 1;
        }
    }
}

void node::state::add_membership(std::uint64_t index, const membership& next) {
    memberships.emplace_back(index, next);
}

void node::state::drop_memberships_after(std::uint64_t index) {
    while (memberships.size() > 1 && memberships.back().first > index) {
        memberships.pop_back();
    }
}

membership node::state::membership_after(const membership_change& wanted) const {
    if (change_pending()) {
        throw change_refused("another membership change is in progress");
    }
    // Otherwise two successive leaders could commit memberships whose majorities do not overlap.
    if (commit < term_start) {
        throw change_refused("the leader has not committed an entry of its term yet");
    }
    membership next = latest_membership();
    const bool voter = contains(next.voters, wanted.member);
    const bool learner = contains(next.learners, wanted.member);
    switch (wanted.kind) {
    case change_kind::add_learner:
        if (voter || learner) {
            throw change_refused("already a member");
        }
        next.learners.push_back(wanted.member);
        break;
    case change_kind::promote:
        if (!learner || !caught_up(wanted.member)) {
            throw change_refused("not a learner, or a learner that has not caught up");
        }
        std::erase(next.learners, wanted.member);
        next.voters.push_back(wanted.member);
        break;
    case change_kind::remove:
        if ((!voter && !learner) || (voter && next.voters.size() == 1)) {
            throw change_refused(voter ? "the last voter cannot be removed" : "not a member");
        }
        std::erase(next.learners, wanted.member);
        std::erase(next.voters, wanted.member);
        break;
    }
    return next;
}

void node::state::update_peers() {
    std::map<member_id, peer> next;
    const auto add = [&](const member_id& id) {
        if (id == settings.self) {
            return;
        }
        const auto it = current == role::leader ? peers.find(id) : peers.end();
        if (it != peers.end()) {
            next.emplace(id, it->second);
            return;
        }
        peer fresh;
        fresh.next = store.last_index() + 1;
        fresh.contact = now;
        next.emplace(id, fresh);
    };
    std::for_each(latest_membership().voters.begin(), latest_membership().voters.end(), add);
    std::for_each(latest_membership().learners.begin(), latest_membership().learners.end(), add);
    peers = std::move(next);
}

bool node::state::is_voter(const member_id& id) const {
    return contains(latest_membership().voters, id);
}

bool node::state::caught_up(const member_id& id) const {
    const auto it = peers.find(id);
    return it != peers.end() && commit >= term_start && it->second.match >= commit;
}

} // namespace kingcupseam::consensus
