#include "app/instance/routing_view.h"

namespace kingcupseam::app {

endpoint_address traffic_address(const endpoint_address& control_address) {
    return {control_address.ip, static_cast<std::uint16_t>(control_address.port + 1)};
}

const std::string& service_placement::data_center_of(std::uint32_t shard) const {
    static const std::string none;
    if (shard >= data_center_indexes.size() || data_center_indexes[shard] < 0) {
        return none;
    }
    return data_centers.at(static_cast<std::size_t>(data_center_indexes[shard]));
}

const ownership::upstream_row* routing_view::find_owner(const std::string& service, std::uint32_t shard,
                                                        const std::string& key) const {
    const auto placement = placements.find(service);
    if (placement == placements.end()) {
        return nullptr;
    }
    const auto it = tables.find(placement->second.data_center_of(shard));
    return it == tables.end() ? nullptr : it->second->owner_of(service, shard, key);
}

const ownership::table* routing_view::local_table() const {
    const auto it = tables.find(data_center);
    return it == tables.end() ? nullptr : it->second.get();
}

} // namespace kingcupseam::app
