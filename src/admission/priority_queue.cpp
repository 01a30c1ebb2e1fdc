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

// A rank may save this much of its share while it waits for a slot, so that long-running requests of others
// delay its share but do not cancel it.
constexpr double max_credit_period = 1e6;
// The estimate is a mean. Without these margins up to a third of the urgent work that is dispatched during an
// urgent flood ends after its deadline (bench_admission_floods, navalsig with 6 slots at 200%).
constexpr double wait_margin = 1.2;
constexpr double service_margin = 1.0;
constexpr double usage_period = 0.5e6;
constexpr duration sweep_period = std::chrono::milliseconds(10);

struct running_request {
    rank priority = rank::urgent;
    bool exclusive = false;
    time_point started;
    double expected = 0; ///< microseconds, charged at the start
};

/// Each rank with a share has a credit of slot time. Credit grows by the share while the rank has work
/// waiting, is spent by what the rank runs, and recovers to zero when negative. A waiting rank whose credit
/// is not negative is owed a slot and goes first; otherwise the most urgent rank goes first. A rank is never
/// in debt for more than one request, so slots that it used while they were idle are not held against it.
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
        if (!can_finish(value, request.deadline, now)) {
            return admit_result::deadline;
        }
        waiting_[index_of(value)].push_back(request);
        return admit_result::admitted;
    }

    std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) override {
        advance(now);
        drop_expired(now, expired);
        if (exclusive_running_ || !meter_.free(running())) {
            return std::nullopt;
        }
        const auto chosen = choose();
        if (!chosen) {
            return std::nullopt;
        }
        auto& line = waiting_[index_of(*chosen)];
        // The slots are left to run empty for an exclusive request at its turn; passing it over would starve
        // it for as long as the upstream is busy.
        if (line.front().exclusive && !running_.empty()) {
            return std::nullopt;
        }
        const queued_request result = line.front();
        line.pop_front();
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
        --running_of_[index_of(ended.priority)];
        exclusive_running_ = exclusive_running_ && !ended.exclusive;
        const double used = service_time ? double(service_time->count()) : 0.0;
        const double unused = std::max(0.0, ended.expected - used) * width(ended.exclusive);
        credit_[index_of(ended.priority)] += unused;
        if (service_time) {
            overall_.add(*service_time);
            estimates_[index_of(ended.priority)].add(*service_time);
        }
    }

    bool cancel(std::uint64_t id) override {
        for (auto& line : waiting_) {
            const auto it = std::find_if(line.begin(), line.end(), [&](const auto& t) { return t.id == id; });
            if (it != line.end()) {
                line.erase(it);
                return true;
            }
        }
        return false;
    }

    void set_slots(double slots) override { meter_.set(slots); }
    void set_policy(const std::array<rank_policy, rank_count>& ranks) override { ranks_ = ranks; }
    std::uint32_t running() const noexcept override { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting(rank value) const noexcept override {
        return static_cast<std::uint32_t>(waiting_[index_of(value)].size());
    }

    bool saturated(rank value, duration deadline, time_point now) const override {
        return waiting_[index_of(value)].size() >= ranks_[index_of(value)].max_waiting ||
               !can_finish(value, now + deadline, now);
    }

    std::vector<queued_request> drain() override {
        std::vector<queued_request> all;
        for (auto& line : waiting_) {
            all.insert(all.end(), line.begin(), line.end());
            line.clear();
        }
        return all;
    }

private:
    double service_of(std::size_t n) const {
        return (estimates_[n].settled() ? estimates_[n] : overall_).microseconds();
    }
    double accrual(std::size_t n) const { return ranks_[n].guaranteed_share * meter_.slots(); }
    // An exclusive request keeps every slot busy.
    double width(bool exclusive) const { return exclusive ? std::max(1.0, meter_.slots()) : 1.0; }

    void advance(time_point now) {
        if (now <= advanced_to_) {
            return;
        }
        const double elapsed = started_ ? double((now - advanced_to_).count()) : 0.0;
        charge_overruns(now);
        started_ = true;
        advanced_to_ = now;
        meter_.advance(elapsed, running());
        const double keep = std::exp(-elapsed / usage_period);
        for (std::size_t n = 0; n < rank_count; ++n) {
            const double busy = exclusive_running_ && running_of_[n] > 0
                                    ? 1.0
                                    : double(running_of_[n]) / std::max(1.0, meter_.slots());
            usage_[n] = usage_[n] * keep + busy * (1 - keep);
            const double limit = waiting_[n].empty() ? 0.0 : accrual(n) * max_credit_period;
            credit_[n] = std::min(limit, credit_[n] + accrual(n) * elapsed);
        }
    }

    void charge(std::size_t n, double slot_time, bool exclusive) {
        const double floor = -service_of(n) * width(exclusive);
        credit_[n] = std::max(std::min(floor, credit_[n]), credit_[n] - slot_time * width(exclusive));
    }

    /// Requests that run longer than expected are charged while they run. A charge at their end would take
    /// the share away from the seconds that follow.
    void charge_overruns(time_point now) {
        for (const auto& [id, it] : running_) {
            const time_point due = it.started + duration(std::int64_t(it.expected));
            const time_point from = std::max(due, advanced_to_);
            if (from < now) {
                charge(index_of(it.priority), double((now - from).count()), it.exclusive);
            }
        }
    }

    std::optional<rank> choose() const {
        std::optional<rank> owed;
        std::optional<rank> urgent;
        double longest = -1;
        for (const rank value : all_ranks) {
            const auto n = index_of(value);
            if (waiting_[n].empty()) {
                continue;
            }
            urgent = urgent ? urgent : value;
            // Credit divided by its growth is the time for which the rank has been owed a slot.
            if (accrual(n) > 0 && credit_[n] >= 0 && credit_[n] / accrual(n) > longest) {
                longest = credit_[n] / accrual(n);
                owed = value;
            }
        }
        return owed ? owed : urgent;
    }

    void start(const queued_request& chosen) {
        const auto n = index_of(chosen.priority);
        const double expected = service_of(n);
        charge(n, expected, chosen.exclusive);
        running_[chosen.id] = {chosen.priority, chosen.exclusive, advanced_to_, expected};
        ++running_of_[n];
        exclusive_running_ = chosen.exclusive;
    }

    void drop_expired(time_point now, std::vector<queued_request>& expired) {
        const bool sweep = now - last_sweep_ >= sweep_period;
        last_sweep_ = sweep ? now : last_sweep_;
        const auto passed = [&](const queued_request& it) { return it.deadline <= now; };
        for (auto& line : waiting_) {
            while (!line.empty() && passed(line.front())) {
                expired.push_back(line.front());
                line.pop_front();
            }
            if (sweep) {
                std::copy_if(line.begin(), line.end(), std::back_inserter(expired), passed);
                line.erase(std::remove_if(line.begin(), line.end(), passed), line.end());
            }
        }
    }

    /// Expected wait of a request of the rank that arrives now, in microseconds.
    double expected_wait(std::size_t n) const {
        double ahead = meter_.free(running()) ? 0.0 : service_of(n);
        double more_urgent_usage = 0;
        double reserved = 0;
        for (std::size_t other = 0; other < rank_count; ++other) {
            ahead += other <= n ? double(waiting_[other].size()) * service_of(other) : 0.0;
            more_urgent_usage += other < n ? usage_[other] : 0.0;
            // Less urgent ranks take up to their shares, also when their lines are empty at this moment.
            reserved += other > n ? std::min(ranks_[other].guaranteed_share, usage_[other]) : 0.0;
        }
        const double left = std::max(0.01, 1 - more_urgent_usage - reserved);
        const double by_urgency = ahead / (meter_.slots() * left);
        if (accrual(n) <= 0) {
            return by_urgency;
        }
        const double own = double(waiting_[n].size()) * service_of(n) + std::max(0.0, -credit_[n]);
        return std::min(by_urgency, own / accrual(n) + service_of(n) / std::max(1.0, meter_.slots()));
    }

    bool can_finish(rank value, time_point deadline, time_point now) const {
        if (deadline <= now) {
            return false;
        }
        const auto n = index_of(value);
        bool idle = running_.empty();
        for (std::size_t other = 0; other <= n; ++other) {
            idle = idle && waiting_[other].empty();
        }
        // An idle upstream always gets a request: only new samples can correct an estimate that is too high.
        if (idle && meter_.slots() > 0) {
            return true;
        }
        if (meter_.slots() <= 0) {
            // Nothing is known about the end of the pause; the wait is bounded by the deadline and the queue.
            return true;
        }
        const double wait = expected_wait(n);
        const double needed =
            wait > 0 ? wait_margin * wait + (1 + service_margin) * service_of(n) : service_of(n);
        return double((deadline - now).count()) >= needed;
    }

    std::array<rank_policy, rank_count> ranks_;
    slot_meter meter_;
    service_estimate overall_;
    std::array<service_estimate, rank_count> estimates_;
    std::array<std::deque<queued_request>, rank_count> waiting_;
    std::array<std::uint32_t, rank_count> running_of_{};
    std::array<double, rank_count> credit_{};
    std::array<double, rank_count> usage_{};
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
