#pragma once

#include <kingcupseam/admission.h>

#include <algorithm>
#include <map>
#include <random>

namespace kingcupseam::test {

using admission::queue;
using admission::queued_request;

struct flood_options {
    std::array<double, rank_count> arrivals_per_second{};
    std::array<duration, rank_count> timeout{std::chrono::milliseconds(100), std::chrono::milliseconds(400),
                                             std::chrono::seconds(1)};
    double mean_service_us = 10'000;
};

struct flood_result {
    std::vector<std::array<double, rank_count>> slot_time_by_second;      ///< used in each virtual second
    std::vector<std::array<std::uint32_t, rank_count>> offered_by_second; ///< requests in each virtual second
    std::array<std::uint64_t, rank_count> offered{};
    std::array<std::uint64_t, rank_count> in_time{};
    std::array<std::uint64_t, rank_count> late{};
    std::array<double, rank_count> demanded_slot_time{}; ///< of all requests offered, in seconds
    std::uint32_t most_running = 0;

    double fraction_in_time(rank value) const {
        const auto n = static_cast<std::size_t>(value);
        return offered[n] == 0 ? 1.0 : double(in_time[n]) / double(offered[n]);
    }
    /// Lowest slot time of the rank, per slot, over all seconds after the first two.
    double smallest_share(rank value, double slots) const {
        double least = 1;
        for (std::size_t n = 2; n < slot_time_by_second.size(); ++n) {
            least = std::min(least, slot_time_by_second[n][static_cast<std::size_t>(value)] / slots);
        }
        return least;
    }
    /// Like smallest_share, over the seconds in which at least @p least requests of the rank arrived.
    double smallest_share_when_busy(rank value, double slots, double least) const {
        const auto n = static_cast<std::size_t>(value);
        double result = 1;
        for (std::size_t second = 2; second < slot_time_by_second.size(); ++second) {
            if (offered_by_second[second][n] >= least) {
                result = std::min(result, slot_time_by_second[second][n] / slots);
            }
        }
        return result;
    }
    double mean_share(rank value, double slots) const {
        double sum = 0;
        for (std::size_t n = 2; n < slot_time_by_second.size(); ++n) {
            sum += slot_time_by_second[n][static_cast<std::size_t>(value)];
        }
        return sum / slots / double(slot_time_by_second.size() - 2);
    }
};

/// Simulates an upstream with a queue under open-loop Poisson arrivals, in virtual time.
class flood_simulation {
public:
    flood_simulation(queue& tested, flood_options load, std::uint64_t seed) : queue_(tested), load_(load) {
        for (std::size_t n = 0; n < rank_count; ++n) {
            arrivals_[n].seed(seed * 31 + n);
            service_times_[n].seed(seed * 37 + n);
        }
    }

    flood_result run(int seconds) {
        result_.slot_time_by_second.resize(static_cast<std::size_t>(seconds));
        result_.offered_by_second.resize(static_cast<std::size_t>(seconds));
        const time_point end = start_ + std::chrono::seconds(seconds);
        for (std::size_t n = 0; n < rank_count; ++n) {
            schedule(n, start_);
        }
        while (!events_.empty() && events_.begin()->first < end) {
            const auto [now, it] = *events_.begin();
            events_.erase(events_.begin());
            it.arrival ? arrive(it.id, now) : end_request(it.id, now);
            dispatch(now);
        }
        return result_;
    }

private:
    struct event {
        bool arrival = false;
        std::uint64_t id = 0; ///< rank of an arrival, id of the request that ends
    };
    struct running {
        queued_request request;
        time_point started;
    };

    void schedule(std::size_t n, time_point from) {
        if (load_.arrivals_per_second[n] > 0) {
            std::exponential_distribution<double> gap(load_.arrivals_per_second[n] / 1e6);
            events_.insert({from + duration(1 + std::int64_t(gap(arrivals_[n]))), {true, n}});
        }
    }
    void arrive(std::size_t n, time_point now) {
        const queued_request request{++last_id_, all_ranks[n], now, now + load_.timeout[n], false};
        ++result_.offered[n];
        ++result_.offered_by_second[std::size_t((now - start_) / std::chrono::seconds(1))][n];
        // Drawn for every arrival, also a refused one, so that with one seed all queues get the same
        // requests.
        const double service = draw_service(n);
        result_.demanded_slot_time[n] += service / 1e6;
        if (queue_.admit(request, now) == admission::admit_result::admitted) {
            service_time_of_[request.id] = duration(std::int64_t(service));
        }
        schedule(n, now);
    }
    /// Half fixed, half exponential, with one request in 500 that takes twenty times as long.
    double draw_service(std::size_t n) {
        std::exponential_distribution<double> tail(2 / load_.mean_service_us);
        const double usual = load_.mean_service_us / 2 + tail(service_times_[n]);
        return usual * (service_times_[n]() % 500 == 0 ? 20 : 1);
    }
    void end_request(std::uint64_t id, time_point now) {
        const running it = running_.at(id);
        running_.erase(id);
        const auto n = static_cast<std::size_t>(it.request.priority);
        ++(now <= it.request.deadline ? result_.in_time : result_.late)[n];
        add_slot_time(n, it.started, now);
        queue_.finished(id, now - it.started, now);
    }
    void add_slot_time(std::size_t n, time_point from, time_point to) {
        while (from < to) {
            const auto second = (from - start_) / std::chrono::seconds(1);
            const time_point cut = std::min(to, start_ + std::chrono::seconds(second + 1));
            if (std::size_t(second) < result_.slot_time_by_second.size()) {
                result_.slot_time_by_second[std::size_t(second)][n] += double((cut - from).count()) / 1e6;
            }
            from = cut;
        }
    }
    void dispatch(time_point now) {
        std::vector<queued_request> expired;
        while (const auto chosen = queue_.next(now, expired)) {
            running_[chosen->id] = {*chosen, now};
            events_.insert({now + service_time_of_.at(chosen->id), {false, chosen->id}});
            service_time_of_.erase(chosen->id);
            result_.most_running = std::max(result_.most_running, std::uint32_t(running_.size()));
        }
        for (const auto& it : expired) {
            service_time_of_.erase(it.id);
        }
    }

    queue& queue_;
    flood_options load_;
    std::array<std::mt19937_64, rank_count> arrivals_;
    std::array<std::mt19937_64, rank_count> service_times_;
    time_point start_{std::chrono::seconds(1)};
    std::multimap<time_point, event> events_;
    std::map<std::uint64_t, running> running_;
    std::map<std::uint64_t, duration> service_time_of_;
    std::uint64_t last_id_ = 0;
    flood_result result_;
};

} // namespace kingcupseam::test
