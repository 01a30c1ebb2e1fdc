#include "router/slot_usage.h"

#include <spdlog/fmt/fmt.h>

namespace kingcupseam::router {

namespace {

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::int64_t mean_milliseconds(duration total, int n) {
    return n == 0 ? 0 : milliseconds(total / n);
}

} // namespace

std::optional<std::string> slot_usage::take(int slots, std::size_t waiting, time_point now) {
    const duration late = occupied_.at(index_of(slot_result::late));
    const duration lost = occupied_.at(index_of(slot_result::lost));
    std::optional<std::string> result;
    if (late + lost > duration::zero() || refused_ > 0) {
        result = fmt::format(
            "slots={} period_ms={} in_time_ms={} late_ms={} lost_ms={} sent={} refused={} waiting={} "
            "mean_wait_ms={} forwarded={} mean_link_ms={}",
            slots, milliseconds(now - since_), milliseconds(occupied_.at(index_of(slot_result::in_time))),
            milliseconds(late), milliseconds(lost), sent_, refused_, waiting,
            mean_milliseconds(waited_, sent_), forwarded_, mean_milliseconds(on_links_, forwarded_));
    }
    *this = slot_usage();
    since_ = now;
    return result;
}

} // namespace kingcupseam::router
