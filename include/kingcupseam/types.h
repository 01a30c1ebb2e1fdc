#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupseam {

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Time of CLOCK_BOOTTIME, the monotonic clock that also advances while the machine is suspended. Decision
/// code never calls this; it receives the time as a parameter. Asio timers use another clock, so set them to
/// expire after a duration, never at a time_point.
time_point steady_now() noexcept;

/// Priority class of a request; lower values are served first.
enum class rank : std::uint8_t { urgent, standard, deferrable };
inline constexpr std::size_t rank_count = 3;
inline constexpr std::array<rank, rank_count> all_ranks{rank::urgent, rank::standard, rank::deferrable};

/// Whether a request may be executed more than once.
enum class execution : std::uint8_t { idempotent, at_most_once };

/// Result of a request as reported to its caller.
enum class outcome : std::uint8_t {
    ran,     ///< it ran, and the response is the upstream's
    not_run, ///< it did not run and cannot run later
    unknown, ///< it may have run; only a resend with the same idempotency key can tell
};

/// Reason why a request was not run, or why its outcome is unknown.
enum class refusal : std::uint8_t {
    none,
    no_rule,                 ///< no rule of the accepted profile matches method and path
    no_profile,              ///< no profile has been accepted yet
    missing_idempotency_key, ///< at-most-once work without Idempotency-Key
    invalid_request,         ///< malformed or oversize request
    expired_key,             ///< the idempotency key is older than the retention time of the ledger
    no_owner,                ///< the key has no reachable owner
    stale_route,             ///< the gate no longer holds this upstream
    queue_full,              ///< the rank's queue at the gate is full
    deadline,                ///< the deadline cannot be met or has passed
    saturated,               ///< the entry refuses the rank because its gate reports saturation
    gate_unreachable,        ///< the link to the gate failed before the request was sent
    gate_lost,               ///< the link to the gate failed after the request was sent
    ledger_unavailable,      ///< no majority of the ledger replicas answered
    in_doubt,                ///< an earlier attempt may have run
    upstream_shed,           ///< the upstream confirmed that it did not start the request
    upstream_failed,         ///< the upstream failed after the request was sent
    crashes_upstreams,       ///< the request crashed two upstreams and is not retried
    retries_exhausted,       ///< the retry budget is used up
    shutting_down,           ///< the instance is stopping
};

std::string_view to_string(rank value) noexcept;
std::string_view to_string(execution value) noexcept;
std::string_view to_string(outcome value) noexcept;
std::string_view to_string(refusal value) noexcept;

/// @throws invalid_input naming @p source and @p field when @p text is not the name of a rank
rank parse_rank(const std::string& source, const std::string& field, std::string_view text);

/// Shard of a key: its 64-bit XXH3 hash modulo @p shards.
/// @param shards number of shards of the service, at least 1
std::uint32_t shard_of(std::string_view key, std::uint32_t shards) noexcept;

/// Identifies one run of an instance's process. Each restart gets a new incarnation.
struct instance_id {
    std::string name;
    std::uint64_t incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const instance_id&) const = default;
};

/// A TCP or UDP endpoint with a numeric IP address.
struct endpoint_address {
    std::string ip;
    std::uint16_t port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const endpoint_address&) const = default;
};

std::string to_string(const endpoint_address& address);

/// Parses "IP:PORT"; the port is 1 to 65535.
/// @throws invalid_input naming @p source and @p field
endpoint_address parse_endpoint(const std::string& source, const std::string& field, std::string_view text);

/// Length in bytes of the UTF-8 character at the start of @p text; 0 when it is malformed or @p text is
/// empty.
std::size_t utf8_length(std::string_view text) noexcept;
/// True for valid UTF-8 without control characters, which is safe in an HTTP header, JSON and a log line.
bool is_plain_text(std::string_view text) noexcept;

} // namespace kingcupseam
