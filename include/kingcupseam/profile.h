#pragma once

#include <kingcupseam/types.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::profile {

/// How requests of one method and path pattern are treated.
struct rule {
    std::string method;
    std::string path; ///< literal segments, with {key} for the key and {any} for any other segment
    rank priority = rank::urgent;
    execution runs = execution::idempotent;
    duration deadline = std::chrono::milliseconds(1000);
    std::size_t max_body_bytes = 65'536;
    bool operator==(const rule&) const = default;
};

struct rank_settings {
    double guaranteed_share = 0;
    std::uint32_t max_waiting = 256;
    auto operator<=>(const rank_settings&) const = default;
};

struct retry_settings {
    double budget_fraction = 0.1;
    std::uint32_t max_attempts = 3;
    duration first_backoff = std::chrono::milliseconds(5);
    duration max_backoff = std::chrono::milliseconds(100);
    auto operator<=>(const retry_settings&) const = default;
};

/// One service that runs under the profile.
struct service {
    std::string name;
    std::uint32_t shards = 4096;
    std::vector<rule> rules;
    bool operator==(const service&) const = default;
};

/// A named description of how work is treated. Immutable once parsed.
struct profile {
    std::string name;
    std::vector<service> services;
    std::array<rank_settings, rank_count> ranks{};
    retry_settings retries;
    duration ledger_retention = std::chrono::minutes(10);
    /// Longer than the cuts that are expected, so that a data centre that is cut off goes on serving.
    duration home_hold = std::chrono::hours(2);
    bool operator==(const profile&) const = default;
};

/// @param source file name for errors
/// @throws invalid_input with the key and the allowed range
profile parse_profile(const std::string& source, const std::string& text);

/// A matched request.
struct match {
    const service* matched_service = nullptr;
    const rule* matched_rule = nullptr;
    std::string key;
};

/// Profile in force, as one version of its text.
struct accepted_profile {
    std::string name;
    std::uint64_t version = 0;
    std::string content;
    std::string change_id;
    auto operator<=>(const accepted_profile&) const = default;
};

/// Index over all accepted profiles for the entry role; immutable.
class rule_index {
public:
    /// @throws invalid_input when a profile is invalid, or two profiles share a service or match one request
    explicit rule_index(const std::vector<accepted_profile>& profiles);
    /// Literal segments are compared as sent; the key is percent-decoded. A key that is empty, is a dot
    /// segment, or is not plain text once decoded does not match, since it is passed on in a header.
    /// @param path path without the query
    std::optional<match> find(std::string_view method, std::string_view path) const;
    /// The profile that a service runs under; null when none.
    const profile* profile_of(const std::string& service) const;
    bool empty() const noexcept;

private:
    struct state;
    std::shared_ptr<const state> state_;
};

/// A request to accept new content for a profile.
struct change {
    std::string name;
    std::uint64_t base_version = 0; ///< version that the operator saw; 0 for a new profile
    std::string change_id;
    std::string content;
    auto operator<=>(const change&) const = default;
};

enum class change_status : std::uint8_t { accepted, conflict, invalid };

struct change_result {
    change_status status = change_status::invalid;
    accepted_profile in_force; ///< after acceptance the new one; on conflict the one that won
    std::string problem;
    auto operator<=>(const change_result&) const = default;
};

/// Limits of the store, so that its snapshot stays small.
inline constexpr std::size_t max_profiles = 64;
inline constexpr std::size_t max_content_bytes = 65'536;
inline constexpr std::size_t max_remembered_changes = 1024;

/// Deterministic compare-and-set store; part of the global group's state machine. Remembers the last 1,024
/// change ids, so that a resent change gets the answer of the first. The number of shards of a service is
/// fixed by the first accepted profile that names it.
class store {
public:
    store();
    /// @returns conflict when base_version is not the version in force; invalid when the content is not a
    /// valid profile of that name, shares a service or a request with another profile, changes the number of
    /// shards of a service, or when the change id was used for another change
    change_result apply(const change& wanted);
    std::vector<accepted_profile> all() const;
    std::optional<accepted_profile> find(const std::string& name) const;
    std::string encode() const;
    /// @throws invalid_input
    static store decode(const std::string& bytes);

private:
    struct entry {
        accepted_profile accepted;
        std::shared_ptr<const profile> parsed; ///< null when a later release no longer accepts the content
    };
    /// An answer that was given. The content of an accepted change is left out: a resend brings it again, and
    /// the digest shows that it is the same.
    struct answer {
        std::string change_id;
        std::uint64_t digest = 0;
        change_result result;
    };

    change_result decide(const change& wanted) const;
    void check_against_others(const std::string& name, const profile& wanted) const;
    void remember(const change& wanted, const change_result& result);

    std::map<std::string, entry> profiles_;
    std::map<std::string, std::uint32_t> shard_counts_; ///< also of services that no profile names any more
    std::deque<answer> recent_;                         ///< oldest first
    std::size_t recent_bytes_ = 0;                      ///< of the contents in recent_
};

std::string encode(const change& wanted);
/// @throws invalid_input
change decode_change(const std::string& bytes);

} // namespace kingcupseam::profile
