#pragma once

#include "router/protocol_adapter.h"
#include "router/rate_limit.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupseam::router {

/// Which entries send to an upstream.
enum class upstream_use : std::uint8_t {
    exclusive, ///< this entry alone, as the upstream's gate: the window is the number of slots
    shared,    ///< all entries: each finds its share of the slots by congestion control
};

/// This entry's queue and concurrency window for one upstream. The window of a shared upstream grows while
/// the upstream reports a short queue and halves when it sheds, so that entries share the slots without
/// coordination. After repeated failures the upstream is ejected for a while: it gets no requests.
class upstream_queue {
public:
    /// Priority and request id: the lower priority number first, then arrival order.
    using position = std::pair<std::int32_t, std::uint64_t>;

    upstream_queue(directory::upstream target, upstream_use use);

    const directory::upstream& target() const noexcept { return target_; }
    void update(const directory::upstream& target, upstream_use use) {
        target_ = target;
        use_ = use;
    }

    /// Limits the requests that this entry sends, per second; nullopt ends the limit.
    /// @param phase as in rate_limit
    void set_max_rate(std::optional<double> per_second, double phase, time_point now);
    /// The upstream is about to stop: it may be sent requests until @p last_send.
    void set_leaving(time_point last_send) { last_send_ = std::min(last_send_, last_send); }
    bool leaving() const noexcept { return last_send_ != time_point::max(); }
    /// The upstream wants no requests from this entry until @p end.
    void pause_until(time_point end) { paused_until_ = std::max(paused_until_, end); }
    time_point paused_until() const noexcept { return paused_until_; }
    bool stopped(time_point now) const noexcept { return now >= last_send_; }
    bool rate_limited() const noexcept { return rate_limit_.has_value(); }

    bool can_send(time_point now) const;
    /// When can_send() becomes true by the passing of time alone; @p now when it does not depend on time.
    time_point can_send_at(time_point now) const;
    void on_sent(time_point now);
    void on_answered(duration service_time, const std::optional<reported_load>& load, time_point now);
    /// The upstream refused a request as overloaded. The window shrinks unless the reported load shows that
    /// there is room: a faulty upstream refuses requests at random.
    void on_shed(const std::optional<reported_load>& load, time_point now);
    /// The connection was reset so early that the upstream has hardly served the request. While it works on
    /// others of this entry it is taken for full: a shared window shrinks to those. Otherwise as on_failed().
    void on_reset_early(time_point now);
    /// The connection could not be made, broke, or timed out.
    void on_failed(time_point now);
    /// The request ended in a way that shows nothing about the upstream.
    void on_ended();
    /// The request was given up after @p elapsed, which is a lower bound of its service time.
    void on_overdue(duration elapsed);

    /// @param in_time_until end of the request's target latency
    void push(std::int32_t priority, std::uint64_t request_id, time_point in_time_until) {
        waiting_.emplace(position{priority, request_id}, in_time_until);
    }
    bool remove_waiting(std::int32_t priority, std::uint64_t request_id) {
        return waiting_.erase({priority, request_id}) > 0;
    }
    /// Takes the next request: the first one that can still be answered in time, or else the first one. Late
    /// requests would otherwise delay those behind them until nearly all are late.
    std::optional<std::uint64_t> pop(time_point now);
    /// Takes any request.
    std::optional<std::uint64_t> pop_any();
    std::size_t waiting() const noexcept { return waiting_.size(); }
    std::vector<std::uint64_t> waiting_requests() const;
    /// Estimated time until a request that is queued now is answered.
    duration expected_time_if_queued(std::int32_t priority, time_point now) const;
    /// When a request that is refused now finds room if it returns, from now on. Each call reserves a later
    /// time, less urgent requests after more urgent ones.
    /// @param excess time by which it would have been late
    duration reserve_return(std::int32_t priority, duration excess, time_point now);
    /// Estimated time until a request that is sent now is answered, from the known load.
    duration expected_time_if_sent(time_point now) const;
    duration service_time() const noexcept { return service_time_; }
    /// Outstanding requests per slot, weighted by the observed service time; lower is better.
    double cost(time_point now) const;
    /// End of the ejection after failures.
    time_point ejected_until() const noexcept { return ejected_until_; }

private:
    /// Requests that run or wait at the upstream or are queued here.
    double outstanding_requests(time_point now) const;
    std::optional<std::uint64_t> take(std::map<position, time_point>::iterator it);
    /// Time until a pause has ended and the rate limit allows one more request after those that wait.
    duration wait_for_permission(time_point now) const;
    void update_service_time(duration service_time);
    void adapt_window(const std::optional<reported_load>& load);

    directory::upstream target_;
    upstream_use use_;
    double window_;
    std::uint32_t in_flight_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    time_point ejected_until_;
    time_point shed_until_;
    time_point constant_until_; ///< the window does not change before
    time_point last_send_ = time_point::max();
    time_point paused_until_;
    time_point next_send_; ///< earliest next send while the window is below one
    duration service_time_ = std::chrono::milliseconds(100);
    std::optional<rate_limit> rate_limit_;
    std::map<std::int32_t, time_point> returns_; ///< last reserved return, by priority
    reported_load load_;
    time_point load_at_;
    std::map<position, time_point> waiting_; ///< end of the target latency
};

} // namespace kingcupseam::router
