#include "admission/service_estimate.h"
#include "admission/slot_meter.h"

#include <kingcupseam/admission.h>

#include <deque>
#include <unordered_map>

namespace kingcupseam::admission {
namespace {

std::size_t index_of(rank value) {
    return static_cast<std::size_t>(value);
}

// A waiting rank accumulates credit for at most this long, so that long-running requests of others delay its
// share but do not cancel it.
constexpr double max_credit_period_us = 1e6;

// Margins on the estimated wait, and on the service time as a fraction of it. The estimates are means:
// without margins, up to a third of the urgent requests dispatched during an urgent flood end after their
// deadline (bench_admission_floods, navalsig with 6 slots at 200%).
constexpr double wait_factor = 1.2;
constexpr double service_margin = 1.0;

// Time constant of the moving average of the slots that each rank uses.
constexpr double usage_period_us = 0.5e6;
// Interval at which whole queues are searched for expired requests; at their front these are found at once.
constexpr duration sweep_period = std::chrono::milliseconds(10);

struct running_request {
    rank priority = rank::urgent;
    bool exclusive = false;
    time_point started;
    double expected = 0; ///< expected service time in microseconds, charged at the start
};

/// Each rank with a guaranteed share has a credit of slot time. The credit grows at the rate of the share and
/// shrinks by the slot time that the rank uses; it exceeds zero only while requests of the rank wait. Among
/// the waiting ranks with a credit of zero or more, the one that has waited longest for its share is served
/// first; without such a rank, the most urgent one. The credit falls below zero by at most one request, so
/// that a rank that used idle slots is not held back for it later.
class priority_queue_with_shares final : public queue {
public:
    explicit priority_queue_with_shares(const queue_options& settings)
        : ranks_(settings.ranks), meter_(settings.slots),
          overall_(settings.initial_service_time), estimates_{overall_, overall_, overall_} {}

    admit_result admit(const queued_request& request, time_point now) override {
        advance(now);
        const auto value = request.priority;
        if (waiting_[index_of(value)].size() >= ranks_[index_of(value)].max_waiting) {
            return admit_result::queue_full;
        }
        if (!can_meet_deadline(value, request.deadline, now)) {
            return admit_result::would_miss_deadline;
        }
        waiting_[index_of(value)].push_back(request);
        return admit_result::admitted;
    }

    std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) override {
        advance(now);
        drop_expired(now, expired);
        if (exclusive_running_ || !meter_.has_free_slot(running())) {
            return std::nullopt;
        }
        const auto chosen = choose_rank();
        if (!chosen) {
            return std::nullopt;
        }
        auto& queued = waiting_[index_of(*chosen)];
        // When it is the turn of an exclusive request, nothing else is dispatched until the slots are empty.
        // Skipping it would starve it for as long as the upstream is busy.
        if (queued.front().exclusive && !running_.empty()) {
            return std::nullopt;
        }
        const queued_request result = queued.front();
        queued.pop_front();
        start(result);
        return result;
    }

    void finished(std::uint64_t id, std::optional<duration> service_time, time_point now) override {
        advance(now);
        const auto it = running_.find(id);
        if (it == running_.end()) {
            return;
        }
        const running_request ended = it->second;
        running_.erase(it);
        --running_by_rank_[index_of(ended.priority)];
        exclusive_running_ = exclusive_running_ && !ended.exclusive;
        const double used = service_time ? double(service_time->count()) : 0.0;
        const double unused = std::max(0.0, ended.expected - used) * occupied_slots(ended.exclusive);
        credit_[index_of(ended.priority)] += unused;
        if (service_time) {
            overall_.add(*service_time);
            estimates_[index_of(ended.priority)].add(*service_time);
        }
    }

    bool cancel(std::uint64_t id) override {
        for (auto& queued : waiting_) {
            const auto it =
                std::find_if(queued.begin(), queued.end(), [&](const auto& t) { return t.id == id; });
            if (it != queued.end()) {
                queued.erase(it);
                return true;
            }
        }
        return false;
    }

    void set_slots(double slots) override { meter_.set_slots(slots); }
    void set_policy(const std::array<rank_policy, rank_count>& ranks) override { ranks_ = ranks; }
    std::uint32_t running() const noexcept override { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting(rank value) const noexcept override {
        return static_cast<std::uint32_t>(waiting_[index_of(value)].size());
    }

    bool saturated(rank value, duration deadline, time_point now) const override {
        return waiting_[index_of(value)].size() >= ranks_[index_of(value)].max_waiting ||
               !can_meet_deadline(value, now + deadline, now);
    }

    std::vector<queued_request> drain() override {
        std::vector<queued_request> all;
        for (auto& queued : waiting_) {
            all.insert(all.end(), queued.begin(), queued.end());
            queued.clear();
        }
        return all;
    }

private:
    double expected_service_time(std::size_t n) const {
        return (estimates_[n].has_enough_samples() ? estimates_[n] : overall_).microseconds();
    }
    double credit_rate(std::size_t n) const { return ranks_[n].guaranteed_share * meter_.slots(); }
    // An exclusive request occupies all slots.
    double occupied_slots(bool exclusive) const { return exclusive ? std::max(1.0, meter_.slots()) : 1.0; }

    void advance(time_point now) {
        if (now <= advanced_to_) {
            return;
        }
        const double elapsed = started_ ? double((now - advanced_to_).count()) : 0.0;
        charge_overruns(now);
        started_ = true;
        advanced_to_ = now;
        meter_.advance(elapsed, running());
        const double decay = std::exp(-elapsed / usage_period_us);
        for (std::size_t n = 0; n < rank_count; ++n) {
            const double busy = exclusive_running_ && running_by_rank_[n] > 0
                                    ? 1.0
                                    : double(running_by_rank_[n]) / std::max(1.0, meter_.slots());
            usage_[n] = usage_[n] * decay + busy * (1 - decay);
            const double limit = waiting_[n].empty() ? 0.0 : credit_rate(n) * max_credit_period_us;
            credit_[n] = std::min(limit, credit_[n] + credit_rate(n) * elapsed);
        }
    }

    void charge(std::size_t n, double slot_time, bool exclusive) {
        const double floor = -expected_service_time(n) * occupied_slots(exclusive);
        credit_[n] =
            std::max(std::min(floor, credit_[n]), credit_[n] - slot_time * occupied_slots(exclusive));
    }

    /// Charges requests for running longer than expected, while they run. A charge at their end would reduce
    /// the share of the rank in the seconds that follow.
    void charge_overruns(time_point now) {
        for (const auto& [id, it] : running_) {
            const time_point due = it.started + duration(std::int64_t(it.expected));
            const time_point from = std::max(due, advanced_to_);
            if (from < now) {
                charge(index_of(it.priority), double((now - from).count()), it.exclusive);
            }
        }
    }

    std::optional<rank> choose_rank() const {
        std::optional<rank> by_credit;
        std::optional<rank> most_urgent;
        double longest = -1;
        for (const rank value : all_ranks) {
            const auto n = index_of(value);
            if (waiting_[n].empty()) {
                continue;
            }
            most_urgent = most_urgent ? most_urgent : value;
            // Credit divided by its rate is the time for which the rank has been waiting for its share.
            if (credit_rate(n) > 0 && credit_[n] >= 0 && credit_[n] / credit_rate(n) > longest) {
                longest = credit_[n] / credit_rate(n);
                by_credit = value;
            }
        }
        return by_credit ? by_credit : most_urgent;
    }

    void start(const queued_request& chosen) {
        const auto n = index_of(chosen.priority);
        const double expected = expected_service_time(n);
        charge(n, expected, chosen.exclusive);
        running_[chosen.id] = {chosen.priority, chosen.exclusive, advanced_to_, expected};
        ++running_by_rank_[n];
        exclusive_running_ = chosen.exclusive;
    }

    void drop_expired(time_point now, std::vector<queued_request>& expired) {
        const bool sweep = now - last_sweep_ >= sweep_period;
        last_sweep_ = sweep ? now : last_sweep_;
        const auto passed = [&](const queued_request& it) { return it.deadline <= now; };
        for (auto& queued : waiting_) {
            while (!queued.empty() && passed(queued.front())) {
                expired.push_back(queued.front());
                queued.pop_front();
            }
            if (sweep) {
                std::copy_if(queued.begin(), queued.end(), std::back_inserter(expired), passed);
                queued.erase(std::remove_if(queued.begin(), queued.end(), passed), queued.end());
            }
        }
    }

    /// Expected wait of a request of the rank that arrives now, in microseconds.
    double expected_wait(std::size_t n) const {
        double ahead = meter_.has_free_slot(running()) ? 0.0 : expected_service_time(n);
        double more_urgent_usage = 0;
        double reserved = 0;
        for (std::size_t other = 0; other < rank_count; ++other) {
            ahead += other <= n ? double(waiting_[other].size()) * expected_service_time(other) : 0.0;
            more_urgent_usage += other < n ? usage_[other] : 0.0;
            // Less urgent ranks use up to their shares, even if none of their requests waits at the moment.
            reserved += other > n ? std::min(ranks_[other].guaranteed_share, usage_[other]) : 0.0;
        }
        const double free_fraction = std::max(0.01, 1 - more_urgent_usage - reserved);
        const double by_urgency = ahead / (meter_.slots() * free_fraction);
        if (credit_rate(n) <= 0) {
            return by_urgency;
        }
        const double own = double(waiting_[n].size()) * expected_service_time(n) + std::max(0.0, -credit_[n]);
        return std::min(by_urgency,
                        own / credit_rate(n) + expected_service_time(n) / std::max(1.0, meter_.slots()));
    }

    bool can_meet_deadline(rank value, time_point deadline, time_point now) const {
        if (deadline <= now) {
            return false;
        }
        const auto n = index_of(value);
        bool idle = running_.empty();
        for (std::size_t other = 0; other <= n; ++other) {
            idle = idle && waiting_[other].empty();
        }
        // An idle upstream always gets a request, since an estimate that is too high is corrected only by new
        // samples.
        if (idle && meter_.slots() > 0) {
            return true;
        }
        if (meter_.slots() <= 0) {
            // It is not known when slots are usable again; deadlines and the queue length bound the wait.
            return true;
        }
        const double wait = expected_wait(n);
        const double needed = wait > 0 ? wait_factor * wait + (1 + service_margin) * expected_service_time(n)
                                       : expected_service_time(n);
        return double((deadline - now).count()) >= needed;
    }

    std::array<rank_policy, rank_count> ranks_;
    slot_meter meter_;
    service_estimate overall_; ///< of all ranks, for ranks with too few samples
    std::array<service_estimate, rank_count> estimates_;
    std::array<std::deque<queued_request>, rank_count> waiting_;
    std::array<std::uint32_t, rank_count> running_by_rank_{};
    std::array<double, rank_count> credit_{}; ///< microseconds of slot time
    std::array<double, rank_count> usage_{};  ///< moving average of the fraction of the slots in use
    std::unordered_map<std::uint64_t, running_request> running_;
    bool exclusive_running_ = false;
    bool started_ = false;
    time_point advanced_to_{time_point::min()};
    time_point last_sweep_{};
};

} // namespace

std::unique_ptr<queue> make_priority_queue_with_shares(const queue_options& settings) {
    return std::make_unique<priority_queue_with_shares>(settings);
}

} // namespace kingcupseam::admission
