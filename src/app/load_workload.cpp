#include "app/load_workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kingcupseam::app {

namespace {

// Prime, so that successive sets of hot keys do not overlap.
constexpr std::uint64_t hot_key_shift_step = 7919;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

std::vector<double> zipf_cumulative_weights(std::uint64_t keys, double skew) {
    std::vector<double> result;
    if (skew == 0) {
        return result;
    }
    result.reserve(keys);
    double sum = 0;
    for (std::uint64_t n = 1; n <= keys; ++n) {
        sum += std::pow(static_cast<double>(n), -skew);
        result.push_back(sum);
    }
    return result;
}

} // namespace

workload::workload(const load_options& settings)
    : settings_(settings), length_s_(to_seconds(settings.length)), key_random_(settings.seed),
      cumulative_weights_(zipf_cumulative_weights(settings.keys, settings.key_skew)) {
    for (std::size_t n = 0; n < rank_count; ++n) {
        arrivals_.at(n).random.seed(settings.seed + 1 + n);
        schedule_next_arrival(n);
    }
}

workload::rate_period workload::rate_at(std::size_t rank_index, double at_s) const {
    rate_period result{settings_.rates.at(rank_index), std::numeric_limits<double>::infinity()};
    for (const auto& it : settings_.floods) {
        if (static_cast<std::size_t>(it.priority) != rank_index) {
            continue;
        }
        const double from_s = to_seconds(it.from);
        const double to_s = to_seconds(it.to);
        if (at_s >= from_s && at_s < to_s) {
            result.rate += it.rate;
            result.until_s = std::min(result.until_s, to_s);
        } else if (at_s < from_s) {
            result.until_s = std::min(result.until_s, from_s);
        }
    }
    return result;
}

/// Draws the interval to the next arrival anew at each change of rate; this is exact because the exponential
/// distribution is memoryless.
void workload::schedule_next_arrival(std::size_t rank_index) {
    auto& arrivals = arrivals_.at(rank_index);
    while (arrivals.next_s < length_s_) {
        const auto period = rate_at(rank_index, arrivals.next_s);
        double candidate_s = std::numeric_limits<double>::infinity();
        if (period.rate > 0) {
            candidate_s =
                arrivals.next_s + std::exponential_distribution<double>(period.rate)(arrivals.random);
        }
        if (candidate_s < period.until_s) {
            arrivals.next_s = candidate_s;
            return;
        }
        arrivals.next_s = period.until_s;
    }
}

std::optional<planned_request> workload::next() {
    std::size_t first = 0;
    for (std::size_t n = 1; n < rank_count; ++n) {
        if (arrivals_.at(n).next_s < arrivals_.at(first).next_s) {
            first = n;
        }
    }
    const double at_s = arrivals_.at(first).next_s;
    if (at_s >= length_s_) {
        return std::nullopt;
    }
    planned_request result{duration(std::llround(at_s * 1e6)), all_ranks.at(first), draw_key(at_s)};
    schedule_next_arrival(first);
    return result;
}

std::string workload::draw_key(double at_s) {
    std::uint64_t position = 0;
    if (cumulative_weights_.empty()) {
        position = std::uniform_int_distribution<std::uint64_t>(0, settings_.keys - 1)(key_random_);
    } else {
        const double weight =
            std::uniform_real_distribution<double>(0, cumulative_weights_.back())(key_random_);
        const auto it = std::lower_bound(cumulative_weights_.begin(), cumulative_weights_.end(), weight);
        position = static_cast<std::uint64_t>(std::min(it, cumulative_weights_.end() - 1) -
                                              cumulative_weights_.begin());
    }
    const double shift_s = to_seconds(settings_.hot_key_shift);
    const auto shifts = shift_s > 0 ? static_cast<std::uint64_t>(at_s / shift_s) : 0;
    return "key-" + std::to_string((position + shifts * hot_key_shift_step) % settings_.keys);
}

idempotency_key_source::idempotency_key_source() {
    std::random_device device; // keys must differ between runs, regardless of --seed
    std::seed_seq seed{device(), device(), device(), device()};
    random_.seed(seed);
}

std::string idempotency_key_source::next() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    const std::uint64_t a = random_();
    const std::uint64_t b = random_();
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", ms >> 16U & 0xffffffffU, ms & 0xffffU,
                       a & 0xfffU, (a >> 12U & 0x3fffU) | 0x8000U, b & 0xffffffffffffU);
}

} // namespace kingcupseam::app
