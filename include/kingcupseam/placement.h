#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcupseam::placement {

inline constexpr std::int16_t unplaced = -1;

/// Clocks differ by at most 2,000 ppm (1/500) from true time.
inline constexpr std::int64_t clock_drift_divisor = 500;

/// What a clock may be off over @p length. The data centre stops this much early, the global leader waits
/// this much longer.
constexpr duration drift_margin(duration length) {
    return duration(length.count() / clock_drift_divisor + 1);
}

/// A planned move that waits for the old home's consent.
struct pending_release {
    std::int16_t next = unplaced; ///< index into service_homes::data_centers
    std::uint64_t begun = 0;      ///< log index; a confirmation of an earlier release does not match
    auto operator<=>(const pending_release&) const = default;
};

/// Homes of the shards of one service.
struct service_placement {
    std::vector<std::string> data_centers;
    std::vector<std::int16_t> placements; ///< index into data_centers
    std::map<std::uint32_t, pending_release> releases;
    std::map<std::string, std::uint32_t> planned_slots; ///< slots that the spread was made for
    std::uint64_t version = 0;                          ///< log index of the last change
    bool operator==(const service_placement&) const = default;
};

/// What the global group has promised to a data centre.
struct hold_promise {
    std::uint64_t count = 0;               ///< committed contacts
    std::uint64_t lengthened_at = 0;       ///< log index of the last contact that made a hold longer
    std::map<std::string, duration> holds; ///< by service; the longest hold that the data centre may be using
    bool operator==(const hold_promise&) const = default;
};

/// First spread (base_version 0) and moves without consent. Refused when the service has changed, or when a
/// data centre that loses homes has been in contact since the decision.
struct set_placement {
    std::string service;
    std::uint64_t base_version = 0;
    std::vector<std::string> data_centers;
    std::vector<std::int16_t> placements;
    std::map<std::string, std::uint32_t> planned_slots;
    std::map<std::string, std::uint64_t> contacts; ///< promise::count of the data centres that lose homes
    bool operator==(const set_placement&) const = default;
};

/// Starts planned moves. Refused when the service has changed.
struct begin_release {
    std::string service;
    std::uint64_t base_version = 0;
    std::map<std::uint32_t, std::string> next; ///< new home by shard
    std::map<std::string, std::uint32_t> planned_slots;
    bool operator==(const begin_release&) const = default;
};

/// The old home's consent. Shards whose release has another `begun` are passed over.
struct confirm_release {
    std::string service;
    std::string data_center;
    std::map<std::uint32_t, std::uint64_t> begun; ///< by shard
    bool operator==(const confirm_release&) const = default;
};

/// Orders a contact against moves without consent, and records the holds promised to the data centre.
struct contact {
    std::string data_center;
    std::map<std::string, duration> holds;
    bool operator==(const contact&) const = default;
};

using command = std::variant<set_placement, begin_release, confirm_release, contact>;

/// Part of the global group's state machine; deterministic.
struct placement_state {
    std::map<std::string, service_placement> services;
    std::map<std::string, hold_promise> promises; ///< by data centre
    std::uint64_t version = 0;                    ///< log index of the last change
    bool operator==(const placement_state&) const = default;

    /// @param index log index of the command, above all earlier ones
    /// @returns false when the command was refused and changed nothing
    bool apply(const command& change, std::uint64_t index);
};

/// One service as its home data centre sees it.
struct service_assignment {
    duration hold{};
    std::set<std::uint32_t> shards;                   ///< homes that stay
    std::map<std::uint32_t, std::uint64_t> releasing; ///< homes to give up, with pending_release::begun
    bool operator==(const service_assignment&) const = default;
};

/// Homes of one data centre; replicated in that data centre's group before they take effect.
struct data_center_assignment {
    std::uint64_t version = 0; ///< home_state::version
    std::map<std::string, service_assignment> services;
    bool operator==(const data_center_assignment&) const = default;
};

/// From the leader of a data centre group to the leader of the global group.
struct contact_request {
    std::string data_center;
    std::uint64_t holder = 0; ///< unique per keeper: a new leader gets no answers meant for the former one
    std::uint64_t number = 0;
    std::uint64_t version = 0;             ///< committed in the data centre
    std::map<std::string, duration> holds; ///< committed in the data centre
    std::vector<confirm_release> released;
    bool operator==(const contact_request&) const = default;
};

struct contact_reply {
    std::uint64_t holder = 0;
    std::uint64_t number = 0;
    std::optional<data_center_assignment> assigned; ///< empty when the data centre has them already
    bool operator==(const contact_reply&) const = default;
};

/// Homes in proportion to the slots, moving as few shards as possible; new homes are interleaved.
/// @param current index into @p slots or no_home
/// @param movable whether a shard may leave its home; shards without a home always get one
/// @param may_gain data centres that may get shards
/// @returns the homes; equal to @p current when no data centre with slots may gain
std::vector<std::int16_t> spread_shards(const std::vector<std::int16_t>& current,
                                        const std::vector<std::uint32_t>& slots,
                                        const std::vector<bool>& movable, const std::vector<bool>& may_gain);

struct planner_options {
    /// Lets the data centres register their upstreams before the first spread.
    duration initial_placement_delay = std::chrono::milliseconds(1500);
    /// Part of its slots that a data centre gains or loses before homes move: restarts of single upstreams
    /// stay below it.
    double rebalance_threshold = 0.25;
    /// How long the change lasts before homes move; longer than a restart of a data centre's upstreams.
    duration rebalance_delay = std::chrono::minutes(10);
    /// A data centre without contact for longer takes part in no planned move.
    duration contact_timeout = std::chrono::seconds(5);
    /// After this a command that changed nothing is taken as lost.
    duration retry_after = std::chrono::seconds(5);
};

struct service_view {
    std::uint32_t shards = 0;
    duration hold{};                            ///< home hold of the profile in force
    std::map<std::string, std::uint32_t> slots; ///< of live upstreams, by data centre
};

/// What the leader of the global group knows.
struct planner_view {
    const placement_state& state; ///< applied
    std::map<std::string, service_view> services;
    time_point leadership_valid_until; ///< consensus::node::leadership_valid_until()
};

struct contact_effects {
    std::vector<command> commands;
    std::optional<contact_reply> reply;
};

/// Decides the homes; runs on the leader of the global group. A new one is made at each election, once the
/// first entry of the leader's own term has been applied: moves proposed by earlier leaders have then either
/// been applied or are lost.
class placement_planner {
public:
    /// @param elected contacts with earlier leaders are not known, so every hold is counted from here
    placement_planner(const planner_options& options, time_point elected);

    /// No reply is given after leadership_valid_until, since another leader may have begun to count the hold,
    /// and while the data centre's contact must first be committed. The data centre asks again.
    contact_effects on_contact(const contact_request& request, const planner_view& view, time_point now);
    /// Commands to propose now; called about once a second.
    std::vector<command> plan(const planner_view& view, time_point now);

private:
    struct service_progress {
        std::optional<time_point> slots_seen_since;
        std::optional<time_point> changed_since;
        std::uint64_t issued_for_version = 0; ///< service_homes::version that the last command was based on
        std::optional<time_point> issued_at;
    };

    bool reachable(const std::string& data_center, time_point now) const;
    bool hold_expired(const std::string& service, const std::string& data_center, const planner_view& view,
                      time_point now) const;
    std::optional<command> initial_placement(const std::string& service, const planner_view& view,
                                             time_point now);
    std::optional<command> take_over(const std::string& service, const planner_view& view, time_point now);
    std::optional<command> rebalance(const std::string& service, const planner_view& view, time_point now);

    planner_options options_;
    time_point elected_;
    std::map<std::string, time_point> last_contact_;
    /// promise::count against which a move without consent was proposed. It may still commit, so the data
    /// centre is answered only after a later contact has been committed.
    std::map<std::string, std::uint64_t> takeover_contact_counts_;
    std::map<std::string, service_progress> progress_;
};

struct holder_options {
    std::string data_center;
    duration contact_interval = std::chrono::milliseconds(500);
};

/// Shards by service.
using shard_sets = std::map<std::string, std::set<std::uint32_t>>;

/// Bounds what a data centre serves; runs on the leader of its group. A new one is made at each election,
/// once the first entry of the leader's own term has been applied.
class placement_holder {
public:
    /// @param id unique among the keepers of the data centre, for instance generation and term
    /// @param committed last data_center_homes in the group's log
    /// @param last_contact of the contact_observer of this instance. Empty: nothing is served before the next
    ///        contact
    placement_holder(const holder_options& options, std::uint64_t id, data_center_assignment committed,
                     std::optional<time_point> last_contact);

    /// @param held shards that the group's table counts as home here or whose grants may be live; others that
    ///        are to be released are confirmed
    /// @returns the request to send now, if one is due
    std::optional<contact_request> poll(const shard_sets& held, time_point now);
    /// @returns homes to commit in the group's log. The contact counts once on_committed() has seen them.
    std::optional<data_center_assignment> on_reply(const contact_reply& reply);
    void on_committed(const data_center_assignment& committed);

    /// End of every gate lease of the service's upstreams, and so of every grant; time_point{} without a
    /// contact.
    time_point serve_until(const std::string& service) const;
    bool may_serve(const std::string& service, std::uint32_t shard, time_point now) const;
    /// Homes in force; shards that are to be released are not granted any more.
    const data_center_assignment& assignment() const noexcept { return committed_; }
    /// For the observers of the other instances; rounded up. Empty without a contact.
    std::optional<duration> contact_age(time_point now) const;
    std::optional<time_point> last_contact() const noexcept { return contact_; }

private:
    struct sent_request {
        time_point sent;
        std::uint64_t version = 0;
        std::map<std::string, duration> holds;
    };
    struct uncommitted {
        data_center_assignment assignment;
        time_point contact;
    };

    std::map<std::string, duration> holds() const;

    holder_options options_;
    std::uint64_t id_;
    data_center_assignment committed_;
    std::optional<time_point> contact_; ///< not later than the last contact that counts
    std::uint64_t last_number_ = 0;
    std::optional<time_point> next_request_;
    std::map<std::uint64_t, sent_request> open_requests_;
    std::optional<uncommitted> uncommitted_;
};

/// Keeps, on each voter of a data centre group, a time on its own clock that is not later than the last
/// contact of the group's leader. The voter asks the leader for the age of the contact. The age was true at
/// some time after the question was sent, so the contact is not older than the age counted back from the
/// question. Reset when the voter joins another generation of the group.
class contact_observer {
public:
    /// @param asked when the answered question was sent
    void on_contact_age(time_point asked, duration age);
    std::optional<time_point> last_contact() const noexcept { return contact_; }

private:
    std::optional<time_point> contact_;
};

} // namespace kingcupseam::placement
