#pragma once

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcupseam::ownership {

using epoch_number = std::uint64_t;
inline constexpr std::uint32_t no_upstream = 0xffffffff;
/// Value of shard_row::next while this data centre is not the home of the shard.
inline constexpr std::uint32_t placed_elsewhere = 0xfffffffe;

/// Epoch of a change: the generation of the group above 40 bits of log index.
constexpr epoch_number make_epoch(std::uint64_t generation, std::uint64_t index) {
    return (generation << 40U) | index;
}

/// Lifecycle of a registered upstream; charts/upstream.toml holds the transitions.
enum class upstream_status : std::uint8_t { joining, active, draining, lost };

/// One announced upstream. Its position in table::upstreams is its index; a removed row keeps its place as
/// `lost` until it is reused under a higher epoch.
struct upstream_row {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    bool checks_grants = true;
    upstream_status condition = upstream_status::joining;
    std::string gate;         ///< instance name; empty while none is assigned
    std::string standby;      ///< instance that takes lookups when the link to the gate fails
    epoch_number epoch = 0;   ///< raised whenever its shards or its gate change
    epoch_number version = 0; ///< raised whenever its list of shards or keys changes
    auto operator<=>(const upstream_row&) const = default;
};

/// Owner of one shard. While next is set, the shard moves: nothing is dispatched until the old grant has
/// surely ended.
struct shard_row {
    std::uint32_t owner = no_upstream;
    std::uint32_t next = no_upstream;
    /// Epoch of the last change of owner, or of the start of the move in progress. A live owner that has
    /// accepted a version at or above it no longer runs the shard.
    epoch_number epoch = 0;
    auto operator<=>(const shard_row&) const = default;
};

struct service_rows {
    std::vector<shard_row> shards;
    std::map<std::string, shard_row> hot_keys; ///< keys that are owned apart from their shard
    bool operator==(const service_rows&) const = default;
};

/// Replicas of the ledgers of the shards with shard mod ledger_groups.size() equal to the position.
struct ledger_group {
    std::vector<std::string> replicas;
    std::vector<std::string> joining; ///< instances that copy the window and do not count yet
    /// Wall clock time, in ms, at which the group began anew after a majority of its windows was lost; 0:
    /// never.
    std::int64_t reset_ms = 0;
    auto operator<=>(const ledger_group&) const = default;
};

/// Routing table of one data centre; immutable once published.
struct table {
    std::string data_center;
    std::uint64_t generation = 0;
    std::uint64_t version = 0; ///< log index of the last change
    std::vector<upstream_row> upstreams;
    std::map<std::string, service_rows> services;
    std::vector<ledger_group> ledger_groups;
    bool operator==(const table&) const = default;

    /// Row of the upstream that may run @p key now; null while the key has no owner or moves.
    const upstream_row* owner_of(const std::string& service, std::uint32_t shard,
                                 const std::string& key) const;
    /// Row of the latest incarnation of @p upstream; null when there is none.
    const upstream_row* find(const std::string& upstream) const;
};

/// Shards as inclusive ranges and single keys, as a grant carries them.
struct grant_scope {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> shards;
    std::set<std::string> hot_keys;
    std::set<std::string> moved_keys;
    bool operator==(const grant_scope&) const = default;
    bool empty() const noexcept { return shards.empty() && hot_keys.empty(); }
};

/// What the gate of @p upstream grants under @p rows: nothing that moves, and nothing to an upstream that is
/// lost.
grant_scope scope_of(const table& rows, const upstream_row& upstream);

/// Thrift compact form (idl/ownership.thrift): the rows of shards are run-length coded.
std::string encode(const table& rows);
/// @throws invalid_input
table decode_table(const std::string& bytes);

struct register_upstream {
    upstream_row row;
    std::uint32_t shards =
        0; ///< number of shards of the service; only the first registration of a service sets it
    std::set<std::uint32_t> placed_shards; ///< unused when empty: all shards of the service are at home here
};
struct set_condition {
    std::string upstream;
    std::uint64_t incarnation = 0;
    upstream_status condition = upstream_status::active;
    /// Highest epoch that the observation behind the change knows; 0: any. A row with a higher epoch has
    /// changed since, for example by registering again, and the command is ignored.
    epoch_number observed = 0;
};
struct set_gate {
    std::string upstream;
    std::string gate;
    std::string standby;
};
/// Marks shards as moving to @p to; the owner stays until complete_move.
struct begin_move {
    std::string service;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> hot_keys;
    std::string to;
};
/// The old grants have surely ended: the next owner becomes the owner. Ignored for shards that are not moving
/// to @p to, and while @p to is lost. An empty @p to takes the owner from shards that leave this data centre.
struct complete_move {
    std::string service;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> hot_keys;
    std::string to;
};
/// Shards that this data centre is home to; the others lose their owner here once their grants have ended.
struct set_placement {
    std::string service;
    std::vector<std::uint32_t> shards;
};
struct set_ledger_group {
    std::uint32_t group = 0;
    ledger_group replicas;
};
using command = std::variant<register_upstream, set_condition, set_gate, begin_move, complete_move,
                             set_placement, set_ledger_group>;

std::string encode(const command& change);
/// @throws invalid_input
command decode_command(const std::string& bytes);

/// Deterministic state machine of a data centre group. Commands that do not fit the table are ignored. An
/// upstream that registers with another incarnation gets a new row; the old row stays as `lost` until it owns
/// nothing.
class assignment_state {
public:
    assignment_state(std::string data_center, std::uint64_t generation);
    /// Restores a snapshot.
    explicit assignment_state(table rows);

    /// @param index log index of the command
    /// @returns true when the table changed
    bool apply(const command& change, std::uint64_t index);
    std::shared_ptr<const table> current() const;

private:
    std::shared_ptr<table> table_; ///< copied before a change while a reader holds it
};

/// Load seen on single keys during the last period, for moving hot keys.
struct key_load {
    std::string service;
    std::string key;
    double requests_per_second = 0;
};

/// What the leader knows besides the table.
struct cluster_view {
    std::set<std::string>
        live_instances; ///< instances of this data centre that may be gates and ledger replicas
    /// Latest time at which each upstream's grant can still be live, over all gates that it has had; absent:
    /// surely ended. For each gate this is the end of its lease. The earlier time that a gate reports counts
    /// only for an upstream that is lost, and once the gate has applied the table in which it is: until then
    /// the gate may renew.
    std::map<std::string, time_point> grant_may_live_until;
    /// Upstreams whose revocation at the table's version was acknowledged.
    std::map<std::string, epoch_number> acknowledged_version;
    /// Instances that may hold ledger windows, named so that a restarted one differs; live_instances when
    /// empty.
    std::set<std::string> live_replicas;
    std::map<std::string, time_point>
        joined_at; ///< when each upstream became active, for the cold-start ramp
    std::vector<key_load> hot_keys;
};

class planner {
public:
    planner() = default;
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;
    virtual ~planner() = default;
    /// Commands that bring @p rows closer to the goal; empty when nothing is to be done. Called on the leader
    /// only, and again only once the commands of the former plan are applied or known to be dropped.
    virtual std::vector<command> plan(const table& rows, const cluster_view& view, time_point now) = 0;
};

struct planner_options {
    duration ramp = std::chrono::seconds(5); ///< time in which a joining upstream reaches its full weight
    std::uint32_t ramp_steps = 5;
    std::uint32_t max_hot_key_moves = 10; ///< per hot_key_period
    duration hot_key_period = std::chrono::seconds(10);
    std::uint32_t ledger_group_count = 16;
    std::uint32_t ledger_replicas = 3;
};

/// Restores the balance with the fewest moves; assigns gates, standbys and ledger groups evenly.
std::unique_ptr<planner> make_fewest_moves_planner(planner_options settings);

/// Largest relative rate between two clocks that leases allow for: 2,000 ppm. Crystals are off by up to 100
/// ppm and time daemons slew by up to 500 ppm, on either side; the rest is reserve.
inline constexpr std::int64_t clock_drift_divisor = 500;
/// Time for a dispatched request to reach its upstream: one way inside a data centre is 1.5 ms at most, the
/// rest covers queueing in sockets and threads.
inline constexpr duration max_dispatch_latency = std::chrono::milliseconds(10);

/// Most that two clocks differ by after @p length, rounded up.
constexpr duration max_clock_drift(duration length) {
    return duration(length.count() / clock_drift_divisor + 1);
}
/// How long before the end of a lease of @p length dispatch stops.
constexpr duration dispatch_margin(duration length) {
    return max_clock_drift(length) + max_dispatch_latency;
}

/// Grants from the view of the gate of one upstream: what to send, and until when the upstream may hold a
/// live grant.
class grant_issuer {
public:
    struct grant {
        epoch_number epoch = 0;
        epoch_number version = 0;
        duration lease{};
        std::string token;
        bool with_shards = false;
        bool revoke = false;
    };

    grant_issuer(duration lease, duration interval);

    /// Sets what is to be granted. Revoking grants nothing and ends with revoked() once acknowledged or
    /// expired.
    void assign(epoch_number epoch, epoch_number version);
    void revoke(epoch_number epoch);
    /// @param gate_lease_end end of this gate's own lease; no grant lasts longer
    /// @returns the grant to send now, if one is due
    std::optional<grant> poll(time_point now, time_point gate_lease_end);
    /// Headers of a request renew the grant too. @returns the lease to state, or empty without a usable token
    std::optional<grant> renew_with_request(time_point now, time_point gate_lease_end);

    /// @param requested when the request whose answer carried the token was sent; with it, may_dispatch()
    /// does not count the time the answer took. Without it, @p received is used.
    void on_token(const std::string& token, time_point received,
                  std::optional<time_point> requested = std::nullopt);
    /// Every grant of poll() is settled by exactly one of on_accepted, on_shards_missing, on_higher_epoch and
    /// on_failure. Requests that carried a renewal are not settled here.
    void on_accepted(epoch_number epoch, epoch_number version, time_point now);
    void on_shards_missing(time_point now);
    void on_higher_epoch(epoch_number epoch, time_point now);
    void on_failure(time_point now);

    /// True while the upstream surely holds a live grant of the assigned version, less dispatch_margin();
    /// dispatch only then.
    bool may_dispatch(time_point now) const;
    /// Latest time at which the upstream can hold a live grant from this gate; time_point{} before the first
    /// one.
    time_point may_live_until() const noexcept;
    /// True once this gate's own grants have ended. A gate that took over may see this while a grant of the
    /// former gate is live, so only acknowledged() counts for cluster_view::acknowledged_version.
    bool revoked(time_point now) const;
    /// True once the upstream accepted the assigned version or the revocation.
    bool acknowledged() const noexcept;
    /// Number of pushes in a row that failed or went unanswered. Failures less than half an interval apart
    /// count once; a new epoch clears a count at which the upstream was reported as lost.
    std::uint32_t failures() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Why an upstream refuses to run a key.
enum class grant_refusal : std::uint8_t { none, no_lease, lower_epoch, not_granted };

/// Grants from the view of the upstream. Embedded by upstreams; the stand-in uses it.
class grant_holder {
public:
    using scope = grant_scope;
    enum class reply : std::uint8_t { accepted, lower_epoch, shards_missing };

    explicit grant_holder(std::uint64_t seed);

    /// Issues a token; the lease of a grant that returns it counts from @p now. Old tokens are forgotten
    /// after a minute.
    std::string issue_token(time_point now);
    reply receive(epoch_number epoch, epoch_number version, duration lease, const std::string& token,
                  const std::optional<scope>& granted, time_point now);
    grant_refusal check(epoch_number epoch, std::uint32_t shard, const std::string& key,
                        time_point now) const;
    epoch_number epoch() const noexcept;
    epoch_number version() const noexcept;
    time_point live_until() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::ownership
