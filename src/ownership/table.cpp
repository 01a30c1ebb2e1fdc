#include <kingcupseam/ownership.h>

namespace kingcupseam::ownership {

namespace {

void add_shard(grant_scope& it, std::uint32_t shard) {
    if (!it.shards.empty() && it.shards.back().second + 1 == shard) {
        it.shards.back().second = shard;
    } else {
        it.shards.emplace_back(shard, shard);
    }
}

bool owns(const shard_row& row, std::uint32_t index) {
    return row.owner == index && row.next == no_upstream;
}

} // namespace

const upstream_row* table::owner_of(const std::string& service, std::uint32_t shard,
                                    const std::string& key) const {
    const auto it = services.find(service);
    if (it == services.end() || shard >= it->second.shards.size()) {
        return nullptr;
    }
    const auto hot = it->second.hot_keys.find(key);
    const shard_row& row = hot == it->second.hot_keys.end() ? it->second.shards[shard] : hot->second;
    if (row.next != no_upstream || row.owner >= upstreams.size()) {
        return nullptr;
    }
    const upstream_row& owner = upstreams[row.owner];
    return owner.condition == upstream_status::lost ? nullptr : &owner;
}

const upstream_row* table::latest_row(const std::string& upstream) const {
    const upstream_row* found = nullptr;
    for (const auto& it : upstreams) {
        if (it.name != upstream) {
            continue;
        }
        if (it.condition != upstream_status::lost) {
            return &it;
        }
        if (found == nullptr || found->epoch < it.epoch) {
            found = &it;
        }
    }
    return found;
}

grant_scope scope_of(const table& rows, const upstream_row& upstream) {
    grant_scope result;
    const auto service = rows.services.find(upstream.service);
    if (service == rows.services.end() || upstream.condition == upstream_status::lost) {
        return result;
    }
    std::uint32_t index = 0;
    while (index < rows.upstreams.size() && !(rows.upstreams[index].name == upstream.name &&
                                              rows.upstreams[index].incarnation == upstream.incarnation)) {
        ++index;
    }
    const auto& shards = service->second.shards;
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
        if (owns(shards[shard], index)) {
            add_shard(result, shard);
        }
    }
    for (const auto& [key, row] : service->second.hot_keys) {
        const auto shard = shard_of(key, static_cast<std::uint32_t>(shards.size()));
        if (owns(row, index)) {
            result.hot_keys.insert(key);
        } else if (owns(shards[shard], index)) {
            result.moved_keys.insert(key);
        }
    }
    return result;
}

} // namespace kingcupseam::ownership
