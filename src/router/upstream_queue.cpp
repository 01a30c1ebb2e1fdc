#include "router/upstream_queue.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

// An upstream queues some requests itself and reports the length of its queue in its answers.
constexpr double max_window_per_slot = 4;
// Ten entries that share two slots need a window of 0.2 each; a smaller one takes seconds to grow again.
constexpr double min_window = 0.1;
constexpr double window_increment = 0.25;           ///< added per answer that reports a short queue
constexpr double small_window_growth_factor = 1.25; ///< per such answer while the window is below one
constexpr double idle_window_growth_factor = 2;     ///< the same, when no request waits at the upstream
/// Per answer that reports more waiting requests than slots.
constexpr double overload_decrease_factor = 0.8;
constexpr double shed_decrease_factor = 0.5;
constexpr duration shed_pause = std::chrono::milliseconds(20);
// Growth of the window costs a request where a full upstream resets the connection.
constexpr duration reset_hold = std::chrono::seconds(2);
/// The ejection time doubles with each further failure.
constexpr std::uint32_t failures_before_ejection = 2;
constexpr duration base_ejection_time = std::chrono::milliseconds(200);
constexpr std::uint32_t max_ejection_doublings = 3;
constexpr double mean_unfinished_part = 0.5; ///< of the work of a request in flight
constexpr double service_time_weight = 0.15; ///< of the newest answer in the moving average
constexpr duration load_validity = std::chrono::milliseconds(500);

} // namespace

upstream_queue::upstream_queue(directory::upstream target, upstream_use use)
    : target_(std::move(target)), use_(use), window_(std::max(target_.slots, 1)) {}

void upstream_queue::set_max_rate(std::optional<double> per_second, double phase, time_point now) {
    if (!per_second) {
        rate_limit_.reset();
        returns_.clear();
    } else if (rate_limit_) {
        rate_limit_->set_rate(*per_second);
    } else {
        rate_limit_.emplace(*per_second, phase, now);
    }
}

bool upstream_queue::can_send(time_point now) const {
    if (now < can_send_at(now)) {
        return false;
    }
    return in_flight_ == 0 || in_flight_ < static_cast<std::uint32_t>(window_);
}

time_point upstream_queue::can_send_at(time_point now) const {
    time_point result = std::max({now, ejected_until_, paused_until_});
    if (rate_limit_) {
        result = std::max(result, rate_limit_->next_send(now));
    }
    if (in_flight_ > 0) {
        result = std::max(result, shed_until_);
    }
    return window_ < 1 ? std::max(result, next_send_) : result;
}

void upstream_queue::on_sent(time_point now) {
    ++in_flight_;
    if (rate_limit_) {
        rate_limit_->on_sent(now);
    }
    next_send_ = now + std::chrono::duration_cast<duration>(service_time_ / std::max(window_, min_window));
}

void upstream_queue::on_answered(duration service_time, const std::optional<reported_load>& load,
                                 time_point now) {
    on_ended();
    consecutive_failures_ = 0;
    ejected_until_ = {};
    update_service_time(service_time);
    if (load) {
        load_ = *load;
        load_at_ = now;
    }
    if (use_ == upstream_use::shared && now >= constant_until_) {
        adapt_window(load);
    }
}

void upstream_queue::adapt_window(const std::optional<reported_load>& load) {
    const double limit = std::max(target_.slots, 1) * max_window_per_slot;
    if (load && load->waiting > target_.slots) {
        window_ = std::max(window_ * overload_decrease_factor, min_window);
    } else if (window_ < 1) {
        window_ *= load && load->waiting == 0 ? idle_window_growth_factor : small_window_growth_factor;
    } else {
        window_ = std::min(window_ + window_increment, limit);
    }
}

void upstream_queue::on_shed(const std::optional<reported_load>& load, time_point now) {
    on_ended();
    consecutive_failures_ = 0;
    if (load) {
        load_ = *load;
        load_at_ = now;
        if (load->waiting <= target_.slots) {
            return;
        }
    }
    if (use_ == upstream_use::shared) {
        window_ = std::max(window_ * shed_decrease_factor, min_window);
    }
    shed_until_ = now + shed_pause;
}

void upstream_queue::on_reset_early(time_point now) {
    if (in_flight_ <= 1) {
        on_failed(now);
        return;
    }
    on_ended();
    if (use_ == upstream_use::shared) {
        window_ = std::min(window_, static_cast<double>(in_flight_));
        constant_until_ = now + reset_hold;
    }
    shed_until_ = now + shed_pause;
}

void upstream_queue::on_failed(time_point now) {
    on_ended();
    ++consecutive_failures_;
    if (consecutive_failures_ >= failures_before_ejection) {
        const auto doublings =
            std::min(consecutive_failures_ - failures_before_ejection, max_ejection_doublings);
        ejected_until_ = now + base_ejection_time * (1 << doublings);
        if (use_ == upstream_use::shared) {
            window_ = 1;
        }
    }
}

void upstream_queue::on_overdue(duration elapsed) {
    on_ended();
    if (elapsed > service_time_) {
        update_service_time(elapsed);
    }
}

void upstream_queue::update_service_time(duration service_time) {
    service_time_ = std::chrono::duration_cast<duration>(service_time_ * (1 - service_time_weight) +
                                                         service_time * service_time_weight);
}

void upstream_queue::on_ended() {
    if (in_flight_ > 0) {
        --in_flight_;
    }
}

std::optional<std::uint64_t> upstream_queue::pop(time_point now) {
    const auto first_in_time = std::find_if(waiting_.begin(), waiting_.end(),
                                            [&](const auto& it) { return now + service_time_ <= it.second; });
    return take(first_in_time == waiting_.end() ? waiting_.begin() : first_in_time);
}

std::vector<std::uint64_t> upstream_queue::waiting_requests() const {
    std::vector<std::uint64_t> result;
    result.reserve(waiting_.size());
    for (const auto& [at, end] : waiting_) {
        result.push_back(at.second);
    }
    return result;
}

std::optional<std::uint64_t> upstream_queue::pop_any() {
    return take(waiting_.begin());
}

std::optional<std::uint64_t> upstream_queue::take(std::map<position, time_point>::iterator it) {
    if (it == waiting_.end()) {
        return std::nullopt;
    }
    const std::uint64_t result = it->first.second;
    waiting_.erase(it);
    return result;
}

duration upstream_queue::expected_time_if_queued(std::int32_t priority, time_point now) const {
    const double window = std::max(window_, min_window);
    const auto ahead =
        static_cast<double>(std::count_if(waiting_.begin(), waiting_.end(), [&](const auto& it) {
            return it.first.first <= priority && now + service_time_ <= it.second;
        }));
    const double unfinished = std::min<double>(in_flight_, window) * mean_unfinished_part;
    auto wait = std::chrono::duration_cast<duration>(service_time_ * ((ahead + unfinished) / window));
    if (rate_limit_) {
        wait = std::max(wait, std::chrono::duration_cast<duration>(rate_limit_->interval() * ahead));
    }
    return (can_send_at(now) - now) + wait + service_time_;
}

double upstream_queue::outstanding_requests(time_point now) const {
    const double local = in_flight_ + static_cast<double>(waiting_.size());
    return now - load_at_ < load_validity
               ? std::max(local, static_cast<double>(load_.running + load_.waiting))
               : local;
}

duration upstream_queue::expected_time_if_sent(time_point now) const {
    const double slots = std::max(target_.slots, 1);
    const double ahead = std::max(outstanding_requests(now) + 1 - slots, 0.0);
    return wait_for_permission(now) +
           std::chrono::duration_cast<duration>(service_time_ * (1 + ahead / slots));
}

duration upstream_queue::wait_for_permission(time_point now) const {
    duration result = std::max(paused_until_ - now, duration::zero());
    if (rate_limit_) {
        result = std::max(result, rate_limit_->next_send(now) - now) +
                 rate_limit_->interval() * static_cast<std::int64_t>(waiting_.size());
    }
    return result;
}

duration upstream_queue::reserve_return(std::int32_t priority, duration excess, time_point now) {
    const duration interval =
        rate_limit_ ? rate_limit_->interval()
                    : std::chrono::duration_cast<duration>(service_time_ / std::max(window_, min_window));
    time_point result = now + excess;
    for (const auto& [other, last] : returns_) {
        if (other <= priority) {
            result = std::max(result, last + interval);
        }
    }
    returns_[priority] = result;
    return result - now;
}

double upstream_queue::cost(time_point now) const {
    return (outstanding_requests(now) + 1) / std::max(target_.slots, 1) *
               static_cast<double>(service_time_.count()) +
           static_cast<double>(wait_for_permission(now).count());
}

} // namespace kingcupseam::router
