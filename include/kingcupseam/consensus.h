#pragma once

#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace kingcupseam::consensus {

/// A voter or learner: name and incarnation of an instance. A restarted diskless voter is another member.
using member_id = instance_id;

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

struct membership {
    std::vector<member_id> voters;
    std::vector<member_id> learners;
    auto operator<=>(const membership&) const = default;
};

/// Thrift compact form (idl/consensus.thrift).
std::string encode(const membership& members);
/// @throws invalid_input
membership decode_membership(const std::string& bytes);

enum class message_kind : std::uint8_t {
    pre_vote_request,
    pre_vote_reply,
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_request,
    snapshot_reply
};

/// One message of the protocol. Fields that a kind does not use stay at their defaults.
struct message {
    message_kind kind = message_kind::append_request;
    std::uint64_t group = 0; ///< group number and generation; messages of another group are dropped
    member_id from;
    member_id to;
    std::uint64_t term = 0;
    std::uint64_t last_index = 0; ///< votes: candidate's last entry; appends: entry before the first one sent
    std::uint64_t last_term = 0;
    std::uint64_t commit_index = 0;
    std::vector<storage::entry> entries;
    std::optional<storage::snapshot> state;
    bool accepted = false;         ///< replies
    bool provisional = false;      ///< votes that count only when all voters give theirs
    std::uint64_t match_index = 0; ///< replies: highest index known to match, or a hint where to retry
    std::uint64_t round = 0;       ///< appends, snapshots and replies: number of the leader's heartbeat round
    bool operator==(const message&) const = default;
};

struct options {
    std::uint64_t group = 0;
    member_id self;
    duration heartbeat_interval = std::chrono::milliseconds(50);
    /// Election timeout is drawn between this and twice this.
    duration election_timeout = std::chrono::milliseconds(200);
    /// Lets voters that have all restarted elect a leader before an election timeout has passed. The lease of
    /// a leader then ends with its process, so nothing that outlives the process may rely on it.
    bool elect_after_restart = false;
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    std::uint64_t seed = 1;
};

/// What the caller of node has to do after an event, in this order: send, install, apply. The first event
/// after a restart installs the stored snapshot; the entries after it follow once they are known to be
/// committed.
struct effects {
    std::vector<message> messages;
    std::optional<storage::snapshot> install; ///< replace the state machine by this state first
    std::vector<storage::entry> committed;    ///< then apply these, in order
};

enum class change_kind : std::uint8_t { add_learner, promote, remove };

struct membership_change {
    change_kind kind = change_kind::add_learner;
    member_id member;
};

/// The operation needs the leader and this node is not the leader.
class not_leader : public error {
public:
    not_leader();
};

/// A membership change is refused: another one is in progress, the leader has not committed an entry of its
/// own term yet, the learner has not caught up, or the change does not fit the membership.
class change_refused : public error {
public:
    using error::error;
};

/// One member of a replicated log. Has no clock, socket or thread: the caller passes time and messages in.
class node {
public:
    /// @param store holds the log; must outlive the node
    node(options settings, storage::log_store& store, time_point now);

    /// Writes the initial membership to an empty store. Every initial voter is given the same membership.
    /// @throws change_refused when the store is not empty
    static void bootstrap(storage::log_store& store, const membership& members);

    /// Drops messages of another group, for another member, or with a malformed log.
    /// @throws io_error; the voter must then stop, as after any io_error of its store
    effects receive(const message& received, time_point now);
    /// Must be called at least every half heartbeat interval.
    effects tick(time_point now);

    /// Appends a command; it is applied when it shows up in effects::committed with the term of this call. An
    /// entry of another term at the same index means that the command was lost.
    /// @returns its index
    /// @throws not_leader
    std::uint64_t propose(std::string data, time_point now, effects& out);

    /// Starts a membership change, one at a time.
    /// @throws not_leader, change_refused
    std::uint64_t change_membership(const membership_change& wanted, time_point now, effects& out);

    /// Stores a snapshot of the state machine after applying entry @p index and drops the log before it.
    /// @throws invalid_input when the entry was not handed out in effects::committed or is already dropped
    void compact(std::uint64_t index, std::string state);

    role current_role() const noexcept;
    std::uint64_t term() const noexcept;
    std::uint64_t commit_index() const noexcept;
    std::optional<member_id> leader() const;
    const membership& members() const noexcept;
    /// True from the start of a membership change until it is committed.
    bool change_in_progress() const noexcept;
    /// True when the learner has every committed entry and may be promoted.
    bool caught_up(const member_id& learner) const;
    /// While now is before this time, no other member can have been elected. Counted from the time when the
    /// last heartbeat round that a quorum confirmed was sent, less a tenth of the election timeout for clock
    /// drift. Only for the leader; otherwise the epoch.
    time_point leadership_valid_until() const noexcept;
    /// The last time the leader heard from a member; the start of its leadership or of the membership before
    /// that. Empty for others, and on other nodes than the leader.
    std::optional<time_point> last_contact(const member_id& member) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

struct replacement_options {
    std::size_t voters = 3; ///< wanted number of voters
    /// A member that the leader has not heard from for this long is lost.
    duration lost_after = std::chrono::seconds(2);
};

/// A member as the leader sees it.
struct member_status {
    member_id member;
    time_point last_contact;
    bool caught_up = false;
};

/// What the replacement decision depends on.
struct replacement_view {
    member_id leader;
    membership members;
    std::vector<member_status> statuses; ///< members without a status count as lost
    std::vector<member_id> spares;       ///< live instances that may become voters, the preferred one first
    bool change_in_progress = false;
};

/// View of the leader @p source.
replacement_view replacement_view_of(const node& source, const member_id& self, std::vector<member_id> spares,
                                     time_point now);

/// Decides how lost voters are replaced: a spare becomes a learner, is promoted once it has caught up, and
/// then the lost voter is removed. Each call returns at most one change, and none while another one is in
/// progress or when the members that are heard from would not be a majority of the new voters.
class replacement_policy {
public:
    explicit replacement_policy(replacement_options settings) : settings_(settings) {}

    std::optional<membership_change> next(const replacement_view& view, time_point now) const;

private:
    replacement_options settings_;
};

} // namespace kingcupseam::consensus
