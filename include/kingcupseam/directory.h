#pragma once

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::directory {

/// Keys of a service that is divided by key ranges: 0 to last_key.
using key_number = std::uint32_t;
inline constexpr key_number last_key = 65535;

struct weighted_service {
    std::string service;
    double weight = 1;
    bool operator==(const weighted_service&) const = default;
};

/// How requests of one host and path prefix are treated.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    execution runs = execution::idempotent;
    duration timeout{};        ///< longest time that a caller is kept waiting
    duration target_latency{}; ///< answers within it have their full worth
    std::int32_t priority = 0; ///< 0 is served first
    std::int32_t attempts = 1; ///< upstreams to which one request may be sent
    std::vector<weighted_service> targets;
    bool operator==(const route&) const = default;
};

struct routed_service {
    std::string name;
    std::string health_path;
    std::int32_t max_connections = 0;
    bool key_ranges = false; ///< upstreams own ranges of keys exclusively
    duration warm_up{};      ///< time for which keys are slow that arrive without a handover
    bool operator==(const routed_service&) const = default;
};

struct caller_limits {
    std::int64_t max_header_bytes = 16 * 1024;
    std::int64_t max_body_bytes = 64 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    bool operator==(const caller_limits&) const = default;
};

/// What the operators want, as a whole. The highest version is in force.
struct configuration {
    std::uint64_t version = 0;
    std::map<std::string, route> routes; ///< by name
    std::map<std::string, routed_service> services;
    caller_limits limits;
    std::string document; ///< text as the operator sent it, for reading back; empty at entries
    bool operator==(const configuration&) const = default;
};

/// A configuration that names an unknown service or has weights or attempts that cannot work.
class invalid_configuration : public error {
public:
    using error::error;
};

/// @throws invalid_configuration
void validate(const configuration& wanted);

/// One process lifetime of an upstream: a restarted one has a later start.
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
    bool left = false; ///< said that it ends; it may serve for some seconds more
    /// True when it may get new work.
    bool accepts_work() const noexcept { return !draining && !left; }
    bool operator==(const upstream&) const = default;
};

/// Keys @ref first to @ref last belong to one life of an upstream.
struct key_range {
    key_number first = 0;
    key_number last = 0;
    upstream_incarnation owner;
    std::uint64_t epoch = 0; ///< log index of the assignment; higher than that of any earlier owner
    bool operator==(const key_range&) const = default;
};

using range_map = std::map<key_number, key_range>; ///< by first key; ranges do not overlap

/// Value of the replicated state machine.
struct snapshot {
    std::uint64_t index = 0;                     ///< log index of the last command
    std::shared_ptr<const configuration> config; ///< null before the first one
    std::map<std::string, upstream> upstreams;   ///< by id
    std::map<std::string, range_map> ranges;     ///< by service

    const key_range* owner_of(const std::string& service, key_number key) const;
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

/// One entry of the log. Its parts are applied in this order.
struct command {
    std::optional<configuration> config;        ///< changes nothing unless its version is higher
    std::vector<upstream> upstreams;            ///< changes nothing for an earlier life of the same id
    std::vector<std::string> removed_upstreams; ///< ids
    std::vector<assignment> assignments;
    bool renumber_epochs =
        false; ///< gives every range the epoch of this command and joins neighbours of one owner
    bool empty() const;
};

snapshot apply(const snapshot& before, const command& change, std::uint64_t index);

std::string encode(const command& source);
/// @throws invalid_input
command decode_command(const std::string& bytes);
/// Whole state, for log snapshots; includes the configuration's document.
std::string encode(const snapshot& source);
/// @throws invalid_input
snapshot decode_snapshot(const std::string& bytes);

/// Difference for entries from @p base to @p target; everything when @p base is null. Leaves the document
/// out.
std::string encode_difference(const snapshot* base, const snapshot& target);
/// @throws invalid_input when the bytes are malformed or do not continue @p held
snapshot apply_difference(const snapshot& held, const std::string& bytes);

/// Finds the route of a request: among the routes of the host, the one with the longest matching prefix.
class route_index {
public:
    explicit route_index(std::shared_ptr<const configuration> source);
    const route* match(std::string_view host, std::string_view path) const;

private:
    std::shared_ptr<const configuration> source_;
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_; ///< longest prefix first
};

} // namespace kingcupseam::directory
