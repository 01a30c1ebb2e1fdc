#pragma once

#include <kingcupseam/types.h>

#include <algorithm>

namespace kingcupseam::admission {

/// Moving average of service times in which a single sample counts for at most four times the average, so a
/// few outliers do not close the queue while a lasting slowdown is followed within tens of samples.
class service_estimate {
public:
    explicit service_estimate(duration initial) : mean_(std::max<double>(1, double(initial.count()))) {}

    void add(duration sample) {
        const double value = std::clamp(double(sample.count()), 1.0, 4 * mean_);
        samples_ = std::min(samples_ + 1, 15);
        mean_ += (value - mean_) / (samples_ + 1);
    }
    double microseconds() const noexcept { return mean_; }
    bool settled() const noexcept { return samples_ >= 4; }

private:
    double mean_;
    int samples_ = 0;
};

} // namespace kingcupseam::admission
