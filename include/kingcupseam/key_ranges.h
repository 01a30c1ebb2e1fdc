#pragma once

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::key_ranges {

using directory::key_number;

/// Requests per key of one service, weighted towards recent ones.
class key_loads {
public:
    key_loads();
    void add(key_number key, double requests);
    /// Multiplies everything by @p factor, 0 to 1.
    void decay(double factor);
    double total() const noexcept { return total_; }
    double of(key_number key) const { return counts_[key]; }

private:
    std::vector<double> counts_;
    double total_ = 0;
};

/// What the leader knows of an upstream beside the directory.
struct upstream_condition {
    time_point last_announced;
    double speed = 1; ///< relative to the other upstreams of the service; 2 is twice as fast
};

struct planner_options {
    /// Moves start when an upstream has this many times the mean load of its weight.
    double overload_ratio = 1.4;
    /// Moves start too when an upstream has less than this part of the mean load.
    double underload_ratio = 0.4;
    /// A key that overloads its owner alone moves to an upstream that has this many times the capacity.
    double hot_key_gain = 1.4;
    /// Moves of one service that are open at once: each stops work on its keys for the length of a request.
    std::size_t max_moves = 16;
    /// Requests in the demand below which differences are noise: a mean below it moves nothing for balance.
    double min_requests_per_upstream = 3;
};

/// An upstream that may own more ranges.
struct candidate {
    directory::upstream_incarnation incarnation;
    double weight = 1; ///< relative capacity
};

/// A part of a range that should get another owner.
struct planned_move {
    key_number first = 0;
    key_number last = 0;
    directory::upstream_incarnation from; ///< empty id: nobody
    directory::upstream_incarnation target;
    bool operator==(const planned_move&) const = default;
};

/// Who should own the @p vacant keys (sorted, not overlapping) so that load fits the weights.
std::vector<planned_move> plan_vacant(const std::vector<directory::key_range>& vacant,
                                      const directory::range_map& owned,
                                      const std::vector<candidate>& candidates, const key_loads& load);

/// Moves that empty owners which are no candidates, and then restore the balance.
/// @param movable ranges that may be moved now
std::vector<planned_move> plan_moves(const directory::range_map& owned,
                                     const std::vector<directory::key_range>& movable,
                                     const std::vector<candidate>& candidates, const key_loads& load,
                                     const planner_options& settings);

struct lease_manager_options {
    duration lease_time =
        std::chrono::seconds(9); ///< lease time of a grant, counted by the upstream from its arrival
    double clock_error = 0.025;  ///< by which an upstream's clock may be slow; 2% are announced
    duration margin = std::chrono::milliseconds(150); ///< scheduling of this process and of the upstream
    duration retry_delay = std::chrono::milliseconds(400);
    duration announce_timeout = std::chrono::milliseconds(2600); ///< three missed announcements
    duration settle_time =
        std::chrono::milliseconds(1500); ///< wait for more upstreams before the first assignment
    int failed_calls_before_lost = 6;    ///< of an owner that announces itself but takes no grant
    duration plan_interval = std::chrono::milliseconds(300);
    planner_options planner;
};

enum class call_kind : std::uint8_t { grant, release };

/// An order to an upstream. Every call is settled by lease_manager::on_result.
struct call {
    std::uint64_t id = 0;
    call_kind kind = call_kind::grant;
    directory::upstream_incarnation target;
    endpoint_address address;
    key_number first = 0;
    key_number last = 0;
    std::uint64_t epoch = 0;
    duration lease_time{};
    std::string handover;
    bool new_connection = false; ///< a kept connection may be dead: what is sent on it stays in doubt
};

enum class call_result : std::uint8_t {
    done,
    refused,    ///< the upstream answered that it did not do it
    unanswered, ///< it may have been done, or be done later
    not_sent,
};

/// Grants and moves key ranges while this instance leads. A new leadership needs a new keeper. Has no clock
/// or socket. Keeps the invariant that a range is assigned to another upstream only when the former owner
/// cannot hold it any more.
class lease_manager {
public:
    lease_manager(lease_manager_options settings, time_point elected);

    struct view {
        const directory::snapshot& state;
        const std::map<std::string, upstream_condition>& conditions; ///< by upstream id
        std::map<std::string, key_loads>& loads;                     ///< by service
    };
    struct effects {
        std::vector<call> calls;
        directory::command command; ///< to propose, when not empty; settled by on_command
    };
    effects tick(const view& now_known, time_point now);
    /// @param handover token of an answered release
    void on_result(std::uint64_t call_id, call_result result, const std::string& handover, time_point now);
    /// @param committed false when the command was not committed as far as is known
    void on_command(bool committed);
    /// Latest time at which the owner of the key can hold it; for tests and metrics.
    time_point may_hold_until(const std::string& service, key_number key) const;

private:
    /// A part of a range on its way to another owner: released first, then assigned.
    struct move_part {
        key_number first = 0;
        key_number last = 0;
        directory::upstream_incarnation target;
        std::uint64_t open_call = 0; ///< 0 when no release is in progress
        time_point next_call;
        bool asked = false; ///< a release was sent: the upstream may have carried it out
        bool released = false;
        std::string handover;
    };
    struct handover_token {
        directory::upstream_incarnation target;
        std::string token;
    };
    /// What this leader knows about the lease of one range.
    struct lease {
        directory::key_range range;
        time_point answered_until; ///< from answered grants of this epoch
        time_point doubtful_until; ///< from unanswered grants of this epoch
        time_point prior_until;    ///< from grants of lower epochs, until this epoch was answered
        bool confirmed = false;
        time_point next_call;
        std::uint64_t open_call = 0;  ///< 0 when no grant is in progress
        int failed_calls = 0;         ///< grants in a row that were not done
        bool unreachable = false;     ///< the last call could not be sent
        bool reassigning = false;     ///< another owner was proposed: not renewed any more
        std::vector<move_part> parts; ///< not renewed while there are some
        std::string handover;         ///< for the first grant

        time_point may_hold_until() const;
        bool clean(time_point now) const; ///< a release that is answered ends it
    };
    using lease_map = std::map<key_number, lease>;

    duration bound() const;
    void synchronize(const directory::snapshot& state);
    lease inherited(const std::string& service, const directory::key_range& range);
    void assign_vacant(const std::string& service, const view& known, time_point now, effects& out);
    void finish_moves(const std::string& service, effects& out);
    static void add_planned(const lease& held, directory::range_map& out);
    void start_moves(const std::string& service, const view& known, time_point now, effects& out);
    void renew(const std::string& service, const view& known, time_point now, effects& out);
    void release_parts(lease& held, const directory::upstream& owner, time_point now, effects& out);
    void send_grant(lease& held, const directory::upstream& owner, const view& known, time_point now,
                    effects& out);
    void renew_epoch(const std::string& service, const view& known, time_point now, effects& out);
    bool is_silent(const std::string& id, const view& known, time_point now) const;
    bool is_lost(const lease& held, const view& known, time_point now) const;
    void on_grant_result(lease& held, call_result result, time_point now) const;
    void on_release_result(lease& held, move_part& part, call_result result, const std::string& handover,
                           time_point now) const;
    lease* find(const std::string& service, key_number key);
    std::vector<candidate> candidates(const std::string& service, const view& known, time_point now) const;

    lease_manager_options settings_;
    time_point elected_;
    std::uint64_t synchronized_index_ = 0;
    bool renumbered_ = false;
    bool renumber_proposed_ = false;
    bool command_open_ = false;
    std::uint64_t next_call_id_ = 1;
    std::map<std::string, lease_map> leases_;                           ///< by service
    std::map<std::uint64_t, std::pair<std::string, key_number>> calls_; ///< service and first key, by call
    std::map<std::string, time_point> first_seen_;                      ///< of an upstream of the service
    std::map<std::string, time_point> next_plan_;
    /// Tokens of moves that are being committed, by service and first key.
    std::map<std::string, std::map<key_number, handover_token>> handovers_;
};

} // namespace kingcupseam::key_ranges
