#pragma once

#include <kingcupseam/placement.h>

#include <array>
#include <functional>
#include <memory>
#include <random>

namespace kingcupseam::placement::test {

/// Faults that the simulation must detect. They are injected around the code under test, which has no
/// switches for them.
struct faults {
    bool hold_from_receipt = false;   ///< the hold starts at the receipt of the reply
    bool no_drift_margin = false;     ///< neither side allows for clock drift
    bool contact_at_election = false; ///< a new leader of a data centre counts its election as a contact
    bool holds_expired_at_election = false; ///< a new global leader counts every hold as expired
    bool confirm_with_live_grants = false;  ///< a release is confirmed while grants may be live
    bool confirm_any_release = false; ///< a confirmation of an earlier release counts for the present one
    bool serve_after_hold = false;    ///< the data centre serves without contact
    bool stale_assignment_at_election = false; ///< a new leader of a data centre uses an old assignment
};

struct simulation_options {
    std::uint64_t seed = 1;
    std::uint32_t shards = 12;
    duration hold = std::chrono::seconds(60);
    duration max_delay = std::chrono::milliseconds(20);
    double loss = 0.02;
    double held_back = 0.02; ///< fraction of the messages that are delayed by up to held_back_for
    duration held_back_for = std::chrono::seconds(3);
    planner_options planning;
    faults injected;
};

/// Data centres with three voters each and a global group with one voter per data centre, in virtual time.
/// Runs the real state machine, planners, holders and observers on clocks that drift up to the allowed rate
/// and on a network that delays, reorders and loses messages. Checks after every step of 10 ms that at most
/// one data centre has a live grant of a shard.
class simulation {
public:
    explicit simulation(const simulation_options& options);

    void add_data_center(const std::string& name, std::uint32_t slots);
    void set_slots(const std::string& name, std::uint32_t slots) { data_centers_.at(name).slots = slots; }
    void set_hold(duration hold) { options_.hold = hold; }
    void cut(const std::string& a, const std::string& b) { cuts_.insert({std::min(a, b), std::max(a, b)}); }
    /// Drops what the data centre sends from now on; it still receives.
    void mute(const std::string& name) { muted_.insert(name); }
    void heal() {
        cuts_.clear();
        muted_.clear();
    }
    void lose(const std::string& name);
    /// Restarts a lost data centre with new instances: a new generation of its group with an empty log.
    void restore(const std::string& name);
    void change_leader(const std::string& data_center);
    void change_global_leader();
    void set_network(duration max_delay, double loss, double held_back);
    /// Drops requests that confirm releases while set.
    void lose_confirmations(bool lost) { lose_confirmations_ = lost; }
    void run(duration length);

    std::uint32_t shards_placed_in(const std::string& name) const;
    std::uint32_t shards_served_by(const std::string& name) const;
    std::uint32_t shards_in_release() const;
    std::uint64_t move_count() const { return moves_; }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct clock {
        double rate = 1;
        duration offset{};
        time_point local_time(time_point now) const;
        time_point true_time(time_point local) const;
    };
    struct voter {
        clock local;
        contact_observer observer;
    };
    struct data_center_model {
        std::string name;
        bool alive = true;
        std::uint32_t slots = 0;
        clock global_voter;
        std::array<voter, 3> voters;
        std::size_t leader = 0;
        std::uint64_t term = 0;
        std::optional<time_point> election_at;
        std::unique_ptr<placement_holder> holder;
        data_center_assignment committed;
        data_center_assignment largest_assignment; ///< with most shards so far
        duration receipt_error{}; ///< for faults::hold_from_receipt: time between the request and its reply
        std::map<std::uint64_t, time_point> sent;
        std::map<std::uint32_t, time_point> grants; ///< end in true time, by shard
        time_point next_age_query{};
    };
    struct delivery {
        std::string from;
        std::string to;
        std::function<void()> action;
    };

    duration random_duration(duration longest);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    clock random_clock();
    bool connected(const std::string& a, const std::string& b) const;
    bool reaches_majority(const std::string& name) const;
    void send(const std::string& from, const std::string& to, std::function<void()> action);
    void schedule(duration delay, std::function<void()> action);
    planner_view view() const;
    void step();
    void step_global_group();
    void elect_global_leader();
    void propose(const command& change);
    void apply(const command& change);
    void step_data_center(data_center_model& it);
    void start_holder(data_center_model& it);
    void send_contact(data_center_model& it);
    void receive_contact(const contact_request& sent);
    void receive_reply(const std::string& name, const contact_reply& reply);
    void grant(data_center_model& it);
    shard_sets held_shards(const data_center_model& it) const;
    void check();

    simulation_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::map<std::string, data_center_model> data_centers_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::string> muted_;
    std::multimap<time_point, delivery> network_;
    bool lose_confirmations_ = false;

    placement_state state_;
    std::uint64_t index_ = 0;
    std::uint64_t global_term_ = 0;
    std::string global_leader_;
    time_point last_quorum_{};
    time_point next_plan_{};
    std::unique_ptr<placement_planner> planner_;
    std::map<std::string, std::uint32_t> mirrored_slots_; ///< as the global leader last learned them

    std::uint64_t moves_ = 0;
    std::vector<std::string> violations_;
};

} // namespace kingcupseam::placement::test
