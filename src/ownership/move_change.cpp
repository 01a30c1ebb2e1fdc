#include "ownership/assignment_change.h"

namespace kingcupseam::ownership {

void assignment_change::raise_epoch(std::uint32_t index) {
    if (index < rows_.upstreams.size()) {
        rows_.upstreams[index].epoch = epoch_;
        rows_.upstreams[index].version = epoch_;
    }
}

std::uint32_t assignment_change::target_index(const std::string& service, const std::string& upstream) const {
    for (std::uint32_t n = 0; n < rows_.upstreams.size(); ++n) {
        const auto& row = rows_.upstreams[n];
        if (row.name == upstream && row.service == service && row.condition != upstream_status::lost) {
            return n;
        }
    }
    return no_upstream;
}

// A move in progress that gets another target keeps its epoch, so that an acknowledgement of the current
// owner stays valid.
bool assignment_change::begin_row_move(shard_row& row, std::uint32_t to) {
    const bool moving = row.next != no_upstream;
    if (row.next == placed_elsewhere || row.next == to || (!moving && row.owner == to)) {
        return false;
    }
    row.next = to;
    if (!moving) {
        row.epoch = epoch_;
        raise_epoch(row.owner);
    }
    return true;
}

// A key is separated from its shard only while the shard is not moving, so that both have the same former
// owner.
bool assignment_change::begin_hot_key_move(service_rows& service, const std::string& key, std::uint32_t to) {
    const auto known = service.hot_keys.find(key);
    if (known != service.hot_keys.end()) {
        return begin_row_move(known->second, to);
    }
    const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
    if (shard.owner == no_upstream || shard.next != no_upstream || shard.owner == to) {
        return false;
    }
    return begin_row_move(service.hot_keys.emplace(key, shard).first->second, to);
}

bool assignment_change::apply(const begin_move& change) {
    const auto service = rows_.services.find(change.service);
    const auto to = target_index(change.service, change.to);
    if (service == rows_.services.end() || to == no_upstream) {
        return false;
    }
    bool changed = false;
    for (const auto shard : change.shards) {
        if (shard < service->second.shards.size()) {
            changed = begin_row_move(service->second.shards[shard], to) || changed;
        }
    }
    for (const auto& key : change.hot_keys) {
        changed = begin_hot_key_move(service->second, key, to) || changed;
    }
    return changed;
}

bool assignment_change::complete_row_move(shard_row& row, std::uint32_t to) {
    if (row.next != to) {
        return false;
    }
    if (to == placed_elsewhere) {
        const bool owned = row.owner != no_upstream;
        row.owner = no_upstream;
        row.epoch = owned ? epoch_ : row.epoch;
        return owned;
    }
    row = {to, no_upstream, epoch_};
    raise_epoch(to);
    return true;
}

// A key that returns to the owner of its shard needs no row of its own.
bool assignment_change::complete_hot_key_move(service_rows& service, const std::string& key,
                                              std::uint32_t to) {
    const auto it = service.hot_keys.find(key);
    if (it == service.hot_keys.end() || !complete_row_move(it->second, to)) {
        return false;
    }
    const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
    if (to == placed_elsewhere || (shard.owner == to && shard.next == no_upstream)) {
        service.hot_keys.erase(it);
    }
    return true;
}

bool assignment_change::apply(const complete_move& change) {
    const auto service = rows_.services.find(change.service);
    const auto to = change.to.empty() ? placed_elsewhere : target_index(change.service, change.to);
    if (service == rows_.services.end() || to == no_upstream) {
        return false;
    }
    bool changed = false;
    for (const auto shard : change.shards) {
        if (shard < service->second.shards.size()) {
            changed = complete_row_move(service->second.shards[shard], to) || changed;
        }
    }
    for (const auto& key : change.hot_keys) {
        changed = complete_hot_key_move(service->second, key, to) || changed;
    }
    return changed;
}

bool assignment_change::place_elsewhere(shard_row& row) {
    if (row.next == placed_elsewhere) {
        return false;
    }
    if (row.next == no_upstream) {
        row.epoch = epoch_;
        raise_epoch(row.owner);
    }
    row.next = placed_elsewhere;
    return true;
}

// A shard that is placed here again moves to the owner it still has, which waits for the end of the old
// grant.
bool assignment_change::place_here(shard_row& row) {
    if (row.next != placed_elsewhere) {
        return false;
    }
    row.next = row.owner;
    return true;
}

bool assignment_change::apply(const set_placement& change) {
    const auto found = rows_.services.find(change.service);
    if (found == rows_.services.end()) {
        return false;
    }
    auto& service = found->second;
    std::vector<bool> placed(service.shards.size());
    for (const auto shard : change.shards) {
        if (shard < placed.size()) {
            placed[shard] = true;
        }
    }
    bool changed = false;
    for (std::size_t n = 0; n < placed.size(); ++n) {
        changed = (placed[n] ? place_here(service.shards[n]) : place_elsewhere(service.shards[n])) || changed;
    }
    for (auto& [key, row] : service.hot_keys) {
        const auto shard = shard_of(key, static_cast<std::uint32_t>(placed.size()));
        changed = (placed[shard] ? place_here(row) : place_elsewhere(row)) || changed;
    }
    return changed;
}

} // namespace kingcupseam::ownership
