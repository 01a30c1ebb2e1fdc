#include "app/load_workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kingcupseam::app {

namespace {

constexpr std::uint64_t shift_step = 7919; // prime, so that successive sets of hot keys do not overlap

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

std::vector<double> zipf_cumulative(std::uint64_t keys, double skew) {
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
    : settings_(settings), length_(seconds(settings.length)), key_random_(settings.seed),
      cumulative_(zipf_cumulative(settings.keys, settings.key_skew)) {
    for (std::size_t n = 0; n < rank_count; ++n) {
        sources_.at(n).random.seed(settings.seed + 1 + n);
        advance(n);
    }
}

workload::rate_period workload::rate_at(std::size_t rank_index, double at) const {
    rate_period result{settings_.rates.at(rank_index), std::numeric_limits<double>::infinity()};
    for (const auto& it : settings_.floods) {
        if (static_cast<std::size_t>(it.priority) != rank_index) {
            continue;
        }
        const double from = seconds(it.from);
        const double to = seconds(it.to);
        if (at >= from && at < to) {
            result.rate += it.rate;
            result.until = std::min(result.until, to);
        } else if (at < from) {
            result.until = std::min(result.until, from);
        }
    }
    return result;
}

/// Where the rate changes the interval is drawn anew from there, which is exact since it has no memory.
void workload::advance(std::size_t rank_index) {
    auto& source = sources_.at(rank_index);
    while (source.at < length_) {
        const auto period = rate_at(rank_index, source.at);
        double next = std::numeric_limits<double>::infinity();
        if (period.rate > 0) {
            next = source.at + std::exponential_distribution<double>(period.rate)(source.random);
        }
        if (next < period.until) {
            source.at = next;
            return;
        }
        source.at = period.until;
    }
}

std::optional<planned_request> workload::next() {
    std::size_t first = 0;
    for (std::size_t n = 1; n < rank_count; ++n) {
        if (sources_.at(n).at < sources_.at(first).at) {
            first = n;
        }
    }
    const double at = sources_.at(first).at;
    if (at >= length_) {
        return std::nullopt;
    }
    planned_request result{duration(std::llround(at * 1e6)), all_ranks.at(first), draw_key(at)};
    advance(first);
    return result;
}

std::string workload::draw_key(double at) {
    std::uint64_t position = 0;
    if (cumulative_.empty()) {
        position = std::uniform_int_distribution<std::uint64_t>(0, settings_.keys - 1)(key_random_);
    } else {
        const double value = std::uniform_real_distribution<double>(0, cumulative_.back())(key_random_);
        const auto it = std::lower_bound(cumulative_.begin(), cumulative_.end(), value);
        position = static_cast<std::uint64_t>(std::min(it, cumulative_.end() - 1) - cumulative_.begin());
    }
    const double shift = seconds(settings_.hot_key_shift);
    const auto shifts = shift > 0 ? static_cast<std::uint64_t>(at / shift) : 0;
    return "key-" + std::to_string((position + shifts * shift_step) % settings_.keys);
}

idempotency_key_source::idempotency_key_source() {
    std::random_device device; // keys must differ between runs, whatever the seed
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
