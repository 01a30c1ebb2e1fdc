#pragma once

#include "checker.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

namespace kingcupseam::test {

/// Bugs that a test injects to show that the checker detects them.
enum class fault {
    none,
    skips_fsync,               ///< a restart loses the last entries, as if fsync had not been called
    keeps_identity,            ///< a diskless voter restarts empty under its old identity
    acknowledges_early,        ///< commands are acknowledged before they are committed
    votes_right_after_restart, ///< a restarted voter votes at once, though it may have confirmed a leader
                               ///< just before
    acknowledges_unstored,     ///< followers confirm entries without storing them
    applies_twice,             ///< the state machine of one node applies some commands twice
    ignores_provisional,       ///< candidates count provisional votes as full ones
};

struct group_options {
    std::size_t voters = 3;
    std::size_t spares = 0;
    bool disks = true;
    std::uint64_t seed = 1;
    duration min_delay = std::chrono::milliseconds(1);
    duration max_delay = std::chrono::milliseconds(3);
    double drop = 0;
    double duplicate = 0;
    std::uint64_t compact_after = 0; ///< 0 never compacts
    bool elect_after_restart = false;
    fault injected = fault::none;
};

/// A group of nodes in virtual time, with a network and hosts that fail on demand.
class group_simulation {
public:
    struct host {
        consensus::member_id id;
        std::unique_ptr<storage::log_store> disk;
        std::unique_ptr<consensus::node> node;
        machine_state state;
        std::uint64_t applied = 0;
        bool paused = false;
        std::vector<consensus::message> queued; ///< arrived while paused
        bool up() const { return node != nullptr; }
    };

    explicit group_simulation(const group_options& settings);

    void run(duration length);
    /// Runs until @p done returns true, for at most @p limit.
    /// @returns false if the limit was reached
    bool run_until(const std::function<bool()>& done, duration limit);

    /// Name of the running, unpaused leader with the highest term; empty if there is none.
    std::string leader() const;
    host& at(const std::string& name) { return hosts_.at(name); }
    const std::map<std::string, host>& hosts() const { return hosts_; }

    void kill(const std::string& name);
    /// @param lost_disk the host restarts with an empty store and a new identity
    void restart(const std::string& name, bool lost_disk);
    void pause(const std::string& name) { at(name).paused = true; }
    void resume(const std::string& name);
    /// Drops messages from @p from to @p to; "*" stands for every host.
    void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    void heal() { cuts_.clear(); }
    void set_losses(double drop, double duplicate, duration max_delay);

    /// Proposes a command to the leader.
    /// @returns false if there is none
    bool propose();
    /// Asks the leader for a membership change.
    /// @returns false if it is refused or there is no leader
    bool change(const consensus::membership_change& wanted);
    void enable_replacement(const consensus::replacement_options& options) { replacement_.emplace(options); }

    time_point now() const { return now_; }
    checker& checks() { return checks_; }
    std::size_t messages() const { return sequence_; }
    std::size_t changes_started() const { return changes_started_; }

private:
    struct event {
        time_point when;
        std::uint64_t order = 0;
        std::string tick_host; ///< host to tick; empty for a delivery
        consensus::message delivered;
        bool operator<(const event& other) const {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    void start(host& it);
    void step();
    void deliver(host& to, const consensus::message& m);
    void tick(host& it);
    void handle(host& it, const consensus::effects& out);
    void send(const consensus::message& m);
    void enqueue(const consensus::message& m);
    bool is_cut(const std::string& from, const std::string& to) const;
    void apply(host& it, const consensus::effects& out);
    void acknowledge(const host& it, const storage::entry& committed);
    void check_leadership(host& it);
    void compact(host& it);
    void replace_lost_voters(host& it);
    bool chance(double probability);

    group_options settings_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1000)};
    std::map<std::string, host> hosts_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t commands_ = 0;
    std::size_t changes_started_ = 0;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::uint64_t, storage::entry> proposed_; ///< commands not yet acknowledged, by index
    std::map<std::string, std::uint64_t> seen_term_;   ///< term in which each host was last seen as leader
    std::optional<consensus::replacement_policy> replacement_;
    checker checks_;
};

} // namespace kingcupseam::test
