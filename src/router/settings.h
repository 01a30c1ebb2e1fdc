#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// Settings of one entry or control process.
struct process_settings {
    std::string name;
    std::string data_center;
    std::string ip;
    std::uint16_t peer_port = 0;               ///< for links between instances
    std::uint16_t metrics_port = 0;            ///< 0: metrics are not served
    std::optional<endpoint_address> callers;   ///< listen address for callers; entries only
    std::optional<endpoint_address> readiness; ///< listen address for readiness checks; entries only
    std::optional<endpoint_address>
        control;                    ///< listen address for upstreams and operators; control instances only
    std::vector<std::string> seeds; ///< IP addresses of control instances
    bool bootstrap = false;         ///< first start of the whole system
    std::optional<std::filesystem::path> data_folder;
    std::size_t tolerated_losses = 1; ///< control instances that may fail at the same time

    duration announce_interval = std::chrono::seconds(1); ///< between reports of an upstream
    duration max_hold = std::chrono::seconds(10);         ///< longest lease of a key range
    duration drain_period = std::chrono::seconds(2); ///< for which a leaving upstream still takes requests
    duration grace_period = std::chrono::seconds(6); ///< between the stop signal and the kill signal
    double retry_ratio = 0.2;                        ///< retries per request of a service
    double retry_slack = 60; ///< retries beyond the ratio in a window, over all entries
    duration retry_window = std::chrono::seconds(10);
    std::int64_t memory_mb = 0; ///< memory of the machine in 10^6 bytes; 0: as the kernel reports it
    bool operator==(const process_settings&) const = default;
};

} // namespace kingcupseam::router
