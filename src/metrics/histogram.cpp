#include <kingcupseam/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace kingcupseam::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t sub_buckets = 8; // per power of two, so a bucket is at most 12.5% wide
constexpr unsigned sub_bits = 3;
constexpr unsigned max_exponent = 36; // 2^36 us is 19 h; longer values share the last bucket
constexpr std::size_t bucket_count = (max_exponent - sub_bits + 1) * sub_buckets + 1;
constexpr std::size_t overflow_bucket = bucket_count - 1;
// An instance has three threads; each normally gets a stripe of its own.
constexpr std::size_t stripe_count = 4;

std::size_t bucket_of(std::uint64_t value) noexcept {
    if (value < sub_buckets) {
        return static_cast<std::size_t>(value);
    }
    const auto exponent = static_cast<unsigned>(std::bit_width(value)) - 1;
    if (exponent >= max_exponent) {
        return overflow_bucket;
    }
    const auto sub = static_cast<std::size_t>(value >> (exponent - sub_bits)) & (sub_buckets - 1);
    return (exponent - sub_bits + 1) * sub_buckets + sub;
}

std::uint64_t upper_bound_of(std::size_t bucket) noexcept {
    if (bucket < sub_buckets) {
        return bucket;
    }
    if (bucket == overflow_bucket) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    const auto shift = static_cast<unsigned>(bucket / sub_buckets) - 1;
    const std::uint64_t lower = (sub_buckets + bucket % sub_buckets) << shift;
    return lower + (std::uint64_t{1} << shift) - 1;
}

using bucket_array = std::array<std::uint64_t, bucket_count>;
using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::variance, acc::tag::min, acc::tag::max>>;

/// Summary statistics that can be merged, unlike a Boost accumulator_set.
struct moments {
    std::uint64_t count = 0;
    double mean = 0;
    double squared_deviations = 0; ///< sum of the squared deviations from the mean
    std::uint64_t min = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t max = 0;

    void merge(const moments& other) {
        if (other.count == 0) {
            return;
        }
        const auto n = static_cast<double>(count);
        const auto m = static_cast<double>(other.count);
        const double delta = other.mean - mean;
        mean += delta * m / (n + m);
        squared_deviations += other.squared_deviations + delta * delta * n * m / (n + m);
        count += other.count;
        min = std::min(min, other.min);
        max = std::max(max, other.max);
    }
};

moments moments_of(const accumulator& source) {
    const auto n = acc::count(source);
    if (n == 0) {
        return {};
    }
    return {n, acc::mean(source), acc::variance(source) * static_cast<double>(n),
            static_cast<std::uint64_t>(acc::min(source)), static_cast<std::uint64_t>(acc::max(source))};
}

/// Cache-line aligned, so that threads on different stripes do not share a line.
struct alignas(64) stripe {
    mutable std::mutex mutex;
    bucket_array buckets{};
    accumulator values;
};

std::size_t stripe_of_this_thread() noexcept {
    static std::atomic<std::size_t> next{0};
    thread_local const std::size_t assigned = next.fetch_add(1, std::memory_order_relaxed) % stripe_count;
    return assigned;
}

struct totals {
    bucket_array buckets{};
    moments summary;
};

} // namespace

struct histogram::state {
    std::array<stripe, stripe_count> stripes;
    mutable std::mutex merged_mutex;
    totals merged; ///< sum of the histograms passed to merge()

    totals collect() const {
        totals result;
        {
            const std::lock_guard lock(merged_mutex);
            result = merged;
        }
        for (const auto& it : stripes) {
            const std::lock_guard lock(it.mutex);
            for (std::size_t n = 0; n < bucket_count; ++n) {
                result.buckets[n] += it.buckets[n];
            }
            result.summary.merge(moments_of(it.values));
        }
        return result;
    }
};

histogram::histogram() : state_(std::make_unique<state>()) {}
histogram::~histogram() = default;

void histogram::record(std::uint64_t microseconds) {
    stripe& own = state_->stripes[stripe_of_this_thread()];
    const std::lock_guard lock(own.mutex);
    ++own.buckets[bucket_of(microseconds)];
    own.values(static_cast<double>(microseconds));
}

std::uint64_t histogram::count() const {
    return state_->collect().summary.count;
}

double histogram::mean() const {
    return state_->collect().summary.mean;
}

double histogram::standard_deviation() const {
    const moments summary = state_->collect().summary;
    return summary.count == 0 ? 0
                              : std::sqrt(summary.squared_deviations / static_cast<double>(summary.count));
}

std::uint64_t histogram::max() const {
    return state_->collect().summary.max;
}

std::uint64_t histogram::quantile(double fraction) const {
    const totals all = state_->collect();
    if (all.summary.count == 0) {
        return 0;
    }
    const double exact_position = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(all.summary.count);
    const auto position = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(exact_position)));
    std::uint64_t cumulative_count = 0;
    for (std::size_t n = 0; n < overflow_bucket; ++n) {
        cumulative_count += all.buckets[n];
        if (cumulative_count >= position) {
            return upper_bound_of(n);
        }
    }
    return all.summary.max;
}

std::vector<std::uint64_t> histogram::cumulative_counts(const std::vector<std::uint64_t>& bounds) const {
    const totals all = state_->collect();
    std::vector<std::uint64_t> result;
    result.reserve(bounds.size());
    for (const std::uint64_t bound : bounds) {
        std::uint64_t n = 0;
        // A bucket that straddles the bound is left out, so the count is never too high.
        for (std::size_t it = 0; it < bucket_count && upper_bound_of(it) <= bound; ++it) {
            n += all.buckets[it];
        }
        result.push_back(n);
    }
    return result;
}

void histogram::merge(const histogram& other) {
    const totals added = other.state_->collect();
    const std::lock_guard lock(state_->merged_mutex);
    for (std::size_t n = 0; n < bucket_count; ++n) {
        state_->merged.buckets[n] += added.buckets[n];
    }
    state_->merged.summary.merge(added.summary);
}

} // namespace kingcupseam::metrics
