#include "router/link_delay.h"

namespace kingcupseam::router {

namespace {

constexpr duration unit = std::chrono::microseconds(125);
// 131 s, far longer than a link is kept open without a sign of life; three bytes in a frame.
constexpr std::int64_t modulus_units = std::int64_t{1} << 20;
constexpr duration modulus = unit * modulus_units;
// Two clocks that are each within 250 parts per million.
constexpr std::int64_t max_drift_divisor = 2000;

/// The value in [-modulus / 2, modulus / 2) that equals @p value modulo the modulus.
duration wrap(duration value) {
    const duration rest = ((value % modulus) + modulus) % modulus;
    return rest >= modulus / 2 ? rest - modulus : rest;
}

} // namespace

std::int32_t link_delay::stamp(time_point now) {
    return static_cast<std::int32_t>(now.time_since_epoch() / unit % modulus_units);
}

duration link_delay::add(std::int32_t sent, time_point received) {
    const duration apparent = unit * (std::int64_t{stamp(received)} - sent);
    if (!fastest_) {
        fastest_ = {apparent, received};
        return duration::zero();
    }
    const duration drift = (received - fastest_->received) / max_drift_divisor;
    const duration excess = wrap(apparent - fastest_->apparent) - drift;
    if (excess > duration::zero()) {
        return std::chrono::ceil<std::chrono::milliseconds>(excess);
    }
    fastest_ = {apparent, received};
    return duration::zero();
}

} // namespace kingcupseam::router
