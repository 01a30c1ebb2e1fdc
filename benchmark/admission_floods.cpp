// Floods of one rank at one upstream: compares the queue with guaranteed shares with one in arrival order and
// with one that sets a price per rank (dual_price_queue).
#include "../tests/admission/flood.h"

#include <cstdio>
#include <cstring>
#include <deque>
#include <unordered_map>

using namespace kingcupseam;
using namespace kingcupseam::admission;
using kingcupseam::test::flood_options;
using kingcupseam::test::flood_result;
using kingcupseam::test::flood_simulation;

namespace {

constexpr int seconds = 40;
constexpr std::array<std::uint64_t, 3> seeds{11, 12, 13};
// Demand of each rank without a flood, as a fraction of the capacity. A flood raises the demand of one rank
// until the total reaches a given percentage.
constexpr std::array<double, rank_count> ordinary_demand{0.35, 0.20, 0.10};
// One request in 500 takes twenty times the mean of 10 ms.
constexpr double mean_service_us = 10'000 * (1 + 19.0 / 500);

struct policy {
    const char* name;
    double standard;
    double deferrable;
    double share(std::size_t n) const { return n == 1 ? standard : n == 2 ? deferrable : 0; }
};
constexpr std::array<policy, 2> policies{policy{"navalsig", 0.15, 0.05}, policy{"cairnmark", 0.30, 0.15}};

/// Each rank has a price that rises while its requests wait and it gets less than its share, and falls
/// otherwise. The rank with the highest sum of weight and price is served first. Refuses early by the same
/// estimates and margins as the queue with shares.
class dual_price_queue final : public queue {
public:
    dual_price_queue(const queue_options& settings, double rate)
        : slots_(settings.slots), ranks_(settings.ranks), rate_(rate) {}

    admit_result admit(const queued_request& request, time_point now) override {
        advance(now);
        const auto n = std::size_t(request.priority);
        if (waiting_[n].size() >= ranks_[n].max_waiting) {
            return admit_result::queue_full;
        }
        const bool idle = running_.empty() && waiting_[0].empty() && waiting_[1].empty();
        const double wait = expected_wait(n);
        const double needed = wait > 0 ? 1.2 * wait + 2 * mean_ : mean_;
        if (!idle && double((request.deadline - now).count()) < needed) {
            return admit_result::would_miss_deadline;
        }
        waiting_[n].push_back(request);
        return admit_result::admitted;
    }
    std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) override {
        advance(now);
        for (auto& queued : waiting_) {
            while (!queued.empty() && queued.front().deadline <= now) {
                expired.push_back(queued.front());
                queued.pop_front();
            }
        }
        const auto chosen = choose_rank();
        if (double(running_.size()) >= slots_ || chosen == rank_count) {
            return std::nullopt;
        }
        const queued_request result = waiting_[chosen].front();
        waiting_[chosen].pop_front();
        running_[result.id] = chosen;
        ++running_by_rank_[chosen];
        return result;
    }
    void finished(std::uint64_t id, std::optional<duration> service_time, time_point now) override {
        advance(now);
        --running_by_rank_[running_.at(id)];
        running_.erase(id);
        mean_ += (std::min(double(service_time->count()), 4 * mean_) - mean_) / 16;
    }
    bool cancel(std::uint64_t /*id*/) override { return false; }
    void set_slots(double slots) override { slots_ = slots; }
    void set_policy(const std::array<rank_policy, rank_count>& ranks) override { ranks_ = ranks; }
    std::uint32_t running() const noexcept override { return std::uint32_t(running_.size()); }
    std::uint32_t waiting(rank value) const noexcept override {
        return std::uint32_t(waiting_[std::size_t(value)].size());
    }
    bool saturated(rank /*value*/, duration /*deadline*/, time_point /*now*/) const override { return false; }
    std::vector<queued_request> drain() override { return {}; }

private:
    static constexpr std::array<double, rank_count> weight{3, 2, 1};

    void advance(time_point now) {
        const double elapsed = double((now - advanced_to_).count()) / 1e6;
        advanced_to_ = now;
        if (elapsed > 1) { // the first call
            return;
        }
        const double decay = std::exp(-elapsed / 0.5);
        for (std::size_t n = 0; n < rank_count; ++n) {
            const double served = running_by_rank_[n] / slots_;
            usage_[n] = usage_[n] * decay + served * (1 - decay);
            const double error = waiting_[n].empty() ? -served : ranks_[n].guaranteed_share - served;
            price_[n] = std::clamp(price_[n] + rate_ * error * elapsed, 0.0, 4.0);
        }
    }
    std::size_t choose_rank() const {
        std::size_t best = rank_count;
        for (std::size_t n = 0; n < rank_count; ++n) {
            if (!waiting_[n].empty() &&
                (best == rank_count || weight[n] + price_[n] > weight[best] + price_[best])) {
                best = n;
            }
        }
        return best;
    }
    double expected_wait(std::size_t n) const {
        double ahead = double(running_.size()) >= slots_ ? mean_ : 0;
        double free_fraction = 1;
        for (std::size_t other = 0; other < rank_count; ++other) {
            ahead += other <= n ? double(waiting_[other].size()) * mean_ : 0;
            free_fraction -= other < n   ? usage_[other]
                             : other > n ? std::min(ranks_[other].guaranteed_share, usage_[other])
                                         : 0;
        }
        const double by_urgency = ahead / (slots_ * std::max(0.01, free_fraction));
        const double rate = ranks_[n].guaranteed_share * slots_;
        const double own = double(waiting_[n].size()) * mean_;
        return rate > 0 ? std::min(by_urgency, own / rate + mean_ / slots_) : by_urgency;
    }

    double slots_;
    std::array<rank_policy, rank_count> ranks_;
    double rate_;
    double mean_ = 10'000;
    std::array<std::deque<queued_request>, rank_count> waiting_;
    std::array<double, rank_count> price_{};
    std::array<double, rank_count> usage_{};
    std::array<int, rank_count> running_by_rank_{};
    std::unordered_map<std::uint64_t, std::size_t> running_;
    time_point advanced_to_{};
};

std::unique_ptr<queue> make_dual_price_queue(const queue_options& settings, double rate) {
    return std::make_unique<dual_price_queue>(settings, rate);
}

/// Fractions for each rank, averaged over the seeds.
struct figures {
    std::array<double, rank_count> in_time{};
    std::array<double, rank_count> share{}; ///< of the slot time
    std::array<double, rank_count> demand{};
    /// Lowest slot share in a second in which requests for at least 1.5 times the guaranteed share arrived.
    std::array<double, rank_count> worst_second{1, 1, 1};
};

std::unique_ptr<queue> make_queue(const std::string& kind, const queue_options& settings) {
    if (kind == "fifo") {
        return make_fifo_queue(settings);
    }
    if (kind == "shares") {
        return make_priority_queue_with_shares(settings);
    }
    return make_dual_price_queue(settings, std::stod(kind.substr(std::strlen("prices-"))));
}

figures measure(const std::string& kind, const policy& rules, std::uint32_t slots,
                const std::array<double, rank_count>& demand) {
    queue_options settings;
    settings.slots = slots;
    settings.ranks = {rank_policy{0, 256}, {rules.standard, 256}, {rules.deferrable, 256}};
    figures sum;
    for (const std::uint64_t seed : seeds) {
        const auto tested = make_queue(kind, settings);
        flood_options load;
        for (std::size_t n = 0; n < rank_count; ++n) {
            load.arrivals_per_second[n] = demand[n] * slots * 1e6 / mean_service_us;
        }
        const flood_result seen = flood_simulation(*tested, load, seed).run(seconds);
        for (std::size_t n = 0; n < rank_count; ++n) {
            sum.in_time[n] += seen.fraction_in_time(all_ranks[n]) / seeds.size();
            sum.share[n] += seen.mean_share(all_ranks[n], slots) / seeds.size();
            sum.demand[n] += seen.demanded_slot_time[n] / slots / seconds / seeds.size();
            const double busy = 1.5 * rules.share(n) * slots * 1e6 / mean_service_us;
            sum.worst_second[n] =
                std::min(sum.worst_second[n], seen.smallest_share_when_busy(all_ranks[n], slots, busy));
        }
    }
    return sum;
}

/// Sums and minima over all floods, to compare queues.
struct totals {
    double urgent_in_time = 0; ///< during floods of the lowest rank
    double all_in_time = 0;
    double worst_mean = 9; ///< lowest slot share as a fraction of the guaranteed one
    double worst_second = 9;
    int missed = 0;
    int runs = 0;
};

class comparison {
public:
    explicit comparison(std::string kind) : kind_(std::move(kind)) {}

    void run() {
        for (const policy& rules : policies) {
            for (const std::uint32_t slots : {2U, 6U}) {
                const figures without_flood = measure(kind_, rules, slots, ordinary_demand);
                print(rules, slots, "none", 65, without_flood);
                for (const std::size_t flooding : {2U, 0U}) {
                    for (const int percent : {80, 120, 160, 200}) {
                        flood(rules, slots, flooding, percent, without_flood);
                    }
                }
            }
        }
    }
    const totals& result() const { return totals_; }
    const std::string& kind() const { return kind_; }

private:
    void flood(const policy& rules, std::uint32_t slots, std::size_t flooding, int percent,
               const figures& without_flood) {
        auto demand = ordinary_demand;
        demand[flooding] += percent / 100.0 - (ordinary_demand[0] + ordinary_demand[1] + ordinary_demand[2]);
        const figures seen = measure(kind_, rules, slots, demand);
        print(rules, slots, flooding == 2 ? "deferrable" : "urgent", percent, seen);
        ++totals_.runs;
        totals_.all_in_time += (seen.in_time[0] + seen.in_time[1] + seen.in_time[2]) / 3;
        if (flooding == 2) {
            totals_.urgent_in_time += seen.in_time[0];
            require(seen.in_time[0] >= 0.98 * without_flood.in_time[0],
                    "urgent service fell by more than 2%");
        }
        for (std::size_t n = 0; n < rank_count; ++n) {
            const double guaranteed = std::min(rules.share(n), seen.demand[n]);
            if (rules.share(n) > 0) {
                totals_.worst_mean = std::min(totals_.worst_mean, seen.share[n] / guaranteed);
                totals_.worst_second = std::min(totals_.worst_second, seen.worst_second[n] / rules.share(n));
                require(seen.share[n] >= 0.98 * guaranteed, "a rank fell below its share");
            }
        }
    }
    void require(bool met, const char* target) {
        if (!met) {
            std::printf("  missed: %s\n", target);
            ++totals_.missed;
        }
    }
    void print(const policy& rules, std::uint32_t slots, const char* flood, int percent,
               const figures& it) const {
        std::printf(
            "%-10s %-9s %u slots, flood %-10s %3d%%: in time %.3f %.3f %.3f, slot share %.3f %.3f %.3f\n",
            kind_.c_str(), rules.name, slots, flood, percent, it.in_time[0], it.in_time[1], it.in_time[2],
            it.share[0], it.share[1], it.share[2]);
    }

    std::string kind_;
    totals totals_;
};

} // namespace

int main() {
    std::vector<comparison> all;
    for (const char* kind : {"shares", "fifo", "prices-5", "prices-20", "prices-80"}) {
        all.emplace_back(kind);
        all.back().run();
    }
    std::printf(
        "\nrule        urgent in time (lowest-rank floods)  all ranks in time  worst share/guarantee: "
        "mean, second  missed targets\n");
    for (const auto& it : all) {
        const totals& sum = it.result();
        std::printf("%-10s  %.4f  %.4f  %.3f  %.3f  %d\n", it.kind().c_str(),
                    2 * sum.urgent_in_time / sum.runs, sum.all_in_time / sum.runs, sum.worst_mean,
                    sum.worst_second, sum.missed);
    }
    return all.front().result().missed == 0 ? 0 : 1;
}
