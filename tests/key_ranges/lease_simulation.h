#pragma once

#include <kingcupseam/key_ranges.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::key_ranges::test {

using directory::upstream_incarnation;

/// Simulates upstreams, leaders and a faulty network in virtual time. Grants may be lost, be applied late
/// without an answer, or reach an upstream after their leader was replaced. An upstream that starts again has
/// its former id or a new one at the same address, and registers only with its first report.
class lease_simulation {
public:
    lease_simulation(std::uint64_t seed, lease_manager_options settings)
        : random_(seed), settings_(settings) {
        auto config = std::make_shared<directory::configuration>();
        config->version = 1;
        config->services["s"] = {"s", "/", 100, true, {}};
        state_.config = config;
        state_.index = 1;
        for (int i = 0; i < upstream_count; ++i) {
            start_upstream(i);
            register_upstream(i);
        }
        elect();
    }

    /// @returns the number of steps in which a key had two owners
    int run(duration length) {
        int steps_with_double_owners = 0;
        const time_point end = now_ + length;
        while (now_ < end) {
            now_ += step;
            inject_faults();
            deliver();
            announce_upstreams();
            step_leader();
            steps_with_double_owners += count_double_owned_keys() > 0 ? 1 : 0;
        }
        return steps_with_double_owners;
    }

    /// Runs for @p length.
    /// @returns the longest time in which a sampled key had no owner
    duration longest_time_without_owner(duration length) {
        std::map<key_number, duration> unowned_time;
        duration longest{};
        const time_point end = now_ + length;
        while (now_ < end) {
            run(step);
            for (const auto key : samples) {
                duration& unowned = unowned_time[key];
                unowned = owner_count(key) > 0 ? duration{} : unowned + step;
                longest = std::max(longest, unowned);
            }
        }
        return longest;
    }
    void stop_faults() { faults_ = false; }

private:
    static constexpr int upstream_count = 5;
    static constexpr int first_port = 1000;
    static constexpr duration step = std::chrono::milliseconds(20);
    static constexpr std::array<key_number, 9> samples{0,     100,   8000,  16000, 24000,
                                                       32768, 48000, 60000, 65535};
    /// Upstreams' clocks may run 2% slow, so leases last that much longer.
    static constexpr double slow_clock = 1.02;

    struct held_range {
        key_number first = 0;
        key_number last = 0;
        std::uint64_t epoch = 0;
        time_point until;
    };
    struct simulated_upstream {
        upstream_incarnation incarnation;
        time_point first_report_at;
        bool up = true;
        bool cut = false;     ///< disconnected from the leader; callers still reach it
        bool leaving = false; ///< has announced that it drains
        time_point ends_at;   ///< when leaving
        time_point back_at;
        std::vector<held_range> held;
        std::map<key_number, std::uint64_t> highest_epochs; ///< by sampled key
    };
    struct delivery {
        time_point at;      ///< when the upstream carries it out
        time_point arrived; ///< when its lease time starts
        int target = 0;
        upstream_incarnation process; ///< that ran at the address when it arrived
        call order;
        bool answered = true;
        std::uint64_t manager = 0;
    };
    struct call_outcome {
        time_point at;
        std::uint64_t manager = 0;
        std::uint64_t id = 0;
        call_result result = call_result::done;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    duration random_duration(int low_ms, int high_ms) {
        return std::chrono::milliseconds(std::uniform_int_distribution<>(low_ms, high_ms)(random_));
    }

    void start_upstream(int i) {
        auto& it = upstreams_[i];
        std::string id = it.incarnation.id;
        if (id.empty() || chance(0.5)) {
            id = "u" + std::to_string(++started_);
        }
        it = {};
        it.incarnation = {id, now_.time_since_epoch().count() / 1000};
        it.first_report_at = now_ + random_duration(0, chance(0.2) ? 5000 : 900);
    }

    void register_upstream(int i) {
        const auto& it = upstreams_[i];
        const endpoint_address address{"127.0.0.1", static_cast<std::uint16_t>(first_port + i)};
        directory::command change;
        for (const auto& [id, known] : state_.upstreams) {
            if (known.address == address && id != it.incarnation.id) {
                change.removed_upstreams.push_back(id);
            }
        }
        change.upstreams.push_back({it.incarnation, "s", "d", address, 2});
        state_ = directory::apply(state_, change, state_.index + 1);
    }

    bool is_registered(int i) const { return state_.find(upstreams_[i].incarnation) != nullptr; }

    /// The upstream announces that it drains, serves what it holds for some seconds, and ends.
    void drain_upstream(int i) {
        auto& it = upstreams_[i];
        it.leaving = true;
        it.ends_at = now_ + random_duration(2000, 8000);
        directory::command change;
        change.upstreams.push_back(state_.upstreams.at(it.incarnation.id));
        change.upstreams.back().draining = true;
        state_ = directory::apply(state_, change, state_.index + 1);
    }

    void elect() {
        ++manager_number_;
        manager_ = std::make_unique<lease_manager>(settings_, now_);
        conditions_.clear();
        commands_.clear();
    }

    void inject_faults() {
        for (int i = 0; i < upstream_count; ++i) {
            auto& it = upstreams_[i];
            if (!it.up && now_ >= it.back_at) {
                start_upstream(i);
            }
            const bool ended = it.up && it.leaving && now_ >= it.ends_at;
            if (ended || (faults_ && chance(0.0005))) {
                it.up = false;
                it.held.clear();
                it.back_at = now_ + random_duration(500, 6000);
            }
            if (it.up && !it.cut && !is_registered(i) && now_ >= it.first_report_at) {
                register_upstream(i);
            }
            if (faults_ && it.up && !it.leaving && is_registered(i) && chance(0.001)) {
                drain_upstream(i);
            }
            if (faults_ ? chance(0.002) : it.cut) {
                it.cut = faults_ && !it.cut;
            }
        }
        if (faults_ && chance(0.001)) {
            elect();
        }
        if (faults_ && chance(0.002)) {
            // The leader loses contact with its followers and resumes in the same term, with the same lease
            // manager.
            paused_until_ = now_ + random_duration(300, 3000);
        }
        if (chance(0.05)) {
            // Random keys become hot, so that ranges keep moving.
            const key_number hot =
                std::uniform_int_distribution<key_number>(0, directory::last_key - 50)(random_);
            for (key_number key = hot; key < hot + 50; ++key) {
                loads_["s"].add(key, 3);
            }
        }
        if (chance(0.05)) {
            loads_["s"].decay(0.6);
        }
    }

    void announce_upstreams() {
        for (int i = 0; i < upstream_count; ++i) {
            const auto& it = upstreams_[i];
            if (it.up && !it.cut && is_registered(i)) {
                conditions_[it.incarnation.id].last_announced = now_;
            }
        }
    }

    void step_leader() {
        for (auto it = commands_.begin(); it != commands_.end();) {
            if (it->first > now_) {
                ++it;
                continue;
            }
            state_ = directory::apply(state_, it->second, state_.index + 1);
            manager_->on_command(true);
            it = commands_.erase(it);
        }
        if (now_ >= paused_until_) {
            auto effects = manager_->tick({state_, conditions_, loads_}, now_);
            if (!effects.command.empty()) {
                commands_.emplace_back(now_ + random_duration(10, 80), effects.command);
            }
            for (auto& it : effects.calls) {
                send(it);
            }
        }
        for (auto it = outcomes_.begin(); it != outcomes_.end();) {
            if (it->at > now_) {
                ++it;
                continue;
            }
            if (it->manager == manager_number_) {
                manager_->on_result(it->id, it->result, "t", now_);
            }
            it = outcomes_.erase(it);
        }
    }

    void send(const call& order) {
        const int target = order.address.port - first_port;
        const auto& it = upstreams_[target];
        if (!it.up || it.cut || (faults_ && chance(0.02))) {
            outcomes_.push_back(
                {now_ + random_duration(100, 700), manager_number_, order.id, call_result::not_sent});
            return;
        }
        const duration delay = random_duration(1, 60);
        if (faults_ && chance(0.15)) {
            // Unanswered: it may be carried out seconds later, but its lease time starts at its arrival.
            const duration timeout = std::chrono::milliseconds(700);
            if (chance(0.7)) {
                deliveries_.push_back({now_ + random_duration(2000, 12000), now_ + delay, target,
                                       it.incarnation, order, false, manager_number_});
            }
            outcomes_.push_back({now_ + timeout, manager_number_, order.id, call_result::unanswered});
            return;
        }
        deliveries_.push_back(
            {now_ + delay, now_ + delay, target, it.incarnation, order, true, manager_number_});
    }

    void deliver() {
        for (std::size_t i = 0; i < deliveries_.size();) {
            if (deliveries_[i].at > now_) {
                ++i;
                continue;
            }
            const delivery it = deliveries_[i];
            deliveries_.erase(deliveries_.begin() + static_cast<std::ptrdiff_t>(i));
            const call_result result = carry_out(it);
            if (it.answered) {
                outcomes_.push_back({now_ + random_duration(1, 60), it.manager, it.order.id, result});
            }
        }
    }

    call_result carry_out(const delivery& it) {
        auto& target = upstreams_[it.target];
        const call& order = it.order;
        if (!target.up || target.incarnation != it.process) {
            return call_result::unanswered;
        }
        if (target.incarnation.id != order.target.id) {
            return call_result::wrong_upstream; // an upstream cannot tell which incarnation was meant
        }
        const auto overlap = [&](const held_range& h) {
            return h.first <= order.last && h.last >= order.first;
        };
        if (order.kind == call_kind::grant) {
            for (const auto key : samples) {
                if (key >= order.first && key <= order.last && target.highest_epochs[key] > order.epoch) {
                    return call_result::refused;
                }
            }
            for (const auto key : samples) {
                if (key >= order.first && key <= order.last) {
                    target.highest_epochs[key] = order.epoch;
                }
            }
            target.held.push_back(
                {order.first, order.last, order.epoch,
                 it.arrived + std::chrono::duration_cast<duration>(order.lease_time * slow_clock)});
            return call_result::done;
        }
        std::vector<held_range> kept;
        for (const auto& h : target.held) {
            if (!overlap(h) || h.epoch > order.epoch) {
                kept.push_back(h);
                continue;
            }
            if (h.first < order.first) {
                kept.push_back({h.first, order.first - 1, h.epoch, h.until});
            }
            if (h.last > order.last) {
                kept.push_back({order.last + 1, h.last, h.epoch, h.until});
            }
        }
        target.held = std::move(kept);
        return call_result::done;
    }

    int owner_count(key_number key) const {
        int result = 0;
        for (const auto& it : upstreams_) {
            const bool holds = std::any_of(it.held.begin(), it.held.end(), [&](const held_range& h) {
                return h.first <= key && key <= h.last && h.until > now_;
            });
            result += it.up && holds ? 1 : 0;
        }
        return result;
    }

    int count_double_owned_keys() const {
        int result = 0;
        for (const auto key : samples) {
            result += owner_count(key) > 1 ? 1 : 0;
        }
        return result;
    }

    std::mt19937_64 random_;
    lease_manager_options settings_;
    bool faults_ = true;
    time_point paused_until_;
    time_point now_{std::chrono::seconds(100)};
    directory::snapshot state_;
    std::array<simulated_upstream, upstream_count> upstreams_;
    std::unique_ptr<lease_manager> manager_;
    std::uint64_t manager_number_ = 0;
    int started_ = 0; ///< upstreams that started under a new id
    std::map<std::string, upstream_condition> conditions_;
    std::map<std::string, key_loads> loads_;
    std::vector<std::pair<time_point, directory::command>> commands_;
    std::vector<delivery> deliveries_;
    std::vector<call_outcome> outcomes_;
};

} // namespace kingcupseam::key_ranges::test
