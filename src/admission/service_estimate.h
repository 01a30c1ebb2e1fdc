#pragma once

#include <kingcupseam/types.h>

#include <algorithm>

namespace kingcupseam::admission {

/// Moving average of service times. A sample is clamped to four times the average, so that a few outliers do
/// not make the queue refuse requests, while a lasting slowdown is followed within tens of samples.
class service_estimate {
public:
    explicit service_estimate(duration initial) : mean_(std::max<double>(1, double(initial.count()))) {}

    void add(duration sample) {
        const double value = std::clamp(double(sample.count()), 1.0, 4 * mean_);
        samples_ = std::min(samples_ + 1, 15);
        mean_ += (value - mean_) / (samples_ + 1);
    }
    double microseconds() const noexcept { return mean_; }
    bool has_enough_samples() const noexcept { return samples_ >= 4; }

private:
    double mean_;
    int samples_ = 0;
};

} // namespace kingcupseam::admission
