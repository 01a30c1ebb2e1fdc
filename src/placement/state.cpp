#include <kingcupseam/placement.h>

#include <algorithm>

namespace kingcupseam::placement {

namespace {

bool has_valid_indexes(const set_placement& change) {
    return std::all_of(change.placements.begin(), change.placements.end(), [&change](std::int16_t it) {
        return it >= unplaced && it < static_cast<std::int16_t>(change.data_centers.size());
    });
}

bool contacted_since(const placement_state& state, const set_placement& change) {
    return std::any_of(change.contact_counts.begin(), change.contact_counts.end(), [&state](const auto& it) {
        const auto found = state.granted.find(it.first);
        return (found == state.granted.end() ? 0 : found->second.contact_count) != it.second;
    });
}

bool apply_change(placement_state& state, const set_placement& change, std::uint64_t index) {
    const auto found = state.services.find(change.service);
    const auto version = found == state.services.end() ? 0 : found->second.version;
    if (version != change.base_version || !has_valid_indexes(change) || contacted_since(state, change)) {
        return false;
    }
    service_placement next{change.data_centers, change.placements, {}, change.planned_slots, index};
    if (found != state.services.end()) {
        const auto& former = found->second;
        // Pending releases hold indexes into the list of data centres, so the list may only be extended.
        if (former.placements.size() != next.placements.size() ||
            former.data_centers.size() > next.data_centers.size() ||
            !std::equal(former.data_centers.begin(), former.data_centers.end(), next.data_centers.begin())) {
            return false;
        }
        for (const auto& [shard, release] : former.releases) {
            if (former.placements[shard] == next.placements[shard]) {
                next.releases[shard] = release;
            }
        }
    }
    state.services[change.service] = std::move(next);
    return true;
}

std::int16_t find_or_add(service_placement& placement, const std::string& data_center) {
    const auto found = std::find(placement.data_centers.begin(), placement.data_centers.end(), data_center);
    const auto position = found - placement.data_centers.begin();
    if (found == placement.data_centers.end()) {
        placement.data_centers.push_back(data_center);
    }
    return static_cast<std::int16_t>(position);
}

bool apply_change(placement_state& state, const begin_release& change, std::uint64_t index) {
    const auto found = state.services.find(change.service);
    if (found == state.services.end() || found->second.version != change.base_version) {
        return false;
    }
    auto& placement = found->second;
    for (const auto& [shard, data_center] : change.next) {
        if (shard >= placement.placements.size() || placement.releases.count(shard) != 0) {
            continue;
        }
        const auto next = find_or_add(placement, data_center);
        if (placement.placements[shard] == unplaced) {
            placement.placements[shard] = next;
        } else if (placement.placements[shard] != next) {
            placement.releases[shard] = {next, index};
        }
    }
    placement.planned_slots = change.planned_slots;
    placement.version = index;
    return true;
}

bool apply_change(placement_state& state, const confirm_release& change, std::uint64_t index) {
    const auto found = state.services.find(change.service);
    if (found == state.services.end()) {
        return false;
    }
    auto& placement = found->second;
    bool changed = false;
    for (const auto& [shard, begun] : change.begun) {
        const auto release = placement.releases.find(shard);
        if (release == placement.releases.end() || release->second.begun != begun ||
            placement.data_centers.at(static_cast<std::size_t>(placement.placements[shard])) !=
                change.data_center) {
            continue;
        }
        placement.placements[shard] = release->second.next;
        placement.releases.erase(release);
        changed = true;
    }
    if (changed) {
        placement.version = index;
    }
    return changed;
}

bool apply_change(placement_state& state, const contact& change, std::uint64_t index) {
    auto& it = state.granted[change.data_center];
    ++it.contact_count;
    const bool longer = std::any_of(change.holds.begin(), change.holds.end(), [&it](const auto& hold) {
        const auto former = it.holds.find(hold.first);
        return former == it.holds.end() || hold.second > former->second;
    });
    if (longer) {
        it.lengthened_at = index;
    }
    it.holds = change.holds;
    return true;
}

} // namespace

bool placement_state::apply(const command& change, std::uint64_t index) {
    const bool changed =
        std::visit([this, index](const auto& it) { return apply_change(*this, it, index); }, change);
    if (changed) {
        version = index;
    }
    return changed;
}

} // namespace kingcupseam::placement
