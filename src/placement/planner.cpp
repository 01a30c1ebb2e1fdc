#include <kingcupseam/placement.h>

#include <algorithm>
#include <cmath>

namespace kingcupseam::placement {

namespace {

const service_placement* find_placement(const planner_view& view, const std::string& service) {
    const auto found = view.state.services.find(service);
    return found == view.state.services.end() ? nullptr : &found->second;
}

const granted_holds& holds_granted_to(const placement_state& state, const std::string& data_center) {
    static const granted_holds none;
    const auto found = state.granted.find(data_center);
    return found == state.granted.end() ? none : found->second;
}

std::uint32_t slots_of(const std::map<std::string, std::uint32_t>& slots, const std::string& data_center) {
    const auto found = slots.find(data_center);
    return found == slots.end() ? 0 : found->second;
}

std::map<std::string, duration> wanted_holds(const planner_view& view) {
    std::map<std::string, duration> holds;
    for (const auto& [name, it] : view.services) {
        holds[name] = it.hold;
    }
    return holds;
}

/// The holds of the profile, or longer ones where the data centre may still use them. A request older than
/// the last lengthening may come from a former leader of the data centre, so it shortens no hold.
std::map<std::string, duration> next_holds(const contact_request& request, const granted_holds& granted,
                                           const planner_view& view) {
    auto holds = wanted_holds(view);
    for (const auto& [service, hold] : granted.holds) {
        auto may_use = hold;
        if (request.version >= granted.lengthened_at) {
            const auto used = request.holds.find(service);
            may_use = used == request.holds.end() ? duration::zero() : std::min(used->second, hold);
        }
        if (may_use > duration::zero()) {
            auto& next = holds[service];
            next = std::max(next, may_use);
        }
    }
    return holds;
}

data_center_assignment assignment_for(const std::string& data_center, const planner_view& view) {
    data_center_assignment result;
    result.version = view.state.version;
    for (const auto& [service, placement] : view.state.services) {
        const auto wanted = view.services.find(service);
        const auto position =
            std::find(placement.data_centers.begin(), placement.data_centers.end(), data_center);
        if (wanted == view.services.end()) {
            continue;
        }
        auto& assigned = result.services[service];
        assigned.hold = wanted->second.hold;
        const auto self = static_cast<std::int16_t>(position - placement.data_centers.begin());
        for (std::uint32_t shard = 0; shard < placement.placements.size(); ++shard) {
            if (placement.placements[shard] != self) {
                continue;
            }
            const auto release = placement.releases.find(shard);
            if (release == placement.releases.end()) {
                assigned.shards.insert(shard);
            } else {
                assigned.releasing[shard] = release->second.begun;
            }
        }
    }
    return result;
}

std::map<std::string, duration> holds_of(const data_center_assignment& assignment) {
    std::map<std::string, duration> holds;
    for (const auto& [service, it] : assignment.services) {
        holds[service] = it.hold;
    }
    return holds;
}

/// Appends data centres that are new, so that the indexes in pending releases stay valid.
std::vector<std::string> all_data_centers(const service_placement& placement, const service_view& wanted) {
    auto names = placement.data_centers;
    for (const auto& [name, slots] : wanted.slots) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(name);
        }
    }
    return names;
}

/// Whether a data centre gained or lost more than @p threshold, a fraction of its slots, since the last
/// planning.
bool slots_changed(const std::map<std::string, std::uint32_t>& planned_slots,
                   const std::map<std::string, std::uint32_t>& slots, double threshold) {
    auto names = planned_slots;
    names.insert(slots.begin(), slots.end());
    return std::any_of(names.begin(), names.end(), [&](const auto& it) {
        const double before = slots_of(planned_slots, it.first);
        return std::abs(slots_of(slots, it.first) - before) > threshold * before;
    });
}

} // namespace

placement_planner::placement_planner(const planner_options& options, time_point elected)
    : options_(options), elected_(elected) {}

contact_effects placement_planner::on_contact(const contact_request& request, const planner_view& view,
                                              time_point now) {
    contact_effects result;
    if (now >= view.leadership_valid_until) {
        return result;
    }
    auto& last = last_contact_[request.data_center];
    last = std::max(last, now);
    for (const auto& it : request.released) {
        const auto* placement = find_placement(view, it.service);
        if (placement != nullptr &&
            std::any_of(it.begun.begin(), it.begun.end(), [placement](const auto& shard) {
                const auto found = placement->releases.find(shard.first);
                return found != placement->releases.end() && found->second.begun == shard.second;
            })) {
            result.commands.emplace_back(it);
        }
    }
    const auto& granted = holds_granted_to(view.state, request.data_center);
    const auto wanted = next_holds(request, granted, view);
    const auto taken_over = takeover_contact_counts_.find(request.data_center);
    const bool must_commit =
        taken_over != takeover_contact_counts_.end() && granted.contact_count <= taken_over->second;
    if (must_commit || granted.contact_count == 0 || wanted != granted.holds) {
        // No reply until it is applied: otherwise a shorter hold that is still being committed could take
        // effect after a reply that grants a longer one.
        result.commands.emplace_back(contact{request.data_center, wanted});
        return result;
    }
    contact_reply reply{request.holder, request.number, {}};
    auto assigned = assignment_for(request.data_center, view);
    if (request.version != assigned.version || request.holds != holds_of(assigned)) {
        reply.assigned = std::move(assigned);
    }
    result.reply = std::move(reply);
    return result;
}

bool placement_planner::reachable(const std::string& data_center, time_point now) const {
    const auto found = last_contact_.find(data_center);
    return found != last_contact_.end() && now - found->second <= options_.contact_timeout;
}

bool placement_planner::hold_expired(const std::string& service, const std::string& data_center,
                                     const planner_view& view, time_point now) const {
    const auto found = last_contact_.find(data_center);
    const auto since = found == last_contact_.end() ? elected_ : found->second;
    const auto& holds = holds_granted_to(view.state, data_center).holds;
    const auto granted = holds.find(service);
    const auto hold = granted == holds.end() ? view.services.at(service).hold : granted->second;
    return now > since + hold + drift_margin(hold);
}

std::vector<command> placement_planner::plan(const planner_view& view, time_point now) {
    std::vector<command> result;
    for (const auto& [service, it] : view.services) {
        const auto* placement = find_placement(view, service);
        const auto version = placement == nullptr ? 0 : placement->version;
        auto& progress = progress_[service];
        if (progress.issued_at && progress.issued_for_version == version &&
            now - *progress.issued_at < options_.retry_after) {
            continue;
        }
        auto change = placement == nullptr ? plan_initial_placement(service, view, now)
                                           : plan_takeover(service, view, now);
        if (!change && placement != nullptr) {
            change = plan_rebalance(service, view, now);
        }
        if (change) {
            progress.issued_for_version = version;
            progress.issued_at = now;
            result.push_back(std::move(*change));
        }
    }
    return result;
}

std::optional<command> placement_planner::plan_initial_placement(const std::string& service,
                                                                 const planner_view& view, time_point now) {
    const auto& wanted = view.services.at(service);
    auto& progress = progress_[service];
    set_placement change;
    change.service = service;
    std::vector<std::uint32_t> slots;
    for (const auto& [name, count] : wanted.slots) {
        if (count > 0 && reachable(name, now)) {
            change.data_centers.push_back(name);
            change.planned_slots[name] = count;
            slots.push_back(count);
        }
    }
    if (slots.empty()) {
        progress.slots_seen_since.reset();
        return std::nullopt;
    }
    if (!progress.slots_seen_since) {
        progress.slots_seen_since = now;
    }
    if (now - *progress.slots_seen_since < options_.initial_placement_delay) {
        return std::nullopt;
    }
    change.placements =
        spread_shards(std::vector<std::int16_t>(wanted.shards, unplaced), slots,
                      std::vector<bool>(wanted.shards, true), std::vector<bool>(slots.size(), true));
    return change;
}

std::optional<command> placement_planner::plan_takeover(const std::string& service, const planner_view& view,
                                                        time_point now) {
    const auto& wanted = view.services.at(service);
    const auto& placement = *find_placement(view, service);
    set_placement change;
    change.service = service;
    change.base_version = placement.version;
    change.data_centers = all_data_centers(placement, wanted);
    auto current = placement.placements;
    std::vector<std::uint32_t> slots;
    std::vector<bool> may_gain;
    for (std::size_t n = 0; n < change.data_centers.size(); ++n) {
        const auto& name = change.data_centers[n];
        const bool expired = hold_expired(service, name, view, now);
        slots.push_back(expired ? 0 : slots_of(wanted.slots, name));
        may_gain.push_back(reachable(name, now));
        change.planned_slots[name] = slots.back();
        const auto self = static_cast<std::int16_t>(n);
        if (expired && std::count(current.begin(), current.end(), self) > 0) {
            std::replace(current.begin(), current.end(), self, unplaced);
            change.contact_counts[name] = holds_granted_to(view.state, name).contact_count;
        }
    }
    if (std::count(current.begin(), current.end(), unplaced) == 0) {
        return std::nullopt;
    }
    change.placements = spread_shards(current, slots, std::vector<bool>(current.size(), false), may_gain);
    if (change.placements == current) {
        return std::nullopt;
    }
    for (const auto& [name, count] : change.contact_counts) {
        takeover_contact_counts_[name] = count;
    }
    return change;
}

std::optional<command> placement_planner::plan_rebalance(const std::string& service, const planner_view& view,
                                                         time_point now) {
    const auto& wanted = view.services.at(service);
    const auto& placement = *find_placement(view, service);
    auto& progress = progress_[service];
    const auto names = all_data_centers(placement, wanted);
    std::vector<std::uint32_t> slots;
    std::vector<bool> active;
    std::map<std::string, std::uint32_t> planned_slots;
    for (const auto& name : names) {
        // A data centre without contact keeps its former slots: its shards move only by a takeover.
        const bool in_contact = reachable(name, now);
        active.push_back(in_contact);
        slots.push_back(in_contact ? slots_of(wanted.slots, name) : slots_of(placement.planned_slots, name));
        planned_slots[name] = slots.back();
    }
    if (!placement.releases.empty() ||
        !slots_changed(placement.planned_slots, planned_slots, options_.rebalance_threshold)) {
        progress.changed_since.reset();
        return std::nullopt;
    }
    if (!progress.changed_since) {
        progress.changed_since = now;
    }
    if (now - *progress.changed_since < options_.rebalance_delay) {
        return std::nullopt;
    }
    std::vector<bool> movable;
    for (const auto it : placement.placements) {
        movable.push_back(it != unplaced && active[static_cast<std::size_t>(it)]);
    }
    const auto next = spread_shards(placement.placements, slots, movable, active);
    begin_release change{service, placement.version, {}, std::move(planned_slots)};
    for (std::uint32_t shard = 0; shard < next.size(); ++shard) {
        if (next[shard] != placement.placements[shard]) {
            change.next[shard] = names[static_cast<std::size_t>(next[shard])];
        }
    }
    progress.changed_since.reset();
    return change;
}

} // namespace kingcupseam::placement
