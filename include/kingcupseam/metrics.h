#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace kingcupseam::metrics {

/// Names and values of the labels that distinguish the metrics of one name.
using label_set = std::map<std::string, std::string>;

class counter {
public:
    void add(std::uint64_t n = 1) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

class gauge {
public:
    void set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Latency histogram in microseconds with logarithmic buckets, 8 per power of two. Mean, standard deviation
/// and maximum are those of the recorded values, not of the buckets. Safe to use from several threads.
class histogram {
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void record(std::uint64_t microseconds);
    std::uint64_t count() const;
    double mean() const;
    double standard_deviation() const;
    std::uint64_t max() const;
    /// @param fraction 0 to 1
    /// @returns upper bound of the bucket that contains the quantile, the recorded maximum when the quantile
    /// lies beyond the buckets, 0 when empty
    std::uint64_t quantile(double fraction) const;
    /// For each of the @p bounds, the count of the values up to it. A bucket that extends beyond the bound is
    /// left out, so the count is never too high.
    std::vector<std::uint64_t> cumulative_counts(const std::vector<std::uint64_t>& bounds) const;
    /// Adds the values that @p other has recorded.
    void merge(const histogram& other);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// All metrics of a process. Each *_of function returns the metric with the name and labels, and creates it
/// at the first call; the reference stays valid for the lifetime of the registry.
/// @throws invalid_input when a name is malformed, or is registered as another kind of metric
class registry {
public:
    counter& counter_of(const std::string& name, const std::string& help, const label_set& labels = {});
    gauge& gauge_of(const std::string& name, const std::string& help, const label_set& labels = {});
    histogram& histogram_of(const std::string& name, const std::string& help, const label_set& labels = {});
    /// Prometheus text format 0.0.4; histograms in seconds.
    std::string prometheus_text() const;

private:
    template <class T>
    struct family {
        std::string help;
        std::map<label_set, std::unique_ptr<T>> metrics;
    };

    mutable std::mutex mutex_;
    std::map<std::string, family<counter>> counters_;
    std::map<std::string, family<gauge>> gauges_;
    std::map<std::string, family<histogram>> histograms_;
};

} // namespace kingcupseam::metrics
