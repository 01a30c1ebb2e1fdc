#pragma once

#include <kingcupseam/ledger.h>

#include <algorithm>
#include <random>
#include <set>

namespace kingcupseam::test {

using ledger::decision;
using ledger::record;
using ledger::record_state;
using ledger::replica_request;
using ledger::verdict;

/// Faults to simulate. Those under "injected bugs" break the protocol, to show that the checks detect it.
struct simulation_options {
    double loss = 0;
    double duplication = 0;
    double late = 0; ///< fraction of messages that take up to 150 ms instead of max_delay
    duration max_delay = std::chrono::milliseconds(4);
    double shed = 0; ///< fraction of requests that the upstream sheds, confirming that they did not start
    double lost_answer = 0; ///< fraction of executions whose answer is lost
    duration service_time = std::chrono::milliseconds(3);
    ledger::replica_options replica;
    // injected bugs:
    bool replicas_ignore_epoch = false;
    bool one_acceptance_is_enough = false;
    bool empty_replica_serves = false;
    bool not_run_without_lease = false;
    bool late_not_run_replaces = false;
    bool truncates_answers = false;
};

enum class reported_outcome : std::uint8_t { nothing, ran, not_run, unknown };

/// Three gates, three replicas and an upstream that counts executions, over a fake network in virtual time.
class simulation {
public:
    struct submission {
        std::string gate, key, digest;
        std::uint64_t epoch = 0;
        reported_outcome result = reported_outcome::nothing;
        std::string answer;
        std::optional<verdict> last_verdict;
    };

    simulation(simulation_options settings, std::uint64_t seed) : options_(settings), random_(seed) {
        for (const char* it : {"r1", "r2", "r3"}) {
            names_.emplace_back(it);
            replicas_.emplace(it, replica_host{ledger::replica(settings.replica), {}, 0});
        }
        for (const char* it : {"g1", "g2", "g3"}) {
            gates_.emplace(it, gate{});
        }
        appoint("g1");
    }

    std::size_t submit(const std::string& at, const std::string& key, const std::string& digest = "d") {
        const std::size_t id = submissions_.size();
        gate& g = gates_.at(at);
        submissions_.push_back({at, key, digest, g.epoch, reported_outcome::nothing, "", {}});
        record wanted{"s", 1, key, g.epoch, 0, record_state::begun, 0, "", digest};
        send(at, g.writer.begin(
                     wanted, g.replicas, [this, id](const decision& it) { on_decision(id, it); }, now_));
        return id;
    }

    /// Makes @p name the gate at a new epoch. The former gate is not informed and continues.
    void appoint(const std::string& name) {
        current_gate_ = name;
        gates_.at(name).epoch = ++epoch_;
        gates_.at(name).replicas = names_;
    }

    void pause_replica(const std::string& name, duration length) {
        replicas_.at(name).paused_until = std::max(replicas_.at(name).paused_until, now_ + length);
    }

    /// Delays replies and answers to the gate, which then continues with outdated state.
    void pause_gate(const std::string& name, duration length) {
        gates_.at(name).paused_until = now_ + length;
    }

    void cut(const std::string& from, const std::string& to) { cut_.insert({from, to}); }
    void heal() { cut_.clear(); }

    /// Restarts a replica empty and installs the windows of the others at a new epoch.
    /// @returns false if the windows cannot be read, since another replica is paused or not installed
    bool replace_replica(const std::string& name) {
        replica_host& lost = replicas_.at(name);
        ++lost.incarnation;
        if (options_.empty_replica_serves) {
            lost.ledger_replica = ledger::replica(options_.replica);
            return true;
        }
        lost.ledger_replica = ledger::replica(options_.replica, ledger::replica_start::awaiting_install);
        return install_missing();
    }

    /// Installs the windows of the others at each replica that restarted empty.
    /// @returns false if another replica is paused or not installed either
    bool install_missing() {
        for (auto& [name, it] : replicas_) {
            if (!it.ledger_replica.ready() && !install(it)) {
                return false;
            }
        }
        return true;
    }

    void advance(duration length) {
        const time_point end = now_ + length;
        while (now_ < end) {
            time_point next = std::min(end, now_ + std::chrono::milliseconds(5));
            if (!events_.empty()) {
                next = std::max(now_, std::min(next, events_.begin()->first));
            }
            now_ = next;
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto run = events_.begin()->second;
                events_.erase(events_.begin());
                run();
            }
            for (auto& [name, g] : gates_) {
                if (g.paused_until <= now_) {
                    send(name, g.writer.tick(now_));
                }
            }
        }
    }

    const submission& at(std::size_t id) const { return submissions_.at(id); }
    std::size_t submissions() const { return submissions_.size(); }
    const std::vector<std::string>& violations() const { return violations_; }
    int executions(const std::string& key) const {
        const auto it = executions_.find(key);
        return it == executions_.end() ? 0 : it->second;
    }
    const std::string& current_gate() const { return current_gate_; }
    ledger::replica& ledger_replica(const std::string& name) { return replicas_.at(name).ledger_replica; }
    std::uint64_t count(reported_outcome value) const {
        return static_cast<std::uint64_t>(std::count_if(submissions_.begin(), submissions_.end(),
                                                        [&](const auto& it) { return it.result == value; }));
    }
    /// Number of operations of the writers in progress; 0 once all messages and timeouts have passed.
    std::size_t pending() const {
        std::size_t sum = 0;
        for (const auto& [name, g] : gates_) {
            sum += g.writer.pending();
        }
        return sum;
    }

private:
    struct replica_host {
        ledger::replica ledger_replica;
        time_point paused_until;
        std::uint64_t incarnation = 0;
    };
    struct gate {
        ledger::writer writer{std::chrono::milliseconds(30)};
        std::uint64_t epoch = 0;
        std::vector<std::string> replicas;
        time_point paused_until;
    };

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }

    duration delay() {
        const std::int64_t limit = chance(options_.late) ? 150'000 : options_.max_delay.count();
        return duration(
            std::uniform_int_distribution<std::int64_t>(100, std::max<std::int64_t>(limit, 101))(random_));
    }

    void schedule(time_point when, std::function<void()> run) { events_.emplace(when, std::move(run)); }

    /// Loses, delays, duplicates and thereby reorders messages.
    void transmit(const std::function<void()>& deliver) {
        if (!chance(options_.loss)) {
            schedule(now_ + delay(), deliver);
        }
        if (chance(options_.duplication)) {
            schedule(now_ + delay(), deliver);
        }
    }

    void send(const std::string& from, const std::vector<replica_request>& messages) {
        for (const auto& it : messages) {
            const std::uint64_t incarnation = replicas_.at(it.replica).incarnation;
            transmit([this, from, it, incarnation] { deliver(from, it, incarnation); });
        }
    }

    void deliver(const std::string& from, const replica_request& message, std::uint64_t incarnation) {
        replica_host& target = replicas_.at(message.replica);
        if (cut_.contains({from, message.replica}) || target.incarnation != incarnation) {
            return;
        }
        if (target.paused_until > now_) {
            schedule(target.paused_until,
                     [this, from, message, incarnation] { deliver(from, message, incarnation); });
            return;
        }
        if (message.fence) {
            reply_to_fence(from, message, target);
        } else {
            reply_to_write(from, message, target);
        }
    }

    void reply_to_write(const std::string& from, const replica_request& message, replica_host& target) {
        const record& wanted = *message.write;
        auto reply = target.ledger_replica.write(wanted, now_);
        if (options_.replicas_ignore_epoch && !reply.accepted && reply.fenced_epoch > wanted.epoch) {
            record raised = wanted;
            raised.epoch = reply.fenced_epoch;
            reply = target.ledger_replica.write(raised, now_);
        }
        if (options_.late_not_run_replaces && !reply.accepted && reply.existing &&
            wanted.state == record_state::not_run) {
            record later = *reply.existing;
            later.state = record_state::not_run;
            later.epoch = wanted.epoch;
            reply = target.ledger_replica.write(later, now_);
        }
        reply_later(from, [message, reply](ledger::writer& it, time_point now) {
            return it.on_write_reply(message.operation, message.replica, reply, now);
        });
        if (options_.one_acceptance_is_enough && reply.accepted) {
            for (const auto& name : names_) {
                reply_later(from, [message, reply, name](ledger::writer& it, time_point now) {
                    return it.on_write_reply(message.operation, name, reply, now);
                });
            }
        }
    }

    void reply_to_fence(const std::string& from, const replica_request& message, replica_host& target) {
        auto reply =
            target.ledger_replica.fence(message.fence->first, message.fence->second, message.epoch, now_);
        for (auto& it : reply.window) {
            if (options_.truncates_answers && !it.answer.empty()) {
                it.answer.pop_back();
            }
        }
        reply_later(from, [message, reply](ledger::writer& it, time_point now) {
            return it.on_fence_reply(message.operation, message.replica, reply, now);
        });
    }

    using to_writer = std::function<std::vector<replica_request>(ledger::writer&, time_point)>;
    void reply_later(const std::string& to, const to_writer& call) {
        transmit([this, to, call] { at_gate(to, call); });
    }
    void at_gate(const std::string& to, const to_writer& call) {
        gate& g = gates_.at(to);
        if (g.paused_until > now_) {
            schedule(g.paused_until, [this, to, call] { at_gate(to, call); });
            return;
        }
        send(to, call(g.writer, now_));
    }

    bool install(replica_host& target) {
        const std::uint64_t epoch = epoch_ + 1;
        std::vector<ledger::shard_window> windows;
        for (auto& [name, it] : replicas_) {
            if (&it == &target) {
                continue;
            }
            if (it.paused_until > now_ || !it.ledger_replica.ready()) {
                return false;
            }
            for (const auto& [service, shard] : it.ledger_replica.shards()) {
                windows.push_back(
                    {service, shard, epoch, it.ledger_replica.fence(service, shard, epoch, now_).window});
            }
        }
        target.ledger_replica.install(windows, now_);
        epoch_ = epoch;
        appoint(current_gate_);
        return true;
    }

    void on_decision(std::size_t id, const decision& it) {
        submission& s = submissions_.at(id);
        s.last_verdict = it.result;
        switch (it.result) {
        case verdict::dispatch:
            schedule(now_, [this, id, run = *it.known] { dispatch(id, run); });
            break;
        case verdict::answer:
            report(id, reported_outcome::ran, it.known->answer);
            break;
        case verdict::conflict:
            report(id, lease_valid(s.epoch) ? reported_outcome::not_run : reported_outcome::unknown, "");
            break;
        case verdict::unavailable:
            report(id, lease_valid(it.known->epoch) ? reported_outcome::not_run : reported_outcome::unknown,
                   "");
            break;
        default:
            report(id, reported_outcome::unknown, "");
        }
    }

    /// In this model the lease of a gate ends exactly when the next epoch is issued.
    bool lease_valid(std::uint64_t epoch) const { return options_.not_run_without_lease || epoch == epoch_; }

    void dispatch(std::size_t id, const record& run) {
        const submission s = submissions_.at(id);
        ++in_flight_[{s.key, s.digest}];
        if (s.result != reported_outcome::nothing) {
            violations_.push_back("dispatched after an outcome was reported: " + s.key);
        }
        schedule(now_ + options_.service_time, [this, id, run] { execute(id, run); });
    }

    void execute(std::size_t id, record run) {
        const submission s = submissions_.at(id);
        --in_flight_[{s.key, s.digest}];
        run.state = record_state::not_run;
        if (!chance(options_.shed)) {
            if (++executions_[s.key] > 1) {
                violations_.push_back("executed twice: " + s.key);
            }
            executed_.insert({s.key, s.digest});
            const auto denied = reported_not_run_.find({s.key, s.digest});
            if (denied != reported_not_run_.end() && denied->second > id) {
                violations_.push_back("ran after not-run was reported to a later request: " + s.key);
            }
            run.state = record_state::answered;
            run.status = 200;
            run.answer = answers_[s.key] = "answer to " + s.key + " " + std::to_string(id);
            if (chance(options_.lost_answer)) {
                gates_.at(s.gate).writer.abandon("s", 1, s.key);
                report(id, reported_outcome::unknown, "");
                return;
            }
        }
        at_gate(s.gate,
                [this, id, run](ledger::writer& it, time_point now) { return finish(id, run, it, now); });
    }

    std::vector<replica_request> finish(std::size_t id, const record& run, ledger::writer& at,
                                        time_point now) {
        const submission s = submissions_.at(id);
        const bool ran = run.state == record_state::answered;
        auto messages = at.finish(
            run, gates_.at(s.gate).replicas, [](bool) {}, now);
        report(id,
               ran                      ? reported_outcome::ran
               : lease_valid(run.epoch) ? reported_outcome::not_run
                                        : reported_outcome::unknown,
               run.answer);
        return messages;
    }

    void report(std::size_t id, reported_outcome result, const std::string& answer) {
        submission& s = submissions_.at(id);
        if (s.result != reported_outcome::nothing) {
            violations_.push_back("outcome reported twice: " + s.key);
        }
        s.result = result;
        s.answer = answer;
        const std::pair<std::string, std::string> request{s.key, s.digest};
        if (result == reported_outcome::not_run && (executed_.contains(request) || in_flight_[request] > 0)) {
            violations_.push_back("not-run reported although it ran or may run: " + s.key);
        }
        if (result == reported_outcome::not_run) {
            reported_not_run_[request] = id;
        }
        if (result == reported_outcome::ran && answer != answers_[s.key]) {
            violations_.push_back("answer differs from the recorded one: " + s.key);
        }
    }

    simulation_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1)};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::string> names_;
    std::map<std::string, replica_host> replicas_;
    std::map<std::string, gate> gates_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::string current_gate_;
    std::uint64_t epoch_ = 0;
    std::vector<submission> submissions_;
    std::map<std::string, int> executions_;
    std::map<std::string, std::string> answers_;
    std::set<std::pair<std::string, std::string>> executed_;
    std::map<std::pair<std::string, std::string>, int> in_flight_;
    std::map<std::pair<std::string, std::string>, std::size_t> reported_not_run_; ///< latest submission
    std::vector<std::string> violations_;
};

} // namespace kingcupseam::test
