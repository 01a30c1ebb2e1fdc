#include <kingcupseam/directory.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupseam::directory {

namespace {

/// Removes the keys @p first to @p last. The rest of a range that they divide keeps its owner and epoch.
void cut_out(range_map& ranges, key_number first, key_number last) {
    auto it = ranges.upper_bound(first);
    if (it != ranges.begin()) {
        --it;
    }
    while (it != ranges.end() && it->second.first <= last) {
        const key_range old = it->second;
        if (old.last < first) {
            ++it;
            continue;
        }
        it = ranges.erase(it);
        if (old.first < first) {
            key_range left = old;
            left.last = first - 1;
            ranges.emplace(left.first, left);
        }
        if (old.last > last) {
            key_range right = old;
            right.first = last + 1;
            it = ranges.emplace(right.first, right).first;
        }
    }
}

void assign(range_map& ranges, const assignment& change, std::uint64_t epoch) {
    cut_out(ranges, change.first, change.last);
    ranges.emplace(change.first, key_range{change.first, change.last, change.owner, epoch});
}

/// Gives all ranges the same epoch and joins adjacent ranges of one owner.
void renumber(range_map& ranges, std::uint64_t epoch) {
    range_map result;
    for (const auto& [first, it] : ranges) {
        const auto before = result.empty() ? result.end() : std::prev(result.end());
        if (before != result.end() && before->second.owner == it.owner && before->second.last + 1 == first) {
            before->second.last = it.last;
        } else {
            result.emplace(first, key_range{it.first, it.last, it.owner, epoch});
        }
    }
    ranges = std::move(result);
}

/// Adds or replaces an upstream, unless a later incarnation of it is known.
void put_upstream(std::map<std::string, upstream>& upstreams, const upstream& change) {
    const auto it = upstreams.find(change.incarnation.id);
    if (it == upstreams.end() || it->second.incarnation.started_ms <= change.incarnation.started_ms) {
        upstreams.insert_or_assign(change.incarnation.id, change);
    }
}

} // namespace

const key_range* snapshot::range_of(const std::string& service, key_number key) const {
    const auto map = ranges.find(service);
    if (map == ranges.end()) {
        return nullptr;
    }
    auto it = map->second.upper_bound(key);
    if (it == map->second.begin()) {
        return nullptr;
    }
    --it;
    return it->second.last >= key ? &it->second : nullptr;
}

const upstream* snapshot::find(const upstream_incarnation& incarnation) const {
    const auto it = upstreams.find(incarnation.id);
    return it != upstreams.end() && it->second.incarnation == incarnation ? &it->second : nullptr;
}

const upstream* snapshot::find_by_address(const endpoint_address& address) const {
    const auto it = std::find_if(upstreams.begin(), upstreams.end(),
                                 [&](const auto& entry) { return entry.second.address == address; });
    return it == upstreams.end() ? nullptr : &it->second;
}

bool command::empty() const {
    return !config && upstreams.empty() && removed_upstreams.empty() && assignments.empty() &&
           !renumber_epochs;
}

snapshot apply(const snapshot& before, command change, std::uint64_t index) {
    snapshot result = before;
    result.index = index;
    if (change.config && (!result.config || result.config->version < change.config->version)) {
        result.config = std::make_shared<const configuration>(std::move(*change.config));
    }
    for (const auto& it : change.upstreams) {
        put_upstream(result.upstreams, it);
    }
    for (const auto& it : change.removed_upstreams) {
        result.upstreams.erase(it);
    }
    for (const auto& it : change.assignments) {
        assign(result.ranges[it.service], it, index);
    }
    if (change.renumber_epochs) {
        for (auto& [service, ranges] : result.ranges) {
            renumber(ranges, index);
        }
    }
    return result;
}

} // namespace kingcupseam::directory
