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

/// How requests that match a method and a path pattern are handled.
struct rule {
    std::string method;
    std::string path; ///< path pattern: literal segments, {key} for the key, {any} for any other segment
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

/// A service and the rules of its requests.
struct service {
    std::string name;
    std::uint32_t shards = 4096;
    std::vector<rule> rules;
    bool operator==(const service&) const = default;
};

/// Named set of services with the rules and limits for their requests. Immutable once parsed.
struct profile {
    std::string name;
    std::vector<service> services;
    std::array<rank_settings, rank_count> ranks{};
    retry_settings retries;
    duration ledger_retention = std::chrono::minutes(10);
    /// How long the shards of an unreachable data centre stay assigned to it. Longer than the expected
    /// network partitions, so that a data centre that is cut off goes on serving.
    duration home_hold = std::chrono::hours(2);
    bool operator==(const profile&) const = default;
};

/// @param source file name for error messages
/// @throws invalid_input naming the key and its allowed range
profile parse_profile(const std::string& source, const std::string& text);

/// Service and rule that a request matches, and the key in its path.
struct match {
    const service* matched_service = nullptr;
    const rule* matched_rule = nullptr;
    std::string key;
};

/// One accepted version of a profile.
struct accepted_profile {
    std::string name;
    std::uint64_t version = 0;
    std::string content;   ///< TOML text
    std::string change_id; ///< of the change that created this version
    auto operator<=>(const accepted_profile&) const = default;
};

/// Immutable index of the rules of all accepted profiles, with which an entry matches requests.
class rule_index {
public:
    /// @throws invalid_input when a profile is invalid, or two profiles share a service or match one request
    explicit rule_index(const std::vector<accepted_profile>& profiles);
    /// Compares literal segments as sent and percent-decodes the key. A key that is empty, a dot segment, too
    /// long or not plain text after decoding does not match, since it is forwarded in a header.
    /// @param path path without the query
    std::optional<match> find(std::string_view method, std::string_view path) const;
    /// The profile that contains the service; null when there is none.
    const profile* profile_of(const std::string& service) const;
    bool empty() const noexcept;

private:
    struct state;
    std::shared_ptr<const state> state_;
};

/// Proposal of new content for a profile.
struct change {
    std::string name;
    std::uint64_t base_version = 0; ///< version that the operator edited; 0 for a new profile
    std::string change_id;
    std::string content;
    auto operator<=>(const change&) const = default;
};

enum class change_status : std::uint8_t { accepted, conflict, invalid };

struct change_result {
    change_status status = change_status::invalid;
    accepted_profile in_force; ///< the new version when accepted, the winning one on a conflict
    std::string problem;       ///< reason when not accepted
    auto operator<=>(const change_result&) const = default;
};

/// Limits of the store, which keep its snapshot small.
inline constexpr std::size_t max_profiles = 64;
inline constexpr std::size_t max_content_bytes = 65'536;
inline constexpr std::size_t max_remembered_changes = 1024;

/// Deterministic compare-and-set store of the accepted profiles; part of the global group's replicated state
/// machine. Remembers the results of up to max_remembered_changes changes, so that a resent change gets
/// the result of its first attempt. The first accepted profile with a service fixes its number of shards.
class store {
public:
    store();
    /// @returns conflict when base_version is not the current version; invalid when the content is not a
    /// valid profile of that name, has a service or matches a request of another profile, or changes the
    /// number of shards of a service, or when the change id was used for another change
    change_result apply(const change& proposed);
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
    /// Result of an earlier change. The content of an accepted change is not stored: a resend contains it,
    /// and the digest shows that it is the same.
    struct remembered_change {
        std::string change_id;
        std::uint64_t digest = 0;
        change_result result;
    };

    change_result decide(const change& proposed) const;
    void check_against_others(const std::string& name, const profile& proposed) const;
    void remember(const change& proposed, const change_result& result);

    std::map<std::string, entry> profiles_;
    std::map<std::string, std::uint32_t> shard_counts_; ///< also of services that no profile has any more
    std::deque<remembered_change> recent_;              ///< oldest first
    std::size_t recent_bytes_ = 0;                      ///< total size of the contents in recent_
};

std::string encode(const change& proposed);
/// @throws invalid_input
change decode_change(const std::string& bytes);

} // namespace kingcupseam::profile
