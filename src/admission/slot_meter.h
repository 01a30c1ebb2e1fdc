#pragma once

#include <kingcupseam/types.h>

#include <algorithm>
#include <cmath>

namespace kingcupseam::admission {

/// Tracks whether one more request may run when the number of slots is fractional. The fractional slot is
/// used for that fraction of the time on average: after use it stays closed until the average is met again.
class slot_meter {
public:
    explicit slot_meter(double slots) { set_slots(slots); }

    void set_slots(double slots) { slots_ = std::isfinite(slots) ? std::max(0.0, slots) : 0.0; }
    double slots() const noexcept { return slots_; }
    /// @param elapsed microseconds during which @p running requests ran
    void advance(double elapsed, std::uint32_t running) {
        const double whole = std::floor(slots_);
        const double partial_in_use = double(running) > whole ? 1.0 : 0.0;
        balance_ = std::min(0.0, balance_ + elapsed * (slots_ - whole - partial_in_use));
        // At most one second of slot time, so that a slow request does not keep the slot closed for long.
        balance_ = std::max(balance_, -1e6);
    }
    bool has_free_slot(std::uint32_t running) const noexcept {
        const double whole = std::floor(slots_);
        if (double(running) < whole) {
            return true;
        }
        return slots_ > whole && double(running) == whole && balance_ >= 0;
    }

private:
    double slots_ = 0;
    double balance_ = 0; ///< microseconds of slot time; negative while the fractional slot has been overused
};

} // namespace kingcupseam::admission
