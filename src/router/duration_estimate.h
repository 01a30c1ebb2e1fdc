#pragma once

#include <kingcupseam/types.h>

namespace kingcupseam::router {

/// Moving average of a duration and of its deviation.
class duration_estimate {
public:
    void add(duration sample) {
        const duration error = sample - mean_;
        if (!known_) {
            known_ = true;
            mean_ = sample;
            deviation_ = sample / 2;
            return;
        }
        mean_ += error / mean_divisor;
        deviation_ += ((error < duration::zero() ? -error : error) - deviation_) / deviation_divisor;
    }
    /// Zero before the first sample.
    duration mean() const noexcept { return mean_; }
    /// Exceeded by few samples.
    duration upper() const noexcept { return mean_ + 2 * deviation_; }

private:
    static constexpr int mean_divisor = 8;
    static constexpr int deviation_divisor = 4;

    bool known_ = false;
    duration mean_{};
    duration deviation_{};
};

} // namespace kingcupseam::router
