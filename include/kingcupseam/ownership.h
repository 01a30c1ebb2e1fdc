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
/// Value of shard_row::next while the shard is placed in another data centre.
inline constexpr std::uint32_t placed_elsewhere = 0xfffffffe;

/// Epoch of a change: the generation of the data centre group, followed by 40 bits of log index.
constexpr epoch_number make_epoch(std::uint64_t generation, std::uint64_t index) {
    return (generation << 40U) | index;
}

/// Lifecycle of a registered upstream; charts/upstream.toml holds the transitions.
enum class upstream_status : std::uint8_t { joining, active, draining, lost };

/// One announced upstream. Its position in table::upstreams is its index. The row of an upstream that is gone
/// stays as `lost` until it is reused under a higher epoch.
struct upstream_row {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    bool checks_grants = true;
    upstream_status condition = upstream_status::joining;
    std::string gate; ///< instance that queues and dispatches the upstream's requests; empty: none assigned
    /// Instance that becomes the gate when the gate is lost; takes lookups while the link to the gate is
    /// down.
    std::string standby;
    epoch_number epoch = 0;   ///< raised whenever its shards or its gate change
    epoch_number version = 0; ///< raised whenever its list of shards or keys changes
    auto operator<=>(const upstream_row&) const = default;
};

/// Owner of one shard. While `next` is set the shard moves: nothing is dispatched until the grant of the
/// current owner is known to have ended.
struct shard_row {
    std::uint32_t owner = no_upstream;
    std::uint32_t next = no_upstream;
    /// Epoch of the last change of owner, or of the start of the move in progress. An owner that has accepted
    /// a version at or above it no longer runs a moving shard.
    epoch_number epoch = 0;
    auto operator<=>(const shard_row&) const = default;
};

struct service_rows {
    std::vector<shard_row> shards;
    std::map<std::string, shard_row> hot_keys; ///< keys that have an owner of their own
    bool operator==(const service_rows&) const = default;
};

/// Replicas of the ledgers of all shards for which shard mod ledger_groups.size() is the group's position.
struct ledger_group {
    std::vector<std::string> replicas;
    std::vector<std::string> joining; ///< instances that copy the window and do not count as replicas yet
    /// Wall clock time, in ms, at which the group was reset because a majority of its windows was lost; 0:
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

    /// Row of the upstream that owns @p key; null while the key has no owner, or is moving.
    const upstream_row* owner_of(const std::string& service, std::uint32_t shard,
                                 const std::string& key) const;
    /// Row of the latest incarnation of @p upstream; null when the name is unknown.
    const upstream_row* latest_row(const std::string& upstream) const;
};

/// The keys that a grant covers: inclusive ranges of shards, plus `hot_keys`, minus `moved_keys`.
struct grant_scope {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> shards;
    std::set<std::string> hot_keys;
    std::set<std::string> moved_keys;
    bool operator==(const grant_scope&) const = default;
    bool empty() const noexcept { return shards.empty() && hot_keys.empty(); }
};

/// Keys that the gate of @p upstream grants to it under @p rows: none that are moving, and none to a lost
/// upstream.
grant_scope scope_of(const table& rows, const upstream_row& upstream);

/// Thrift compact protocol (idl/ownership.thrift) with run-length encoded shard rows.
std::string encode(const table& rows);
/// @throws invalid_input
table decode_table(const std::string& bytes);

struct register_upstream {
    upstream_row row;
    std::uint32_t shards = 0; ///< number of shards of the service, set by its first registration only
    std::set<std::uint32_t> placed_shards; ///< shards placed in this data centre; empty: all shards
};
struct set_condition {
    std::string upstream;
    std::uint64_t incarnation = 0;
    upstream_status condition = upstream_status::active;
    /// Highest epoch known to whoever observed the condition; 0: any. The command is ignored when the row has
    /// a higher epoch, for example because the upstream has registered again since.
    epoch_number observed = 0;
};
struct set_gate {
    std::string upstream;
    std::string gate;
    std::string standby;
};
/// Marks shards and hot keys as moving to @p to; they keep their owner until complete_move.
struct begin_move {
    std::string service;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> hot_keys;
    std::string to;
};
/// Makes the next owner the owner, once the grants of the former one have ended. Ignored for shards that are
/// not moving to @p to, and while @p to is lost. An empty @p to removes the owner of shards that are placed
/// in another data centre.
struct complete_move {
    std::string service;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> hot_keys;
    std::string to;
};
/// Shards that are placed in this data centre; the others lose their owner here once their grants have ended.
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

/// Deterministic state machine of a data centre group. Commands that do not apply to the table are ignored.
/// An upstream that registers with another incarnation gets a new row; the old row stays as `lost` until it
/// owns nothing.
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
    std::shared_ptr<table> table_; ///< copy-on-write: copied before a change while a reader holds it
};

/// Request rate of a single key during the last period, used to move hot keys.
struct key_load {
    std::string service;
    std::string key;
    double requests_per_second = 0;
};

/// What the leader of the data centre group knows besides the table.
struct cluster_view {
    std::set<std::string> live_instances; ///< instances of this data centre, for gates and replicas
    /// Latest time at which a grant of each upstream may end, over all gates that it has had; absent: no
    /// grant is live. For each gate this is the end of the gate's lease. An earlier end that a gate reports
    /// is used only if the upstream is lost and the gate has applied the loss, since any other gate may renew
    /// the grant.
    std::map<std::string, time_point> grant_may_live_until;
    /// Highest version of the table row that each upstream has acknowledged to its gate.
    std::map<std::string, epoch_number> acknowledged_version;
    /// Instances that may hold ledger windows, under names that change when an instance restarts. When empty,
    /// live_instances is used.
    std::set<std::string> live_replicas;
    std::map<std::string, time_point> joined_at; ///< when each upstream became active; start of its ramp
    std::vector<key_load> hot_keys;
};

class planner {
public:
    planner() = default;
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;
    virtual ~planner() = default;
    /// Commands that bring @p rows closer to a balanced assignment; empty when nothing is to be done. Called
    /// on the leader only, and not while commands of the previous plan are still pending.
    virtual std::vector<command> plan(const table& rows, const cluster_view& view, time_point now) = 0;
};

struct planner_options {
    duration ramp = std::chrono::seconds(5); ///< time in which a cold upstream reaches its full weight
    std::uint32_t ramp_steps = 5;            ///< steps in which the weight rises
    std::uint32_t max_hot_key_moves = 10;    ///< per hot_key_period
    duration hot_key_period = std::chrono::seconds(10);
    std::uint32_t ledger_group_count = 16;
    std::uint32_t ledger_replicas = 3;
};

/// Balances shards with the fewest moves, and distributes gates, standbys and ledger replicas evenly.
std::unique_ptr<planner> make_fewest_moves_planner(planner_options settings);

/// Leases allow two clocks to drift apart by 2,000 ppm: each clock is off by up to 100 ppm because of its
/// crystal oscillator and by up to 500 ppm while a time daemon slews it; the rest is a safety margin.
inline constexpr std::int64_t clock_drift_divisor = 500;
/// Longest time for a dispatched request to reach its upstream: at most 1.5 ms one way inside a data centre,
/// the rest for queueing in sockets and threads.
inline constexpr duration max_dispatch_latency = std::chrono::milliseconds(10);

/// Upper bound of the drift between two clocks over @p length.
constexpr duration max_clock_drift(duration length) {
    return duration(length.count() / clock_drift_divisor + 1);
}
/// Dispatch stops this long before the end of a lease of @p length.
constexpr duration dispatch_margin(duration length) {
    return max_clock_drift(length) + max_dispatch_latency;
}

/// The gate's side of the grant protocol with one upstream: which grant to send, and until when the upstream
/// may hold a live one. A grant is sent in a message of its own, called a push, or in the headers of a
/// request.
class grant_issuer {
public:
    struct grant {
        epoch_number epoch = 0;
        epoch_number version = 0;
        duration lease{};
        std::string token;        ///< empty: the grant has no lease
        bool with_shards = false; ///< the upstream may not have this version, so the push lists its shards
        bool revoke = false;      ///< the list of shards is empty
    };

    grant_issuer(duration lease, duration interval);

    /// Sets the epoch and version to grant; revoke() sets an empty grant. A revocation is complete once
    /// revoked() returns true.
    void assign(epoch_number epoch, epoch_number version);
    void revoke(epoch_number epoch);
    /// @param gate_lease_end end of the lease that this gate holds from the leader; no grant outlasts it
    /// @returns the grant to push now, if a push is due
    std::optional<grant> poll(time_point now, time_point gate_lease_end);
    /// Renews the grant with the headers of a request. @returns the grant to send, empty without a usable
    /// token
    std::optional<grant> renew_with_request(time_point now, time_point gate_lease_end);

    /// Stores the token that an answer of the upstream carried; later grants carry it back.
    /// @param requested when the request that was answered was sent; may_dispatch() counts the lease from
    /// then, or from @p received when it is not given
    void on_token(const std::string& token, time_point received,
                  std::optional<time_point> requested = std::nullopt);
    /// For each push, exactly one of on_accepted, on_shards_missing, on_higher_epoch and on_failure must be
    /// called, and none for a grant of renew_with_request().
    void on_accepted(epoch_number epoch, epoch_number version, time_point now);
    void on_shards_missing(time_point now);
    void on_higher_epoch(epoch_number epoch, time_point now);
    void on_failure(time_point now);

    /// True while the upstream is known to hold a live grant of the assigned version, less dispatch_margin().
    /// Requests must not be dispatched otherwise.
    bool may_dispatch(time_point now) const;
    /// Upper bound of the end of the grants from this gate; time_point{} before the first one.
    time_point may_live_until() const noexcept;
    /// True once a revocation was assigned and the grants of this gate have ended. A grant of a former gate
    /// may still be live then, so only acknowledged() may be reported as cluster_view::acknowledged_version.
    bool revoked(time_point now) const;
    /// True once the upstream accepted the assigned version or the revocation.
    bool acknowledged() const noexcept;
    /// Number of consecutive pushes that failed or were not answered. Failures less than half an interval
    /// apart count once. A new epoch resets a count that was high enough to report the upstream as lost.
    std::uint32_t failures() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Why an upstream refuses to run a key.
enum class grant_refusal : std::uint8_t {
    none,
    no_lease,    ///< the lease has ended
    lower_epoch, ///< the request was dispatched under a lower epoch than that of the grant
    not_granted  ///< the grant does not cover the key, or has a lower epoch than the request
};

/// The upstream's side of the grant protocol, for embedding in upstreams.
class grant_holder {
public:
    using scope = grant_scope;
    enum class reply : std::uint8_t {
        accepted,
        lower_epoch,   ///< a grant of a higher epoch or version was received before
        shards_missing ///< the version is new, and the grant does not list its shards
    };

    explicit grant_holder(std::uint64_t seed);

    /// Issues a token; the lease of a grant that carries it back counts from @p now. Tokens expire after a
    /// minute.
    std::string issue_token(time_point now);
    /// Handles a grant. @param granted the keys that it covers; required if @p version differs from version()
    reply receive(epoch_number epoch, epoch_number version, duration lease, const std::string& token,
                  const std::optional<scope>& granted, time_point now);
    /// @returns why a request of @p key that was dispatched under @p epoch must not run now; none if it may
    grant_refusal check(epoch_number epoch, std::uint32_t shard, const std::string& key,
                        time_point now) const;
    epoch_number epoch() const noexcept;
    epoch_number version() const noexcept;
    /// End of the lease.
    time_point live_until() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::ownership
