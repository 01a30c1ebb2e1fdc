#pragma once

#include <kingcupseam/types.h>

#include <optional>

namespace kingcupseam::router {

/// Estimates what the steady clock of another instance shows. The clocks have different origins, and may run
/// at slightly different rates.
class peer_clock {
public:
    /// @param peer_time the other instance's clock as it sent a message
    /// @param received this instance's clock as the message arrived
    void add(time_point peer_time, time_point received);
    /// The other clock at @p local. Never ahead of it: behind by the shortest recent transit time of a
    /// message. Empty before the first message.
    std::optional<time_point> at(time_point local) const;

private:
    std::optional<duration> recent_;  ///< largest difference of the clocks seen in the current period
    std::optional<duration> earlier_; ///< the same of the period before
    time_point period_end_;
};

} // namespace kingcupseam::router
