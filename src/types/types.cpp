#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <xxhash.h>

#include <charconv>
#include <ctime>

namespace kingcupseam {

time_point steady_now() noexcept {
    // CLOCK_MONOTONIC stops while the machine is suspended, so a lease measured with it would be held after
    // it has expired.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                           std::chrono::nanoseconds(now.tv_nsec)));
}

std::string_view to_string(rank value) noexcept {
    switch (value) {
    case rank::urgent:
        return "urgent";
    case rank::standard:
        return "standard";
    case rank::deferrable:
        return "deferrable";
    }
    return "invalid";
}

std::string_view to_string(execution value) noexcept {
    return value == execution::idempotent ? "idempotent" : "at-most-once";
}

std::string_view to_string(outcome value) noexcept {
    switch (value) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view to_string(refusal value) noexcept {
    static constexpr std::array<std::string_view, 20> names{"none",
                                                            "no-rule",
                                                            "no-profile",
                                                            "missing-idempotency-key",
                                                            "invalid-request",
                                                            "expired-key",
                                                            "no-owner",
                                                            "stale-route",
                                                            "queue-full",
                                                            "deadline",
                                                            "saturated",
                                                            "gate-unreachable",
                                                            "gate-lost",
                                                            "ledger-unavailable",
                                                            "in-doubt",
                                                            "upstream-shed",
                                                            "upstream-failed",
                                                            "crashes-upstreams",
                                                            "retries-exhausted",
                                                            "shutting-down"};
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

rank parse_rank(const std::string& source, const std::string& field, std::string_view text) {
    for (const rank candidate : all_ranks) {
        if (to_string(candidate) == text) {
            return candidate;
        }
    }
    throw invalid_input(source, field, "must be urgent, standard or deferrable");
}

std::uint32_t shard_of(std::string_view key, std::uint32_t shards) noexcept {
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % shards);
}

std::string to_string(const endpoint_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

endpoint_address parse_endpoint(const std::string& source, const std::string& field, std::string_view text) {
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos || colon == 0) {
        throw invalid_input(source, field, "must be IP:PORT");
    }
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535) {
        throw invalid_input(source, field, "port must be 1 to 65535");
    }
    return {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

} // namespace kingcupseam
