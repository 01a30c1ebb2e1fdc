#pragma once

#include <kingcupseam/ownership.h>
#include <kingcupseam/profile.h>
#include <kingcupseam/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// The port after the control port carries forwarded requests and the ledger, so that control frames never
/// wait behind large bodies.
endpoint_address traffic_address(const endpoint_address& control_address);

struct instance_info {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string data_center;
    endpoint_address address; ///< control address
    auto operator<=>(const instance_info&) const = default;
};

/// Home data centre of each shard of one service.
struct service_placement {
    std::vector<std::string> data_centers;
    std::vector<std::int16_t>
        data_center_indexes; ///< index into data_centers; -1 while the shard has no home
    bool operator==(const service_placement&) const = default;

    /// Empty while the shard has no home.
    const std::string& data_center_of(std::uint32_t shard) const;
};

/// What the traffic threads know of the control state; immutable once published.
struct routing_view {
    std::string self;
    std::string data_center;
    std::map<std::string, std::shared_ptr<const ownership::table>> tables; ///< by data centre
    std::map<std::string, service_placement> placements;                   ///< by service
    std::shared_ptr<const profile::rule_index> rules;
    std::map<std::string, instance_info> instances;

    /// Row of the upstream that owns the key in its home data centre; null while there is none.
    const ownership::upstream_row* find_owner(const std::string& service, std::uint32_t shard,
                                              const std::string& key) const;
    /// Table of this instance's data centre; null before the first one arrived.
    const ownership::table* local_table() const;
};

/// Hands the current view from the control thread to the traffic threads.
class view_holder {
public:
    std::shared_ptr<const routing_view> load() const { return view_.load(std::memory_order_acquire); }
    void store(std::shared_ptr<const routing_view> next) {
        view_.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const routing_view>> view_{std::make_shared<const routing_view>()};
};

} // namespace kingcupseam::app
