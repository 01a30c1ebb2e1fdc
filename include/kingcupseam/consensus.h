#pragma once

#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

#include <cstdint>
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
    std::uint64_t match_index = 0; ///< replies: highest index known to match, or a hint where to retry
    std::uint64_t round = 0;       ///< appends and replies: number of the leader's heartbeat round
    bool operator==(const message&) const = default;
};

struct options {
    std::uint64_t group = 0;
    member_id self;
    duration heartbeat_interval = std::chrono::milliseconds(50);
    /// Election timeout is drawn between this and twice this.
    duration election_timeout = std::chrono::milliseconds(200);
    std::size_t max_append_bytes = 256 * 1024;
    std::uint64_t seed = 1;
};

/// What the caller of node has to do after an event, in this order: send, install, apply.
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

/// A membership change is refused: another one is in progress, or the learner has not caught up.
class change_refused : public error {
public:
    using error::error;
};

/// One member of a replicated log. Has no clock, socket or thread: the caller passes time and messages in.
class node {
public:
    /// @param store holds the log; must outlive the node
    node(options settings, storage::log_store& store, time_point now);

    /// Writes the initial membership to an empty store.
    static void bootstrap(storage::log_store& store, const membership& members);

    effects receive(const message& received, time_point now);
    effects tick(time_point now);

    /// Appends a command; it is applied when it shows up in effects::committed.
    /// @returns its index
    /// @throws not_leader
    std::uint64_t propose(std::string data, time_point now, effects& out);

    /// Starts a membership change, one at a time.
    /// @throws not_leader, change_refused
    std::uint64_t change(const membership_change& wanted, time_point now, effects& out);

    /// Stores a snapshot of the state machine after applying entry @p index and drops the log before it.
    void compact(std::uint64_t index, std::string state);

    role current_role() const noexcept;
    std::uint64_t term() const noexcept;
    std::uint64_t commit_index() const noexcept;
    std::optional<member_id> leader() const;
    const membership& members() const noexcept;
    /// True when the learner has every committed entry and may be promoted.
    bool caught_up(const member_id& learner) const;
    /// While now is before this time, no other member can have been elected. Only for the leader; otherwise
    /// the epoch.
    time_point leadership_valid_until() const noexcept;
    /// The last time a quorum member was heard from as seen by the leader, per member.
    std::optional<time_point> last_contact(const member_id& member) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::consensus
