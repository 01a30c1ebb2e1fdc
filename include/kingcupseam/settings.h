#pragma once

#include <kingcupseam/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::settings {

enum class routing_mode : std::uint8_t { gate, direct };
enum class log_format : std::uint8_t { text, json };

/// An instance that the settings name as a seed.
struct peer {
    std::string name;
    std::string data_center;
    endpoint_address address;
    auto operator<=>(const peer&) const = default;
};

/// Settings of one instance, as read from its TOML file.
struct instance_settings {
    std::string name;
    std::string data_center;
    endpoint_address peer_listen;     ///< TCP and UDP, for other instances
    endpoint_address caller_listen;   ///< HTTP, for callers
    endpoint_address upstream_listen; ///< HTTP, for the announcements of upstreams
    endpoint_address operator_listen; ///< HTTP, for operators and the platform
    std::string operator_token;
    std::optional<std::filesystem::path>
        data_folder;         ///< stores the log of the global group; makes the instance a durable voter of it
    std::vector<peer> seeds; ///< instances to contact at start, in any data centre
    std::vector<std::string> global_voters; ///< names of the initial voters of the global group
    std::uint32_t data_center_size = 3;     ///< configured number of instances of this data centre
    routing_mode routing = routing_mode::gate;
    log_format log = log_format::text;
    std::string log_level = "info";
    duration grant_lease = std::chrono::milliseconds(600);
    duration grant_interval = std::chrono::milliseconds(150);
    duration heartbeat_interval = std::chrono::milliseconds(100);
    duration heartbeat_timeout = std::chrono::milliseconds(400);
    duration shutdown_grace = std::chrono::seconds(10);
    bool operator==(const instance_settings&) const = default;
};

/// Checks each value against its allowed range and refuses unknown keys.
/// @throws invalid_input
instance_settings parse_settings(const std::string& source, const std::string& text);
/// @throws io_error, invalid_input
instance_settings load_settings(const std::filesystem::path& file);

} // namespace kingcupseam::settings
