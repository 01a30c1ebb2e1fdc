#pragma once

#include <kingcupseam/consensus.h>
#include <kingcupseam/statechart.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace kingcupseam::consensus {

/// Leader's view of another member.
struct peer {
    std::uint64_t match = 0;       ///< highest index known to be stored there
    std::uint64_t next = 1;        ///< next index to send
    std::uint64_t acked_round = 0; ///< newest heartbeat round that it confirmed
    bool probing = true;           ///< where its log matches is unknown: one append per heartbeat
    std::optional<time_point> snapshot_sent;
    time_point contact;
};

struct node::state {
    state(options given, storage::log_store& log, time_point start);

    // node.cpp
    void dispatch(const message& m);
    effects take_effects();
    /// Takes the transition of charts/consensus_role.toml. @returns false when the role has none for the
    /// event
    bool fire(std::string_view event);
    void become_follower(std::string_view event, std::uint64_t term,
                         const std::optional<member_id>& new_leader);
    void save_term_and_vote(std::uint64_t term, const std::string& vote);
    void reset_deadline();
    message reply_to(const message& m, message_kind kind, bool accepted) const;
    void send(message m);

    // election.cpp
    bool heard_leader_recently() const;
    /// True while a restarted voter may have confirmed a leader shortly before and does not remember it.
    bool votes_provisionally() const;
    /// A majority, or all voters when a vote among theirs is provisional: a leader whose lease still runs
    /// would not have voted.
    bool has_won() const {
        return votes.size() >= (provisional_votes ? latest_membership().voters.size() : quorum());
    }
    bool up_to_date(const message& candidate) const;
    void start_pre_vote();
    void schedule_retry(std::uint64_t spread);
    void start_election();
    void request_votes(message_kind kind, std::uint64_t term);
    void on_pre_vote_request(const message& m);
    void on_pre_vote_reply(const message& m);
    void on_vote_request(const message& m);
    void on_vote_reply(const message& m);
    void become_leader();
    void check_quorum();

    // leader.cpp
    std::uint64_t append_entry(storage::entry_kind kind, std::string data);
    void start_round();
    void broadcast_entries();
    void send_append(const member_id& id, peer& to);
    void send_snapshot(const member_id& id, peer& to);
    void send_empty_heartbeat(const member_id& id, const peer& to);
    void on_reply(const message& m);
    void on_rejected(const message& m, peer& from);
    void advance_commit();
    void update_lease();

    // follower.cpp
    bool accept_leader(const message& m, message_kind reply);
    void on_append_request(const message& m);
    bool check_previous(const message& m);
    void store_entries(const message& m);
    void on_snapshot_request(const message& m);

    // membership.cpp
    void load_memberships();
    void add_membership(std::uint64_t index, const membership& next);
    void drop_memberships_after(std::uint64_t index);
    const membership& latest_membership() const { return memberships.back().second; }
    membership membership_after(const membership_change& wanted) const;
    void update_peers();
    bool is_voter(const member_id& id) const;
    std::size_t quorum() const { return latest_membership().voters.size() / 2 + 1; }
    bool change_pending() const { return memberships.back().first > commit; }
    bool caught_up(const member_id& id) const;

    options settings;
    storage::log_store& store;
    std::mt19937_64 random;
    storage::hard_state persistent;
    statechart::machine roles{statechart::embedded_chart("consensus_role")};
    role current = role::follower; ///< state of `roles`, so that the commit path compares no names
    std::optional<member_id> leader;
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;      ///< highest index handed out in effects
    time_point now;                 ///< time of the event being handled
    time_point deadline;            ///< of the next pre-vote
    time_point leader_contact;      ///< a vote may be given only an election timeout after this
    bool heard_since_start = false; ///< from a leader
    /// Memberships by the index that introduced them; the last one is in force.
    std::vector<std::pair<std::uint64_t, membership>> memberships;
    std::set<member_id> votes;
    bool provisional_votes = false; ///< one of them is
    effects out;

    std::map<member_id, peer> peers;
    std::uint64_t round = 0;
    std::deque<std::pair<std::uint64_t, time_point>> round_starts;
    std::uint64_t term_start = 0; ///< index of the no-op of this leadership
    time_point next_heartbeat;
    time_point valid_until;
};

/// Throws invalid_input unless the entries follow @p previous without a gap and their memberships decode.
void check_entries(const std::vector<storage::entry>& entries, std::uint64_t previous);

} // namespace kingcupseam::consensus
