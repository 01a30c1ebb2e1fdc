#include "router/peer_clock.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

// Short enough that clocks which differ by 100 parts per million drift by a few milliseconds.
constexpr duration period = std::chrono::seconds(30);

} // namespace

void peer_clock::add(time_point peer_time, time_point received) {
    if (received >= period_end_) {
        // A difference from before a long pause says nothing about the clocks now.
        earlier_ = received - period_end_ < period ? recent_ : std::nullopt;
        recent_.reset();
        period_end_ = received + period;
    }
    const duration difference = peer_time - received;
    recent_ = recent_ ? std::max(*recent_, difference) : difference;
}

std::optional<time_point> peer_clock::at(time_point local) const {
    if (!recent_) {
        return std::nullopt;
    }
    return local + (earlier_ ? std::max(*recent_, *earlier_) : *recent_);
}

} // namespace kingcupseam::router
