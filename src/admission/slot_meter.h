#pragma once

#include <kingcupseam/types.h>

#include <algorithm>
#include <cmath>

namespace kingcupseam::admission {

/// Decides whether one more request may run when the number of slots has a fraction. The fraction is kept as
/// an average over time: the partial slot stays closed until its past use is paid for.
class slot_meter {
public:
    explicit slot_meter(double slots) { set(slots); }

    void set(double slots) { slots_ = std::isfinite(slots) ? std::max(0.0, slots) : 0.0; }
    double slots() const noexcept { return slots_; }
    /// @param elapsed microseconds during which @p running requests ran
    void advance(double elapsed, std::uint32_t running) {
        const double whole = std::floor(slots_);
        const double partial_in_use = double(running) > whole ? 1.0 : 0.0;
        balance_ = std::min(0.0, balance_ + elapsed * (slots_ - whole - partial_in_use));
        // Bounds the pause after an upstream was slow, in microseconds.
        balance_ = std::max(balance_, -1e6);
    }
    bool free(std::uint32_t running) const noexcept {
        const double whole = std::floor(slots_);
        if (double(running) < whole) {
            return true;
        }
        return slots_ > whole && double(running) == whole && balance_ >= 0;
    }

private:
    double slots_ = 0;
    double balance_ = 0;
};

} // namespace kingcupseam::admission
