#pragma once

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::key_ranges {

using directory::key_number;

/// Requests per key of one service; older requests count less.
class key_loads {
public:
    key_loads();
    void add(key_number key, double requests);
    /// Multiplies all counts by @p factor, 0 to 1.
    void decay(double factor);
    double total() const noexcept { return total_; }
    double requests_for(key_number key) const { return counts_[key]; }

private:
    std::vector<double> counts_;
    double total_ = 0;
};

/// What the leader knows of an upstream besides the directory.
struct upstream_condition {
    time_point last_announced;
    double speed = 1;               ///< relative to the other upstreams of the service; 2 is twice as fast
    std::optional<double> max_load; ///< load that it accepts at most, in the unit of key_loads
};

struct planner_options {
    /// Moves start when an upstream has this many times the mean load for its weight.
    double overload_ratio = 1.4;
    /// Moves start also when an upstream has less than this fraction of the mean load for its weight.
    double underload_ratio = 0.4;
    /// A key that alone overloads its owner moves only to an upstream with this many times the owner's
    /// weight.
    double hot_key_gain = 1.4;
    /// Moves of one service in progress at once. Each blocks its keys for up to the length of a request.
    std::size_t max_moves = 16;
    /// With fewer requests per upstream on average, differences in load are noise and no range is moved to
    /// balance it.
    double min_requests_per_upstream = 3;
};

/// An upstream that may own more ranges.
struct candidate {
    directory::upstream_incarnation incarnation;
    double weight = 1;              ///< relative capacity
    std::optional<double> max_load; ///< as in upstream_condition
};

/// A part of a range to be assigned to another owner.
struct planned_move {
    key_number first = 0;
    key_number last = 0;
    directory::upstream_incarnation from; ///< empty id: no owner
    directory::upstream_incarnation target;
    bool operator==(const planned_move&) const = default;
};

/// Assigns the @p vacant ranges (sorted, not overlapping) so that load is proportional to weight.
std::vector<planned_move> plan_vacant(const std::vector<directory::key_range>& vacant,
                                      const directory::range_map& owned,
                                      const std::vector<candidate>& candidates, const key_loads& load);

/// Moves all ranges away from owners that are no candidates, then balances the load.
/// @param movable ranges that may be moved now
std::vector<planned_move> plan_moves(const directory::range_map& owned,
                                     const std::vector<directory::key_range>& movable,
                                     const std::vector<candidate>& candidates, const key_loads& load,
                                     const planner_options& settings);

struct lease_manager_options {
    /// Lease time of a grant; the upstream counts it from the grant's arrival.
    duration lease_time = std::chrono::seconds(9);
    /// Lease time of the first grant after a move, at most lease_time; its answer is followed by a full one.
    /// While that grant is unanswered, nobody else can be given the keys.
    duration first_lease_time = std::chrono::milliseconds(1300);
    /// Fraction by which an upstream's clock may be slow. The upstreams specify 2%.
    double clock_error = 0.025;
    /// Allowance for scheduling delays of this process and of the upstream.
    duration margin = std::chrono::milliseconds(150);
    duration retry_delay = std::chrono::milliseconds(400);
    /// Three missed announcements.
    duration announce_timeout = std::chrono::milliseconds(2600);
    /// Time for more upstreams to register before the first assignment.
    duration first_assignment_delay = std::chrono::milliseconds(1500);
    /// After this many failed grants in a row, an owner that still announces itself counts as lost.
    int failed_calls_before_lost = 6;
    duration plan_interval = std::chrono::milliseconds(300);
    planner_options planner;
};

enum class call_kind : std::uint8_t { grant, release };

/// A request to an upstream to accept or release keys. The result of every call is passed to
/// lease_manager::on_result().
struct call {
    std::uint64_t id = 0;
    call_kind kind = call_kind::grant;
    directory::upstream_incarnation target;
    endpoint_address address;
    key_number first = 0;
    key_number last = 0;
    std::uint64_t epoch = 0;
    duration lease_time{};
    std::string handover;        ///< token from the release by the previous owner
    bool new_connection = false; ///< an idle connection may be dead: the result of a call on it stays unknown
};

enum class call_result : std::uint8_t {
    done,
    refused,        ///< the upstream answered that it did not carry it out
    wrong_upstream, ///< the process at the address is another upstream: the target has ended
    unanswered,     ///< the upstream may have carried it out or may do so later
    not_sent,
};

/// Grants, renews and moves leases of key ranges while this instance leads; create a new one for each
/// leadership. Invariant: a range is assigned to another upstream only when the former owner can no longer
/// hold it. Uses no clock or sockets of its own.
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
        directory::command command; ///< to propose unless empty; its outcome goes to on_command
    };
    effects tick(const view& known, time_point now);
    /// @param handover token from the answer to a release
    void on_result(std::uint64_t call_id, call_result result, const std::string& handover, time_point now);
    /// @param committed false when the command is not known to be committed
    void on_command(bool committed);
    /// End of the time in which the owner may hold the key; for tests and metrics.
    time_point may_hold_until(const std::string& service, key_number key) const;

private:
    /// A part of a range that is moving to another owner: released first, then assigned.
    struct move_part {
        key_number first = 0;
        key_number last = 0;
        directory::upstream_incarnation target;
        std::uint64_t open_call = 0; ///< 0 when no release is in progress
        time_point next_call;
        bool release_sent = false; ///< the upstream may have carried out a release
        bool released = false;
        std::string handover;
    };
    struct handover_token {
        directory::upstream_incarnation target;
        std::string token;
    };
    /// This leader's knowledge of the lease of one range.
    struct lease {
        directory::key_range range;
        endpoint_address address;      ///< last known one of the owner
        time_point answered_until;     ///< from answered grants of this epoch
        time_point unanswered_until;   ///< from unanswered grants of this epoch
        time_point lower_epochs_until; ///< from grants of lower epochs; cleared once this epoch is answered
        bool confirmed = false;        ///< a grant of this epoch was answered
        time_point next_call;
        std::uint64_t open_call = 0;    ///< 0 when no grant is in progress
        std::uint64_t open_release = 0; ///< release of all keys of an unregistered owner; 0 when none
        time_point next_release;
        int failed_calls = 0;         ///< failed grants in a row
        bool unreachable = false;     ///< the last call could not be sent
        bool reassigning = false;     ///< a reassignment was proposed; not renewed any more
        std::vector<move_part> parts; ///< being moved; not renewed meanwhile
        std::string handover;         ///< for the first grant
        duration requested_time{};    ///< lease time of the last grant that was sent

        time_point may_hold_until() const;
        /// Whether only answered grants of this epoch can be in effect: an answered release then ends the
        /// lease.
        bool is_settled(time_point now) const;
    };
    using lease_map = std::map<key_number, lease>;

    /// Longest time after its arrival for which the owner may count a grant of @p lease_time as valid.
    duration max_lease_duration(duration lease_time) const;
    void synchronize(const directory::snapshot& state);
    lease carried_over_lease(const std::string& service, const directory::key_range& range);
    void assign_vacant(const std::string& service, const view& known, time_point now, effects& out);
    void finish_moves(const std::string& service, effects& out);
    static void add_planned_ranges(const lease& held, directory::range_map& out);
    void start_moves(const std::string& service, const view& known, time_point now, effects& out);
    /// Sends the grants of ranges that stay and the releases of parts that move.
    void send_due_calls(const std::string& service, const view& known, time_point now, effects& out);
    /// Asks the process at the address of an owner that is not registered any more to give up the range. It
    /// may hold it: a grant names only the id, which a later incarnation shares.
    void release_unregistered(const std::string& service, lease& held, time_point now, effects& out);
    void release_parts(lease& held, const directory::upstream& owner, time_point now, effects& out);
    void send_grant(lease& held, const directory::upstream& owner, const view& known, time_point now,
                    effects& out);
    /// Assigns unsettled ranges of owners that accept no work to the same owners again: once the new epoch is
    /// answered, their leases are settled and can be released.
    void assign_new_epochs(const std::string& service, const view& known, time_point now, effects& out);
    /// The registered upstream that has replaced the owner of a range under the same id; null if there is
    /// none.
    static const directory::upstream* later_incarnation(const std::string& service,
                                                        const directory::upstream_incarnation& owner,
                                                        const directory::snapshot& state);
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
    std::map<std::string, time_point> first_seen_;                      ///< first upstream, by service
    std::map<std::string, time_point> next_plan_;
    /// Handover tokens of moves that are being committed, by service and first key.
    std::map<std::string, std::map<key_number, handover_token>> handovers_;
};

} // namespace kingcupseam::key_ranges
