#pragma once

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::directory {

/// Key of a service whose keys are divided into ranges: 0 to last_key.
using key_number = std::uint32_t;
inline constexpr key_number last_key = 65535;

struct weighted_service {
    std::string service;
    double weight = 1;
    bool operator==(const weighted_service&) const = default;
};

/// Rule for the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;                ///< begins and ends with a slash
    execution runs = execution::idempotent; ///< whether a request may run more than once
    duration timeout{};                     ///< longest time that a caller is kept waiting
    duration target_latency{};              ///< answers within it have their full value to the caller
    std::int32_t priority = 0;              ///< 0 is served first
    std::int32_t attempts = 1;              ///< upstreams to which one request may be sent
    std::vector<weighted_service> targets;
    bool operator==(const route&) const = default;
};

struct routed_service {
    std::string name;
    std::string health_path;
    std::int32_t max_connections = 0;
    bool key_ranges = false; ///< each key belongs to one upstream at a time
    duration warm_up{};      ///< how long an upstream is slow for keys that it received without a handover
    bool operator==(const routed_service&) const = default;
};

struct caller_limits {
    std::int64_t max_header_bytes = 16 * 1024;
    std::int64_t max_body_bytes = 64 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    bool operator==(const caller_limits&) const = default;
};

/// The operators' complete settings for routing. The highest version is in force.
struct configuration {
    std::uint64_t version = 0;
    std::map<std::string, route> routes;            ///< by name
    std::map<std::string, routed_service> services; ///< by name
    caller_limits limits;
    std::string document; ///< the operator's original text, for reading it back; empty at entries
    bool operator==(const configuration&) const = default;
};

/// Thrown for a configuration with unknown services, conflicting routes, or unusable weights or attempts.
class invalid_configuration : public error {
public:
    using error::error;
};

/// @throws invalid_configuration
void validate(const configuration& wanted);

/// One process lifetime of an upstream. A restarted upstream has a later start.
struct upstream_incarnation {
    std::string id;
    std::int64_t started_ms = 0; ///< Unix time, by the upstream's clock
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const upstream_incarnation&) const = default;
};

struct upstream {
    upstream_incarnation incarnation;
    std::string service;
    std::string data_center;
    endpoint_address address;
    std::int32_t slots = 1;
    bool draining = false;
    bool left = false; ///< has announced that it is shutting down; it may serve for a few more seconds
    /// Whether it may be given new requests and key ranges.
    bool accepts_work() const noexcept { return !draining && !left; }
    bool operator==(const upstream&) const = default;
};

/// Keys @ref first to @ref last, both included, owned by one incarnation of an upstream.
struct key_range {
    key_number first = 0;
    key_number last = 0;
    upstream_incarnation owner;
    std::uint64_t epoch = 0; ///< log index of the assignment; higher than that of any earlier owner
    bool operator==(const key_range&) const = default;
};

using range_map = std::map<key_number, key_range>; ///< by first key; ranges do not overlap

/// State of the replicated state machine at one log index.
struct snapshot {
    std::uint64_t index = 0;                     ///< log index of the last command
    std::shared_ptr<const configuration> config; ///< null before the first one
    std::map<std::string, upstream> upstreams;   ///< by id
    std::map<std::string, range_map> ranges;     ///< by service

    const key_range* range_of(const std::string& service, key_number key) const;
    const upstream* find(const upstream_incarnation& incarnation) const;
    const upstream* find_by_address(const endpoint_address& address) const;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

struct assignment {
    std::string service;
    key_number first = 0;
    key_number last = 0;
    upstream_incarnation owner;
    bool operator==(const assignment&) const = default;
};

/// One log entry. Its fields are applied in the order of their declaration.
struct command {
    std::optional<configuration> config;        ///< ignored unless its version is higher
    std::vector<upstream> upstreams;            ///< ignored for an earlier incarnation of a known id
    std::vector<std::string> removed_upstreams; ///< ids
    std::vector<assignment> assignments;
    /// Gives every range the epoch of this command and joins adjacent ranges of one owner.
    bool renumber_epochs = false;
    bool empty() const;
};

/// @param index log index of @p change
snapshot apply(const snapshot& before, command change, std::uint64_t index);

/// Estimates the memory that a configuration takes up, with its document.
std::size_t memory_bytes(const configuration& source);
/// Estimates the memory that a state takes up without its configuration, which other states may share.
std::size_t memory_bytes(const snapshot& source);

std::string encode(const command& source);
/// @throws invalid_input
command decode_command(const std::string& bytes);
/// Encodes the whole state, for log snapshots, with the configuration's document.
std::string encode(const snapshot& source);
/// @throws invalid_input
snapshot decode_snapshot(const std::string& bytes);

/// Encodes the difference from @p base to @p target for entries, without the configuration's document.
/// @param base null to encode the whole of @p target
std::string encode_difference(const snapshot* base, const snapshot& target);
/// @throws invalid_input when the bytes are malformed or based on another state than @p held
snapshot apply_difference(const snapshot& held, const std::string& bytes);

/// Finds the route of a request: the longest matching path prefix among the routes of its host.
class route_index {
public:
    explicit route_index(std::shared_ptr<const configuration> source);
    /// @returns null when no route matches
    const route* match(std::string_view host, std::string_view path) const;

private:
    std::shared_ptr<const configuration> source_;
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_; ///< longest prefix first
};

} // namespace kingcupseam::directory
