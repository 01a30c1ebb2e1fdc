#pragma once

#include <kingcupseam/consensus.h>
#include <kingcupseam/statechart.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace kingcupseam::consensus {

/// What the leader knows about another member.
struct peer {
    std::uint64_t match = 0;       ///< highest index known to be stored there
    std::uint64_t next = 1;        ///< next index to send
    std::uint64_t acked_round = 0; ///< latest heartbeat round that it confirmed
    bool probing = true;           ///< matching index not known yet: one append per heartbeat
    std::optional<time_point> snapshot_sent;
    time_point contact;
};

struct node::state {
    state(options given, storage::log_store& log, time_point start);

    // node.cpp
    void dispatch(const message& m);
    effects take_effects();
    /// Takes a transition of charts/consensus_role.toml.
    /// @returns false if the current role has none for the event
    bool fire(std::string_view event);
    void become_follower(std::string_view event, std::uint64_t term,
                         const std::optional<member_id>& new_leader);
    void save_term_and_vote(std::uint64_t term, const std::string& vote);
    void reset_deadline();
    message reply_to(const message& m, message_kind kind, bool accepted) const;
    void send(message m);

    // election.cpp
    bool heard_leader_recently() const;
    /// True while a restarted voter may have confirmed a leader just before its restart, which it does not
    /// remember.
    bool votes_provisionally() const;
    /// True with the votes of a majority, or of all voters if one vote is provisional: a leader whose lease
    /// is still valid would not have voted.
    bool has_won() const {
        return votes.size() >= (provisional_votes ? latest_membership().voters.size() : quorum());
    }
    bool up_to_date(const message& candidate) const;
    void start_pre_vote();
    /// Schedules the next attempt after one heartbeat interval plus a random time of up to @p spread
    /// intervals.
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
    role current = role::follower; ///< state of `roles`; avoids comparing names on the commit path
    std::optional<member_id> leader;
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;      ///< highest index returned in effects
    time_point now;                 ///< time of the event being handled
    time_point deadline;            ///< election deadline: when the next pre-vote starts
    time_point leader_contact;      ///< no vote is granted for an election timeout after this
    bool heard_since_start = false; ///< a leader's message arrived since the start
    /// Memberships with the index of their entry; the last one is in effect, committed or not.
    std::vector<std::pair<std::uint64_t, membership>> memberships;
    std::set<member_id> votes;
    bool provisional_votes = false; ///< one of `votes` is provisional
    effects out;

    std::map<member_id, peer> peers;
    std::uint64_t round = 0; ///< latest heartbeat round
    std::deque<std::pair<std::uint64_t, time_point>> round_starts;
    std::uint64_t term_start = 0; ///< index of the no-op that began this leadership
    time_point next_heartbeat;
    time_point valid_until; ///< end of the lease
};

/// @throws invalid_input unless the entries follow @p previous without a gap and their memberships decode
void check_entries(const std::vector<storage::entry>& entries, std::uint64_t previous);

} // namespace kingcupseam::consensus
