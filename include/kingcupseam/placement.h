#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Placement of shards in data centres. A data centre serves its shards for a limited time, the hold, after
/// its last contact with the leader of the global group. That leader moves shards with the data centre's
/// confirmation (planned move), or without it once the hold has certainly expired (takeover).
namespace kingcupseam::placement {

inline constexpr std::int16_t unplaced = -1;

/// A clock drifts from true time by at most 2,000 ppm (1/500).
inline constexpr std::int64_t clock_drift_divisor = 500;

/// Largest error of a clock over @p length. The data centre stops this much earlier, and the global leader
/// waits this much longer.
constexpr duration drift_margin(duration length) {
    return duration(length.count() / clock_drift_divisor + 1);
}

/// A planned move that waits for the confirmation of the shard's data centre.
struct pending_release {
    std::int16_t next = unplaced; ///< index into service_placement::data_centers
    std::uint64_t begun = 0;      ///< log index of begin_release, to reject confirmations of earlier releases
    auto operator<=>(const pending_release&) const = default;
};

/// Placement of the shards of one service.
struct service_placement {
    std::vector<std::string> data_centers;
    std::vector<std::int16_t> placements;               ///< by shard: index into data_centers or unplaced
    std::map<std::uint32_t, pending_release> releases;  ///< by shard
    std::map<std::string, std::uint32_t> planned_slots; ///< by data centre, as of the last planning
    std::uint64_t version = 0;                          ///< log index of the last change
    bool operator==(const service_placement&) const = default;
};

/// Holds that the global group has granted to one data centre.
struct granted_holds {
    std::uint64_t contact_count = 0;       ///< committed contacts
    std::uint64_t lengthened_at = 0;       ///< log index of the last contact that lengthened a hold
    std::map<std::string, duration> holds; ///< by service: the longest that the data centre may be using
    bool operator==(const granted_holds&) const = default;
};

/// Initial placement (base_version 0) and takeovers. Refused when the service's placement has changed, or
/// when a data centre that loses shards has been in contact since the decision.
struct set_placement {
    std::string service;
    std::uint64_t base_version = 0;
    std::vector<std::string> data_centers;
    std::vector<std::int16_t> placements;
    std::map<std::string, std::uint32_t> planned_slots;
    /// granted_holds::contact_count of the data centres that lose shards.
    std::map<std::string, std::uint64_t> contact_counts;
    bool operator==(const set_placement&) const = default;
};

/// Starts planned moves. Refused when the service's placement has changed.
struct begin_release {
    std::string service;
    std::uint64_t base_version = 0;
    std::map<std::uint32_t, std::string> next; ///< target data centre by shard
    std::map<std::string, std::uint32_t> planned_slots;
    bool operator==(const begin_release&) const = default;
};

/// Completes planned moves: the data centre no longer serves these shards. Shards whose release has another
/// `begun` are skipped.
struct confirm_release {
    std::string service;
    std::string data_center;
    std::map<std::uint32_t, std::uint64_t> begun; ///< pending_release::begun by shard
    bool operator==(const confirm_release&) const = default;
};

/// Records a contact in the log, so that a takeover decided before it is refused, and the holds granted with
/// it.
struct contact {
    std::string data_center;
    std::map<std::string, duration> holds;
    bool operator==(const contact&) const = default;
};

using command = std::variant<set_placement, begin_release, confirm_release, contact>;

/// Placement of all services, a deterministic part of the global group's state machine.
struct placement_state {
    std::map<std::string, service_placement> services;
    std::map<std::string, granted_holds> granted; ///< by data centre
    std::uint64_t version = 0;                    ///< log index of the last change
    bool operator==(const placement_state&) const = default;

    /// @param index log index of the command; higher than all earlier ones
    /// @returns false when the command was refused and changed nothing
    bool apply(const command& change, std::uint64_t index);
};

/// Shards of one service that are placed in one data centre.
struct service_assignment {
    duration hold{};
    std::set<std::uint32_t> shards;                   ///< without those that are being released
    std::map<std::uint32_t, std::uint64_t> releasing; ///< pending_release::begun by shard
    bool operator==(const service_assignment&) const = default;
};

/// Shards of one data centre. Takes effect once that data centre's group has committed it.
struct data_center_assignment {
    std::uint64_t version = 0; ///< placement_state::version
    std::map<std::string, service_assignment> services;
    bool operator==(const data_center_assignment&) const = default;
};

/// From the leader of a data centre group to the leader of the global group.
struct contact_request {
    std::string data_center;
    std::uint64_t holder = 0; ///< id of the placement_holder: a new leader ignores replies to a former one
    std::uint64_t number = 0;
    std::uint64_t version = 0;             ///< committed in the data centre
    std::map<std::string, duration> holds; ///< committed in the data centre
    std::vector<confirm_release> released;
    bool operator==(const contact_request&) const = default;
};

struct contact_reply {
    std::uint64_t holder = 0;
    std::uint64_t number = 0;
    std::optional<data_center_assignment> assigned; ///< empty when the request states its version and holds
    bool operator==(const contact_reply&) const = default;
};

/// Places shards in proportion to the slots with as few moves as possible; moved shards are interleaved
/// among the data centres that gain.
/// @param current by shard: index into @p slots or unplaced
/// @param movable by shard: whether it may leave its data centre; unplaced shards are always placed
/// @param may_gain by data centre: whether it may get shards
/// @returns the new placement; equal to @p current when no data centre with slots may gain
std::vector<std::int16_t> spread_shards(const std::vector<std::int16_t>& current,
                                        const std::vector<std::uint32_t>& slots,
                                        const std::vector<bool>& movable, const std::vector<bool>& may_gain);

struct planner_options {
    /// Time for the data centres to register their upstreams before the initial placement.
    duration initial_placement_delay = std::chrono::milliseconds(1500);
    /// Fraction of its slots that a data centre must gain or lose before shards move; larger than what a
    /// restart of single upstreams changes.
    double rebalance_threshold = 0.25;
    /// How long such a change must last; longer than a restart of all upstreams of a data centre.
    duration rebalance_delay = std::chrono::minutes(10);
    /// A data centre without contact for longer than this takes part in no planned move.
    duration contact_timeout = std::chrono::seconds(5);
    /// A command without effect for this long counts as lost.
    duration retry_after = std::chrono::seconds(5);
};

struct service_view {
    std::uint32_t shards = 0;
    duration hold{};                            ///< of the profile in force
    std::map<std::string, std::uint32_t> slots; ///< of live upstreams, by data centre
};

/// Input of the planner on the leader of the global group.
struct planner_view {
    const placement_state& state; ///< after the last applied command
    std::map<std::string, service_view> services;
    time_point leadership_valid_until; ///< consensus::node::leadership_valid_until()
};

struct contact_effects {
    std::vector<command> commands;
    std::optional<contact_reply> reply;
};

/// Plans the placement; runs on the leader of the global group. Created anew at each election, once the first
/// entry of the leader's own term has been applied: by then the moves that earlier leaders proposed are
/// either applied or lost.
class placement_planner {
public:
    /// @param elected time of the election; until a data centre makes contact, its holds are counted from
    /// here,
    ///        since contacts with earlier leaders are not known
    placement_planner(const planner_options& options, time_point elected);

    /// Gives no reply after leadership_valid_until, as another leader may already count the hold, and none
    /// while the contact has yet to be committed. The data centre asks again.
    contact_effects on_contact(const contact_request& request, const planner_view& view, time_point now);
    /// @returns commands to propose; call it about once a second
    std::vector<command> plan(const planner_view& view, time_point now);

private:
    struct service_progress {
        std::optional<time_point> slots_seen_since;
        std::optional<time_point> changed_since;
        std::uint64_t issued_for_version = 0; ///< service_placement::version of the last command
        std::optional<time_point> issued_at;
    };

    bool reachable(const std::string& data_center, time_point now) const;
    bool hold_expired(const std::string& service, const std::string& data_center, const planner_view& view,
                      time_point now) const;
    std::optional<command> plan_initial_placement(const std::string& service, const planner_view& view,
                                                  time_point now);
    std::optional<command> plan_takeover(const std::string& service, const planner_view& view,
                                         time_point now);
    std::optional<command> plan_rebalance(const std::string& service, const planner_view& view,
                                          time_point now);

    planner_options options_;
    time_point elected_;
    std::map<std::string, time_point> last_contact_;
    /// granted_holds::contact_count on which the last proposed takeover from a data centre is based. The
    /// takeover may still commit, so the data centre gets no reply before a later contact has been committed.
    std::map<std::string, std::uint64_t> takeover_contact_counts_;
    std::map<std::string, service_progress> progress_;
};

struct holder_options {
    std::string data_center;
    duration contact_interval = std::chrono::milliseconds(500);
};

/// Shards by service.
using shard_sets = std::map<std::string, std::set<std::uint32_t>>;

/// Decides which shards a data centre may serve, and until when; runs on the leader of its group. Created
/// anew at each election, once the first entry of the leader's own term has been applied.
class placement_holder {
public:
    /// @param id unique among the holders of the data centre, for example generation and term
    /// @param committed last data_center_assignment in the group's log
    /// @param last_contact from this instance's contact_observer; empty to serve nothing before a contact
    placement_holder(const holder_options& options, std::uint64_t id, data_center_assignment committed,
                     std::optional<time_point> last_contact);

    /// @param held shards that the group's table assigns to this data centre or whose grants may be live; the
    ///        release of any other shard is confirmed
    /// @returns the request to send now, if one is due
    std::optional<contact_request> poll(const shard_sets& held, time_point now);
    /// @returns an assignment to commit in the group's log; the contact counts after on_committed()
    std::optional<data_center_assignment> on_reply(const contact_reply& reply);
    void on_committed(const data_center_assignment& committed);

    /// Latest end of the gate leases and grants of the service's upstreams; time_point{} without a contact.
    time_point serve_until(const std::string& service) const;
    bool may_serve(const std::string& service, std::uint32_t shard, time_point now) const;
    /// The assignment in force. Shards that are being released get no new grants.
    const data_center_assignment& assignment() const noexcept { return committed_; }
    /// For the contact_observers of the other instances; rounded up. Empty without a contact.
    std::optional<duration> contact_age(time_point now) const;
    std::optional<time_point> last_contact() const noexcept { return contact_; }

private:
    struct sent_request {
        time_point sent;
        std::uint64_t version = 0;
        std::map<std::string, duration> holds;
    };
    struct uncommitted_assignment {
        data_center_assignment assignment;
        time_point contact;
    };

    std::map<std::string, duration> holds() const;

    holder_options options_;
    std::uint64_t id_;
    data_center_assignment committed_;
    std::optional<time_point> contact_; ///< not later than the last valid contact
    std::uint64_t last_number_ = 0;
    std::optional<time_point> next_request_;
    std::map<std::uint64_t, sent_request> open_requests_;
    std::optional<uncommitted_assignment> uncommitted_;
};

/// Lower bound for the time of the leader's last contact, kept by each voter of a data centre group on its
/// own clock. The voter asks the leader for the age of the contact; the leader answers after the query was
/// sent, so the contact is not earlier than the query's time less the age. Reset when the voter joins another
/// generation of the group.
class contact_observer {
public:
    /// @param asked when the voter sent the query
    void on_contact_age(time_point asked, duration age);
    std::optional<time_point> last_contact() const noexcept { return contact_; }

private:
    std::optional<time_point> contact_;
};

} // namespace kingcupseam::placement
