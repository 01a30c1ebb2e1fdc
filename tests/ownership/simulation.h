#pragma once

#include <kingcupseam/ownership.h>

#include <functional>
#include <random>

namespace kingcupseam::ownership::test {

/// Faults that a test injects into the simulation, to show that its checks detect them. The code under test
/// has no such switches.
struct faults {
    bool lease_from_receipt = false;     ///< upstreams count a lease from the receipt of the grant
    bool complete_without_wait = false;  ///< the leader completes moves without waiting for grants to end
    bool ignore_epochs = false;          ///< upstreams accept grants of lower epochs and versions
    bool ignore_gate_lease = false;      ///< gates grant past the end of their own lease
    bool dispatch_without_grant = false; ///< gates dispatch when may_dispatch() is false
};

struct simulation_options {
    std::uint64_t seed = 1;
    std::uint32_t shards = 24;
    double loss = 0.02;
    double held_back = 0.02; ///< fraction of the messages that are delayed by up to a second
    duration max_delay = std::chrono::milliseconds(4);
    planner_options planning;
    faults injected;
};

/// Simulates a leader, gates and upstreams with the real state machine, planner, issuers and holders, in
/// virtual time. Clocks drift up to the allowed rate; the network delays, reorders and loses messages. The
/// invariants are checked every millisecond.
class simulation {
public:
    explicit simulation(const simulation_options& options);

    void add_gate(const std::string& name);
    void add_upstream(const std::string& name, std::uint64_t incarnation, bool checks_grants);
    void stop(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    void drain(const std::string& name);
    void cut(const std::string& a, const std::string& b) {
        broken_links_.insert({std::min(a, b), std::max(a, b)});
    }
    void heal() { broken_links_.clear(); }
    void change_leader(duration election);
    void set_hot_keys(std::vector<key_load> keys) { hot_keys_ = std::move(keys); }
    /// Breaks all links of the upstream and of its gate, except the one between them.
    void cut_off_with_gate(const std::string& name);
    void set_network(duration max_delay, double loss, double held_back);
    void run(duration length);
    /// Runs until @p reached holds. @returns false after @p limit
    bool run_until(const std::function<bool()>& reached, duration limit);

    const table& rows() const { return *state_.current(); }
    /// Number of shards that exactly one upstream may run now.
    std::uint32_t served() const;
    bool moving() const;
    std::uint32_t owned_by(const std::string& name) const;
    std::uint64_t started_by(const std::string& name) const;
    /// True when two consecutive pushes to the upstream, at least half an interval apart, were not answered.
    bool missed_renewals(const std::string& name) const { return missed_renewals_.count(name) > 0; }
    std::uint64_t started() const { return started_; }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct clock {
        double rate = 1;
        duration offset{};
    };
    struct push {
        time_point deadline;
        std::uint64_t number;
    };
    struct issuer_entry {
        grant_issuer issuer;
        std::vector<push> pending;
        std::vector<time_point> unanswered; ///< when the pushes since the last answer timed out
    };
    struct report {
        std::uint64_t table_version = 0;
        duration remaining{}; ///< time until the last grant of the gate to the upstream ends
        time_point received;
    };
    struct gate {
        clock local;
        bool alive = true;
        bool paused = false;
        time_point lease_end{};
        time_point next_request{};
        std::shared_ptr<const table> rows;
        std::uint64_t scopes_version = 0;
        std::map<std::string, grant_scope> scopes;
        std::map<std::pair<std::string, std::uint64_t>, issuer_entry> issuers;
    };
    struct upstream {
        std::string name;
        clock local;
        grant_holder holder{0};
        std::uint64_t incarnation = 0;
        bool checks_grants = true;
        bool alive = true;
        bool paused = false;
        bool draining = false;
        time_point next_announcement{};
        std::uint64_t started = 0;
        epoch_number last_epoch = 0;
    };
    struct leader {
        bool present = true;
        time_point elected_at{};
        std::unique_ptr<planner> active_planner;
        std::map<std::string, time_point> gate_bound; ///< latest end of each gate's lease
        std::map<std::string, time_point> last_contact;
        std::map<std::pair<std::string, std::string>, report> reports; ///< by gate and upstream
        std::map<std::string, epoch_number> acknowledged;
        std::map<std::string, time_point> joined;
    };
    struct delivery {
        std::string to;
        std::function<void()> action;
    };
    using upstream_id = std::pair<std::string, std::uint64_t>;

    time_point local_time(const clock& it) const;
    clock random_clock();
    void send(const std::string& from, const std::string& to, std::function<void()> action);
    bool is_paused(const std::string& name) const;
    void deliver();
    void propose(const command& change);
    void publish();
    void step();
    void step_leader();
    cluster_view view() const;
    time_point grant_end_bound(const upstream_row& row) const;
    bool former_incarnation_owns(const upstream_row& row) const;
    void step_gate(const std::string& name, gate& it);
    void request_lease(const std::string& name, gate& it);
    void receive_report(const std::string& name, std::uint64_t table_version,
                        const std::map<std::string, duration>& remaining,
                        const std::map<upstream_id, std::uint32_t>& failed,
                        const std::map<std::string, epoch_number>& accepted);
    void refresh_scopes(gate& it);
    void push_grant(const std::string& name, gate& it, const upstream_row& row);
    void receive_grant(const std::string& gate_name, const upstream_id& id, const grant_issuer::grant& sent,
                       const grant_scope& scope, time_point sent_at, std::uint64_t number);
    void handle_answer(const std::string& gate_name, const upstream_id& id, const grant_issuer::grant& sent,
                       grant_holder::reply answer, const std::string& token, epoch_number epoch,
                       time_point sent_at, std::uint64_t number);
    void dispatch(const std::string& name, gate& it, const upstream_row& row);
    void start_request(const upstream_id& id, epoch_number epoch, std::uint32_t shard,
                       const std::string& key);
    void step_upstream(const upstream_id& id, upstream& it);
    /// True while the upstream may run the key.
    bool may_run(const upstream_id& id, const upstream& it, std::uint32_t shard,
                 const std::string& key) const;
    std::vector<std::string> live_owners(std::uint32_t shard, const std::string& key) const;
    void check();
    void check_epochs();
    void add_violation(const std::string& what);

    simulation_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    assignment_state state_{"dc1", 1};
    std::uint64_t index_ = 0;
    leader leader_;
    clock leader_clock_;
    std::vector<std::pair<time_point, command>> log_; ///< proposed commands, by the time of their commit
    std::map<std::string, gate> gates_;
    std::map<upstream_id, upstream> upstreams_;
    std::map<std::string, std::set<std::string>> gates_of_; ///< every gate that an upstream ever had
    std::multimap<time_point, delivery> network_;
    std::set<std::pair<std::string, std::string>> broken_links_;
    std::vector<key_load> hot_keys_;
    std::uint64_t next_push_ = 0;
    std::uint64_t started_ = 0;
    std::vector<epoch_number> shard_epochs_;
    std::map<std::string, epoch_number> row_epochs_;
    std::set<std::string> missed_renewals_;
    std::vector<std::string> violations_;
};

inline constexpr duration tick = std::chrono::milliseconds(1);
inline constexpr duration lease = std::chrono::milliseconds(600);
inline constexpr duration interval = std::chrono::milliseconds(150);
inline const std::string leader_name = "leader";
inline const std::string service_name = "registry";

} // namespace kingcupseam::ownership::test
