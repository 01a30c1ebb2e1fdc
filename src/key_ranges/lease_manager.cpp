#include <kingcupseam/key_ranges.h>

#include <algorithm>

namespace kingcupseam::key_ranges {

namespace {

using directory::key_range;
using directory::range_map;
using directory::snapshot;
using directory::upstream;

std::vector<key_range> unassigned_ranges(const range_map* owned) {
    std::vector<key_range> result;
    key_number next = 0;
    if (owned != nullptr) {
        for (const auto& [first, it] : *owned) {
            if (first > next) {
                result.push_back({next, first - 1, {}, 0});
            }
            next = it.last + 1;
        }
    }
    if (next <= directory::last_key) {
        result.push_back({next, directory::last_key, {}, 0});
    }
    return result;
}

void add_assignments(const std::string& service, const std::vector<planned_move>& moves,
                     directory::command& out) {
    for (const auto& it : moves) {
        out.assignments.push_back({service, it.first, it.last, it.target});
    }
}

} // namespace

time_point lease_manager::lease::may_hold_until() const {
    return std::max({answered_until, unanswered_until, lower_epochs_until});
}

bool lease_manager::lease::is_settled(time_point now) const {
    return confirmed && unanswered_until <= now && lower_epochs_until <= now;
}

lease_manager::lease_manager(lease_manager_options settings, time_point elected)
    : settings_(settings), elected_(elected) {}

duration lease_manager::max_lease_duration(duration lease_time) const {
    return std::chrono::duration_cast<duration>(lease_time * (1 + settings_.clock_error)) + settings_.margin;
}

lease_manager::effects lease_manager::tick(const view& known, time_point now) {
    effects out;
    if (!renumbered_) {
        // An upstream that has answered a new epoch refuses what former leaders sent earlier.
        if (!renumber_proposed_) {
            out.command.renumber_epochs = true;
            renumber_proposed_ = true;
            command_open_ = true;
        }
        return out;
    }
    synchronize(known.state);
    for (const auto& [id, it] : known.state.upstreams) {
        first_seen_.try_emplace(it.service, now);
    }
    if (!known.state.config) {
        return out;
    }
    for (const auto& [name, service] : known.state.config->services) {
        if (!service.key_ranges) {
            continue;
        }
        if (!command_open_) {
            assign_vacant(name, known, now, out);
            finish_moves(name, out);
            start_moves(name, known, now, out);
        }
        send_due_calls(name, known, now, out);
    }
    command_open_ = command_open_ || !out.command.empty();
    return out;
}

void lease_manager::synchronize(const snapshot& state) {
    if (state.index == synchronized_index_) {
        return;
    }
    std::map<std::string, lease_map> next;
    for (const auto& [service, ranges] : state.ranges) {
        for (const auto& [first, it] : ranges) {
            lease carried = carried_over_lease(service, it);
            if (const upstream* owner = state.find(it.owner)) {
                carried.address = owner->address;
            }
            next[service].emplace(first, std::move(carried));
        }
    }
    leases_ = std::move(next);
    synchronized_index_ = state.index;
}

lease_manager::lease lease_manager::carried_over_lease(const std::string& service, const key_range& range) {
    lease result;
    result.range = range;
    if (synchronized_index_ == 0) {
        result.lower_epochs_until = elected_ + max_lease_duration(settings_.lease_time);
        return result;
    }
    const auto& held = leases_[service];
    auto at = held.upper_bound(range.first);
    for (at = at == held.begin() ? at : std::prev(at); at != held.end() && at->first <= range.last; ++at) {
        const lease& old = at->second;
        // An earlier incarnation counts: a later one may have answered the grants that were meant for it.
        if (old.range.last < range.first || old.range.owner.id != range.owner.id) {
            continue;
        }
        if (old.range.owner == range.owner && old.range.epoch == range.epoch) {
            result = old;
            result.range = range;
            std::erase_if(result.parts, [&](const move_part& it) {
                return it.first < range.first || it.last > range.last;
            });
            return result;
        }
        result.lower_epochs_until = std::max(result.lower_epochs_until, old.may_hold_until());
    }
    auto& tokens = handovers_[service];
    if (const auto it = tokens.find(range.first); it != tokens.end() && it->second.target == range.owner) {
        result.handover = std::move(it->second.token);
        tokens.erase(it);
    }
    return result;
}

lease_manager::lease* lease_manager::find(const std::string& service, key_number key) {
    auto& leases = leases_[service];
    auto it = leases.upper_bound(key);
    if (it == leases.begin()) {
        return nullptr;
    }
    --it;
    return it->second.range.last >= key ? &it->second : nullptr;
}

std::vector<candidate> lease_manager::candidates(const std::string& service, const view& known,
                                                 time_point now) const {
    std::vector<candidate> result;
    for (const auto& [id, it] : known.state.upstreams) {
        if (it.service == service && it.accepts_work() && !is_silent(id, known, now)) {
            const auto& condition = known.conditions.at(id);
            result.push_back({it.incarnation, it.slots * condition.speed, condition.max_load});
        }
    }
    return result;
}

const upstream* lease_manager::later_incarnation(const std::string& service,
                                                 const directory::upstream_incarnation& owner,
                                                 const snapshot& state) {
    const auto it = state.upstreams.find(owner.id);
    const bool replaced =
        it != state.upstreams.end() && it->second.incarnation != owner && it->second.service == service;
    return replaced ? &it->second : nullptr;
}

bool lease_manager::is_silent(const std::string& id, const view& known, time_point now) const {
    const auto it = known.conditions.find(id);
    return it == known.conditions.end() || now - it->second.last_announced > settings_.announce_timeout;
}

bool lease_manager::is_lost(const lease& held, const view& known, time_point now) const {
    return held.open_call == 0 && now >= held.may_hold_until() &&
           (known.state.find(held.range.owner) == nullptr || is_silent(held.range.owner.id, known, now) ||
            held.failed_calls >= settings_.failed_calls_before_lost);
}

void lease_manager::assign_vacant(const std::string& service, const view& known, time_point now,
                                  effects& out) {
    const auto seen = first_seen_.find(service);
    if (seen == first_seen_.end() || now - seen->second < settings_.first_assignment_delay) {
        return;
    }
    const auto owned = known.state.ranges.find(service);
    auto vacant = unassigned_ranges(owned == known.state.ranges.end() ? nullptr : &owned->second);
    range_map kept;
    std::vector<lease*> lost;
    for (auto& [first, it] : leases_[service]) {
        if (const upstream* successor = later_incarnation(service, it.range.owner, known.state)) {
            // No other upstream may be given the range: the successor holds it if it answered a renewal.
            key_range next = it.range;
            next.owner = successor->incarnation;
            kept.emplace(first, next);
            if (it.open_call == 0) {
                out.command.assignments.push_back({service, next.first, next.last, next.owner});
                it.reassigning = true;
            }
        } else if (is_lost(it, known, now)) {
            vacant.push_back({it.range.first, it.range.last, it.range.owner, 0});
            lost.push_back(&it);
        } else {
            kept.emplace(first, it.range);
        }
    }
    const auto targets = candidates(service, known, now);
    if (vacant.empty() || targets.empty()) {
        return;
    }
    std::sort(vacant.begin(), vacant.end(),
              [](const key_range& a, const key_range& b) { return a.first < b.first; });
    add_assignments(service, plan_vacant(vacant, kept, targets, known.loads[service]), out.command);
    for (lease* it : lost) {
        it->reassigning = true;
    }
}

void lease_manager::finish_moves(const std::string& service, effects& out) {
    for (auto& [first, it] : leases_[service]) {
        if (it.reassigning) {
            continue;
        }
        for (const auto& part : it.parts) {
            if (part.released) {
                out.command.assignments.push_back({service, part.first, part.last, part.target});
                handovers_[service][part.first] = {part.target, part.handover};
            }
        }
    }
}

void lease_manager::assign_new_epochs(const std::string& service, const view& known, time_point now,
                                      effects& out) {
    for (auto& [first, it] : leases_[service]) {
        const upstream* owner = known.state.find(it.range.owner);
        // Once the owner has answered a higher epoch, earlier unanswered grants cannot take effect.
        if (owner != nullptr && !owner->accepts_work() && it.open_call == 0 && it.confirmed &&
            !it.is_settled(now) && it.parts.empty() && !it.reassigning) {
            out.command.assignments.push_back({service, it.range.first, it.range.last, it.range.owner});
            it.reassigning = true;
        }
    }
}

/// Adds a range with the owners that it will have once its parts have moved.
void lease_manager::add_planned_ranges(const lease& held, range_map& out) {
    key_number next = held.range.first;
    std::vector<move_part> parts = held.parts;
    std::sort(parts.begin(), parts.end(),
              [](const move_part& a, const move_part& b) { return a.first < b.first; });
    for (const auto& it : parts) {
        if (it.first > next) {
            out.emplace(next, key_range{next, it.first - 1, held.range.owner, held.range.epoch});
        }
        out.emplace(it.first, key_range{it.first, it.last, it.target, held.range.epoch});
        next = it.last + 1;
    }
    if (next <= held.range.last) {
        out.emplace(next, key_range{next, held.range.last, held.range.owner, held.range.epoch});
    }
}

void lease_manager::start_moves(const std::string& service, const view& known, time_point now, effects& out) {
    auto& leases = leases_[service];
    if (now < next_plan_[service] || !out.command.empty()) {
        return;
    }
    next_plan_[service] = now + settings_.plan_interval;
    assign_new_epochs(service, known, now, out);
    range_map owned;
    std::vector<key_range> movable;
    std::size_t moving = 0;
    for (const auto& [first, it] : leases) {
        add_planned_ranges(it, owned);
        moving += it.parts.size();
        if (it.open_call == 0 && it.parts.empty() && !it.reassigning && !it.unreachable &&
            it.is_settled(now) && known.state.find(it.range.owner) != nullptr) {
            movable.push_back(it.range);
        }
    }
    planner_options planner = settings_.planner;
    planner.max_moves -= std::min(planner.max_moves, moving);
    for (const auto& it :
         plan_moves(owned, movable, candidates(service, known, now), known.loads[service], planner)) {
        if (lease* held = find(service, it.first)) {
            held->parts.push_back({it.first, it.last, it.target, 0, now, false, false, {}});
        }
    }
}

void lease_manager::release_unregistered(const std::string& service, lease& held, time_point now,
                                         effects& out) {
    const bool can_be_ended = held.answered_until > now && held.address.port != 0;
    if (!can_be_ended || held.open_call != 0 || held.open_release != 0 || now < held.next_release) {
        return;
    }
    held.open_release = next_call_id_++;
    calls_[held.open_release] = {service, held.range.first};
    out.calls.push_back({held.open_release,
                         call_kind::release,
                         held.range.owner,
                         held.address,
                         held.range.first,
                         held.range.last,
                         held.range.epoch,
                         {},
                         {},
                         false});
}

void lease_manager::release_parts(lease& held, const upstream& owner, time_point now, effects& out) {
    for (auto& part : held.parts) {
        if (part.released || part.open_call != 0 || now < part.next_call) {
            continue;
        }
        part.open_call = next_call_id_++;
        calls_[part.open_call] = {owner.service, part.first};
        out.calls.push_back({part.open_call,
                             call_kind::release,
                             held.range.owner,
                             owner.address,
                             part.first,
                             part.last,
                             held.range.epoch,
                             {},
                             {},
                             false});
    }
}

void lease_manager::send_grant(lease& held, const upstream& owner, const view& known, time_point now,
                               effects& out) {
    const auto condition = known.conditions.find(owner.incarnation.id);
    const bool announcement_late = condition == known.conditions.end() ||
                                   now - condition->second.last_announced > settings_.announce_timeout / 2;
    const bool first_after_move = !held.handover.empty();
    held.requested_time =
        first_after_move ? std::min(settings_.first_lease_time, settings_.lease_time) : settings_.lease_time;
    held.open_call = next_call_id_++;
    calls_[held.open_call] = {owner.service, held.range.first};
    out.calls.push_back({held.open_call, call_kind::grant, held.range.owner, owner.address, held.range.first,
                         held.range.last, held.range.epoch, held.requested_time, held.handover,
                         announcement_late});
}

void lease_manager::send_due_calls(const std::string& service, const view& known, time_point now,
                                   effects& out) {
    for (auto& [first, it] : leases_[service]) {
        if (it.reassigning) {
            continue;
        }
        const upstream* owner = known.state.find(it.range.owner);
        if (owner == nullptr) {
            release_unregistered(service, it, now, out);
        } else if (!it.parts.empty()) {
            release_parts(it, *owner, now, out);
        } else if (it.open_call == 0 && it.open_release == 0 && now >= it.next_call) {
            send_grant(it, *owner, known, now, out);
        }
    }
}

} // namespace kingcupseam::key_ranges
