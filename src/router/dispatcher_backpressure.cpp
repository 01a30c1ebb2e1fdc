#include "router/dispatcher.h"
#include "router/in_flight_request.h"

#include <spdlog/spdlog.h>

#include <algorithm>

// What upstreams ask of their callers, and requests that there is no room for.

namespace kingcupseam::router {

namespace {

// Requests per second to an upstream with a limit near 0, so that the end of the limit is noticed.
constexpr double min_limited_rate = 0.2;

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

void dispatcher::on_asked(upstream_queue& queue, const backpressure& asked) {
    const time_point now = steady_now();
    const auto& incarnation = queue.target().incarnation;
    if (limits_.add({incarnation, asked.max_rate, {}}, now)) {
        spdlog::info("upstream limit id={} per_second={}", incarnation.id, asked.max_rate.value_or(0));
        apply_limit(queue);
    }
    if (asked.pause > duration::zero()) {
        spdlog::info("upstream pause id={} ms={}", incarnation.id, milliseconds(asked.pause));
        queue.pause_until(now + asked.pause);
        refuse_beyond_pause(queue);
    }
    if (asked.leaving && leaving_.insert(incarnation).second) {
        spdlog::info("upstream leaving id={} started_ms={}", incarnation.id, incarnation.started_ms);
        queue.set_leaving(now + settings_.leaving_send_time);
    }
}

void dispatcher::refuse_beyond_pause(upstream_queue& queue) {
    const duration useful_time = min_useful_time(queue);
    for (const auto id : queue.waiting_requests()) {
        const auto found = requests_.find(id);
        if (found != requests_.end() && queue.paused_until() + useful_time > found->second->answer_by()) {
            const request_ptr it = found->second;
            refuse_for_lack_of_room(it, queue, queue.paused_until() - steady_now());
        }
    }
}

void dispatcher::refuse_for_lack_of_room(const request_ptr& it, upstream_queue& queue, duration excess) {
    if (it->in_doubt) {
        fail(it, status_bad_gateway, "crowded");
    } else if (queue.rate_limited() || steady_now() < queue.paused_until()) {
        refuse(it, "limited", queue.reserve_return(it->route.priority, excess, steady_now()));
    } else {
        refuse(it, "crowded");
    }
}

void dispatcher::set_limits(const std::vector<limit_statement>& listed) {
    limits_.set_listed(listed);
    apply_limits();
}

void dispatcher::set_entry_count(int entries) {
    entry_count_ = std::max(entries, 1);
    apply_limits();
}

void dispatcher::apply_limits() {
    for (const auto& [id, it] : queues_) {
        apply_limit(*it);
    }
}

void dispatcher::apply_limit(upstream_queue& queue) {
    const time_point now = steady_now();
    auto rate = limits_.limit_of(queue.target().incarnation, now);
    if (rate) {
        // A gate sends for all entries. Others, and all entries where there are no gates, have equal shares.
        const bool sends_for_all =
            gates_ != nullptr && has_key_ranges(queue.target().service) && gates_->is_gate(queue.target());
        rate = std::max(*rate, min_limited_rate) / (sends_for_all ? 1 : entry_count_);
    }
    queue.set_max_rate(rate, phases_(random_), now);
}

} // namespace kingcupseam::router
