#include <kingcupseam/consensus.h>

#include <algorithm>

namespace kingcupseam::consensus {

namespace {

using members_list = std::vector<member_id>;

bool contains(const members_list& list, const member_id& id) {
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Sorts the members of a view into live and lost ones.
class member_liveness {
public:
    member_liveness(const replacement_view& view, duration lost_after, time_point now)
        : view_(view), lost_after_(lost_after), now_(now) {
        for (const member_id& id : view.members.voters) {
            (is_live(id) ? live_voters : lost_voters).push_back(id);
        }
    }

    bool is_live(const member_id& id) const {
        const member_status* it = status(id);
        return id == view_.leader || (it != nullptr && now_ - it->last_contact < lost_after_);
    }
    bool caught_up(const member_id& id) const {
        const member_status* it = status(id);
        return it != nullptr && it->caught_up;
    }
    std::optional<member_id> first_learner(bool lost) const {
        for (const member_id& id : view_.members.learners) {
            if (is_live(id) != lost) {
                return id;
            }
        }
        return std::nullopt;
    }
    std::optional<member_id> first_spare() const {
        for (const member_id& id : view_.spares) {
            if (!contains(view_.members.voters, id) && !contains(view_.members.learners, id)) {
                return id;
            }
        }
        return std::nullopt;
    }

    members_list live_voters;
    members_list lost_voters;

private:
    const member_status* status(const member_id& id) const {
        const auto it = std::find_if(view_.statuses.begin(), view_.statuses.end(),
                                     [&](const member_status& s) { return s.member == id; });
        return it == view_.statuses.end() ? nullptr : &*it;
    }

    const replacement_view& view_;
    duration lost_after_;
    time_point now_;
};

bool is_majority(std::size_t part, std::size_t whole) {
    return part > whole / 2;
}

std::optional<membership_change> next_removal(const member_liveness& state, const replacement_view& view,
                                              std::size_t wanted) {
    const std::size_t voters = view.members.voters.size();
    if (voters <= wanted) {
        return std::nullopt;
    }
    if (!state.lost_voters.empty()) {
        if (!is_majority(state.live_voters.size(), voters - 1)) {
            return std::nullopt;
        }
        return membership_change{change_kind::remove, state.lost_voters.front()};
    }
    // All voters are live, so any may be removed; keeping the leader avoids an election.
    for (const member_id& id : view.members.voters) {
        if (id != view.leader) {
            return membership_change{change_kind::remove, id};
        }
    }
    return std::nullopt;
}

std::optional<membership_change> next_addition(const member_liveness& state, const replacement_view& view) {
    const std::size_t voters = view.members.voters.size();
    if (const auto learner = state.first_learner(false)) {
        // The learner counts as live: a majority of the new voters must be able to commit the change.
        if (state.caught_up(*learner) && is_majority(state.live_voters.size() + 1, voters + 1)) {
            return membership_change{change_kind::promote, *learner};
        }
        return std::nullopt;
    }
    if (const auto spare = state.first_spare()) {
        return membership_change{change_kind::add_learner, *spare};
    }
    return std::nullopt;
}

} // namespace

replacement_view replacement_view_of(const node& source, const member_id& self, std::vector<member_id> spares,
                                     time_point now) {
    replacement_view view;
    view.leader = self;
    view.members = source.members();
    view.spares = std::move(spares);
    view.change_in_progress = source.change_in_progress();
    const auto add = [&](const member_id& id) {
        const auto contact = id == self ? std::optional(now) : source.last_contact(id);
        if (contact) {
            view.statuses.push_back({id, *contact, source.caught_up(id)});
        }
    };
    std::for_each(view.members.voters.begin(), view.members.voters.end(), add);
    std::for_each(view.members.learners.begin(), view.members.learners.end(), add);
    return view;
}

std::optional<membership_change> replacement_policy::next(const replacement_view& view,
                                                          time_point now) const {
    if (view.change_in_progress) {
        return std::nullopt;
    }
    const member_liveness state(view, settings_.lost_after, now);
    if (!is_majority(state.live_voters.size(), view.members.voters.size())) {
        return std::nullopt;
    }
    if (auto change = next_removal(state, view, settings_.voters)) {
        return change;
    }
    if (const auto learner = state.first_learner(true)) {
        return membership_change{change_kind::remove, *learner};
    }
    if (state.live_voters.size() < settings_.voters) {
        return next_addition(state, view);
    }
    if (const auto learner = state.first_learner(false)) {
        // The voter that it was to replace is live again.
        return membership_change{change_kind::remove, *learner};
    }
    return std::nullopt;
}

} // namespace kingcupseam::consensus
