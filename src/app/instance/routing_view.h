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

/// Address for forwarded requests and ledger frames: the port after the control port. On their own port they
/// do not delay control frames behind large bodies.
endpoint_address traffic_address(const endpoint_address& control_address);

struct instance_info {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string data_center;
    endpoint_address address; ///< control address
    auto operator<=>(const instance_info&) const = default;
};

/// Data centre in which each shard of one service is placed.
struct service_placement {
    std::vector<std::string> data_centers;
    /// Index into data_centers by shard; -1 while the shard is not placed.
    std::vector<std::int16_t> data_center_indexes;
    bool operator==(const service_placement&) const = default;

    /// Empty while the shard is not placed.
    const std::string& data_center_of(std::uint32_t shard) const;
};

/// The control thread's state as the entry and gate threads use it; immutable once published.
struct routing_view {
    std::string self;
    std::string data_center;
    std::map<std::string, std::shared_ptr<const ownership::table>> tables; ///< by data centre
    std::map<std::string, service_placement> placements;                   ///< by service
    std::shared_ptr<const profile::rule_index> rules;
    std::map<std::string, instance_info> instances;

    /// Row of the upstream that owns the key in the data centre of its shard; null if there is none.
    const ownership::upstream_row* find_owner(const std::string& service, std::uint32_t shard,
                                              const std::string& key) const;
    /// Table of this instance's data centre; null until the first one has arrived.
    const ownership::table* local_table() const;
};

/// Passes the current view from the control thread to the entry and gate threads.
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
