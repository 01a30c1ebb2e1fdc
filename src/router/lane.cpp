#include "router/lane.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

// An upstream queues some requests itself; its answers tell when that queue grows.
constexpr double max_window_per_slot = 4;
// Ten entries that share two slots need a fifth each; a smaller window takes seconds to grow again.
constexpr double min_window = 0.1;
constexpr double window_step = 0.25;         ///< growth with each answer that reports a short queue
constexpr double small_window_growth = 1.25; ///< factor instead, below one
constexpr double idle_window_growth = 2;     ///< factor instead, below one, when nothing waits there
constexpr double crowded_factor = 0.8; ///< with each answer that reports more waiting requests than slots
constexpr double shed_factor = 0.5;
constexpr duration shed_pause = std::chrono::milliseconds(20);
/// Failures in a row after which a lane closes, and for how long at first and at most.
constexpr std::uint32_t failures_before_closing = 2;
constexpr duration first_closing = std::chrono::milliseconds(200);
constexpr std::uint32_t max_closing_doublings = 3;
constexpr double service_time_weight = 0.15; ///< of the newest answer in the moving average
constexpr duration load_validity = std::chrono::milliseconds(500);

} // namespace

lane::lane(directory::upstream target, lane_use use)
    : target_(std::move(target)), use_(use), window_(std::max(target_.slots, 1)) {}

bool lane::has_room(time_point now) const {
    if (now < opens_at(now)) {
        return false;
    }
    return in_flight_ == 0 || in_flight_ < static_cast<std::uint32_t>(window_);
}

time_point lane::opens_at(time_point now) const {
    time_point result = std::max(now, closed_until_);
    if (in_flight_ > 0) {
        result = std::max(result, shed_until_);
    }
    return window_ < 1 ? std::max(result, next_send_) : result;
}

void lane::on_sent(time_point now) {
    ++in_flight_;
    next_send_ = now + std::chrono::duration_cast<duration>(service_time_ / std::max(window_, min_window));
}

void lane::on_answered(duration service_time, const std::optional<reported_load>& load, time_point now) {
    on_withdrawn();
    failures_ = 0;
    closed_until_ = {};
    learn(service_time);
    if (load) {
        load_ = *load;
        load_at_ = now;
    }
    if (use_ == lane_use::shared) {
        adapt_window(load);
    }
}

void lane::adapt_window(const std::optional<reported_load>& load) {
    const double limit = std::max(target_.slots, 1) * max_window_per_slot;
    if (load && load->waiting > target_.slots) {
        window_ = std::max(window_ * crowded_factor, min_window);
    } else if (window_ < 1) {
        window_ *= load && load->waiting == 0 ? idle_window_growth : small_window_growth;
    } else {
        window_ = std::min(window_ + window_step, limit);
    }
}

void lane::on_shed(const std::optional<reported_load>& load, time_point now) {
    on_withdrawn();
    failures_ = 0;
    if (load) {
        load_ = *load;
        load_at_ = now;
        if (load->waiting <= target_.slots) {
            return;
        }
    }
    if (use_ == lane_use::shared) {
        window_ = std::max(window_ * shed_factor, min_window);
    }
    shed_until_ = now + shed_pause;
}

void lane::on_failed(time_point now) {
    on_withdrawn();
    ++failures_;
    if (failures_ >= failures_before_closing) {
        const auto doublings = std::min(failures_ - failures_before_closing, max_closing_doublings);
        closed_until_ = now + first_closing * (1 << doublings);
        if (use_ == lane_use::shared) {
            window_ = 1;
        }
    }
}

void lane::on_overdue(duration elapsed) {
    on_withdrawn();
    if (elapsed > service_time_) {
        learn(elapsed);
    }
}

void lane::learn(duration service_time) {
    service_time_ = std::chrono::duration_cast<duration>(service_time_ * (1 - service_time_weight) +
                                                         service_time * service_time_weight);
}

void lane::on_withdrawn() {
    if (in_flight_ > 0) {
        --in_flight_;
    }
}

std::optional<std::uint64_t> lane::pop() {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const std::uint64_t result = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    return result;
}

duration lane::expected_time(std::int32_t priority, time_point now) const {
    const auto ahead = static_cast<double>(std::count_if(
        waiting_.begin(), waiting_.end(), [&](const auto& it) { return it.first.first <= priority; }));
    return (opens_at(now) - now) +
           std::chrono::duration_cast<duration>(service_time_ * (1 + ahead / std::max(window_, min_window)));
}

double lane::work(time_point now) const {
    const double here = in_flight_ + static_cast<double>(waiting_.size());
    return now - load_at_ < load_validity ? std::max(here, static_cast<double>(load_.running + load_.waiting))
                                          : here;
}

duration lane::time_to_answer(time_point now) const {
    const double slots = std::max(target_.slots, 1);
    const double ahead = std::max(work(now) + 1 - slots, 0.0);
    return std::chrono::duration_cast<duration>(service_time_ * (1 + ahead / slots));
}

double lane::cost(time_point now) const {
    return (work(now) + 1) / std::max(target_.slots, 1) * static_cast<double>(service_time_.count());
}

} // namespace kingcupseam::router
