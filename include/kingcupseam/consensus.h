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

/// A voter or learner: name and incarnation of an instance. A diskless voter that restarts is a new member.
using member_id = instance_id;

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

struct membership {
    std::vector<member_id> voters;
    std::vector<member_id> learners;
    auto operator<=>(const membership&) const = default;
};

/// Encodes in the Thrift compact protocol (idl/consensus.thrift).
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
    bool provisional = false;      ///< a vote that counts only if every voter grants its vote
    std::uint64_t match_index = 0; ///< replies: highest index known to match; on refusal, where to retry
    std::uint64_t round = 0;       ///< appends, snapshots and replies: number of the leader's heartbeat round
    bool operator==(const message&) const = default;
};

struct options {
    std::uint64_t group = 0;
    member_id self;
    duration heartbeat_interval = std::chrono::milliseconds(50);
    /// Each election timeout is random, between this and twice this.
    duration election_timeout = std::chrono::milliseconds(200);
    /// Lets voters elect a leader within an election timeout of their restart if all voters grant their
    /// votes. A leader's lease then ends with its process, so nothing that outlives the process may rely on
    /// it.
    bool elect_after_restart = false;
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    std::uint64_t seed = 1;
};

/// What the user of a node must do after an event, in this order: send the messages, install the snapshot,
/// apply the entries. The first event after a restart installs the stored snapshot; later entries follow once
/// they are known to be committed.
struct effects {
    std::vector<message> messages;
    std::optional<storage::snapshot> install; ///< replaces the state of the state machine
    std::vector<storage::entry> committed;    ///< to be applied in order, after the snapshot
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
/// own term yet, the learner has not caught up, or the change does not apply to the membership.
class change_refused : public error {
public:
    using error::error;
};

/// A member of a Raft group. Has no clock, socket or thread: the caller passes time and messages in.
class node {
public:
    /// @param store holds the log; must outlive the node
    node(options settings, storage::log_store& store, time_point now);

    /// Writes the initial membership to an empty store. It must be the same at every initial voter.
    /// @throws change_refused when the store is not empty
    static void bootstrap(storage::log_store& store, const membership& members);

    /// Ignores messages of another group, for another member, or with malformed entries.
    /// @throws io_error; the voter must then stop, as after any io_error of its store
    effects receive(const message& received, time_point now);
    /// Must be called at least every half heartbeat interval.
    effects tick(time_point now);

    /// Appends a command. It is committed when effects::committed has it at the returned index with the term
    /// of this call; an entry of another term at that index means that the command was lost.
    /// @returns the index of its entry
    /// @throws not_leader
    std::uint64_t propose(std::string data, time_point now, effects& out);

    /// Starts a membership change. Only one can be in progress.
    /// @returns the index of its entry
    /// @throws not_leader, change_refused
    std::uint64_t change_membership(const membership_change& wanted, time_point now, effects& out);

    /// Stores @p state, the state machine after entry @p index, as a snapshot and drops the log up to there.
    /// @throws invalid_input if the entry was not returned in effects::committed or is already dropped
    void compact(std::uint64_t index, std::string state);

    role current_role() const noexcept;
    std::uint64_t term() const noexcept;
    std::uint64_t commit_index() const noexcept;
    std::optional<member_id> leader() const;
    const membership& members() const noexcept;
    /// True from the start of a membership change until it is committed.
    bool change_in_progress() const noexcept;
    /// True if the learner stores every committed entry and may be promoted.
    bool caught_up(const member_id& learner) const;
    /// End of the leader's lease: no other member can have been elected before this time. One election
    /// timeout, less a tenth for clock drift, after the last heartbeat round that a quorum confirmed was
    /// sent. time_point{} if this node is not the leader.
    time_point leadership_valid_until() const noexcept;
    /// When this leader last heard from another member; before that, when its leadership or that member's
    /// membership began. Empty for any other id, and if this node is not the leader.
    std::optional<time_point> last_contact(const member_id& member) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

struct replacement_options {
    std::size_t voters = 3; ///< target number of voters
    /// A member counts as lost when the leader has not heard from it for this long.
    duration lost_after = std::chrono::seconds(2);
};

/// A member as the leader sees it.
struct member_status {
    member_id member;
    time_point last_contact;
    bool caught_up = false;
};

/// Input of the replacement decision.
struct replacement_view {
    member_id leader;
    membership members;
    std::vector<member_status> statuses; ///< members without a status count as lost
    std::vector<member_id> spares;       ///< live instances that may become voters, in order of preference
    bool change_in_progress = false;
};

/// Input of the replacement decision, as the leader @p source sees its group.
replacement_view replacement_view_of(const node& source, const member_id& self, std::vector<member_id> spares,
                                     time_point now);

/// Decides how lost voters are replaced: a spare becomes a learner, is promoted once it has caught up, and
/// then the lost voter is removed. Each call returns at most one change, and none while another is in
/// progress or if the live voters would not be a majority after it.
class replacement_policy {
public:
    explicit replacement_policy(replacement_options settings) : settings_(settings) {}

    std::optional<membership_change> next(const replacement_view& view, time_point now) const;

private:
    replacement_options settings_;
};

} // namespace kingcupseam::consensus
