#pragma once

#include "app/run_record.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupseam::app {

/// Findings from the run records of all upstreams.
struct judgement {
    std::uint64_t files = 0;
    std::uint64_t runs = 0;               ///< started executions
    std::uint64_t double_runs = 0;        ///< at-most-once idempotency keys that were started more than once
    std::uint64_t runs_without_grant = 0; ///< by upstreams that check grants
    std::uint64_t unchecked_runs_without_grant = 0; ///< by upstreams that do not check grants
    std::uint64_t double_owners = 0; ///< overlaps of two upstreams' grants of one shard or hot key
    duration longest_double_ownership{};
    std::vector<std::string> examples; ///< the first findings, as text
    std::unordered_map<std::string, std::uint32_t> runs_by_idempotency_key;
};

/// Checks the run records of all upstreams together: no at-most-once request runs twice, every run has a
/// grant, and no two upstreams hold a grant of one key at the same time.
class run_judge {
public:
    /// @param shards number of shards of every service, to find the shard of a hot key
    explicit run_judge(std::uint32_t shards);

    /// Adds the record of one upstream, in the order of its lines.
    void add_upstream(const std::vector<record_line>& lines);
    /// Compares the grants of all upstreams and returns the findings. Call it once, after every
    /// add_upstream().
    judgement finish();

private:
    struct interval {
        time_point from;
        time_point until;
        std::size_t upstream = 0;
    };
    struct live_grant {
        time_point from;
        time_point until;
        grant_scope scope;
    };
    struct service_grants {
        std::map<std::uint32_t, std::vector<interval>> shards;
        std::map<std::string, std::vector<interval>> hot_keys;
        std::map<std::string, std::vector<interval>> moved_keys;
    };
    struct upstream_state {
        process_start_event identity;
        live_grant grant;
    };

    void check_run(const upstream_state& upstream, const run_event& run, time_point at);
    /// Ends the grant in force at @p at and adds its interval to each of its shards and keys.
    void end_grant(upstream_state& upstream, time_point at);
    void count_overlaps(const std::string& what, std::vector<interval>& intervals);
    /// Counts the overlaps of the grants of @p key that involve a grant of the key by name.
    void count_hot_key_overlaps(const std::string& key, service_grants& service);
    void add_example(const std::string& text);

    std::uint32_t shards_;
    std::size_t upstreams_ = 0;
    std::map<std::string, service_grants> services_;
    std::unordered_map<std::string, std::uint32_t> at_most_once_starts_;
    judgement result_;
};

/// Judges a folder in which every file is the record of one upstream. A last line without line break (a torn
/// write) is ignored.
/// @throws io_error, invalid_input
judgement judge_folder(const std::filesystem::path& folder, std::uint32_t shards);

} // namespace kingcupseam::app
