#pragma once

#include "router/protocol_adapter.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace kingcupseam::router {

/// Who sends to an upstream.
enum class upstream_use : std::uint8_t {
    exclusive, ///< this entry alone, as far as entries agree: it fills the slots exactly
    shared,    ///< all entries: each finds its part of the slots by congestion control
};

/// This entry's view of one upstream: how many requests it may have there at once, and those that wait here.
/// The window of a shared lane grows while the upstream reports room and halves when it sheds, so that the
/// entries share the slots without talking to each other.
class upstream_queue {
public:
    /// Lower rank first, then arrival order.
    using position = std::pair<std::int32_t, std::uint64_t>;

    upstream_queue(directory::upstream target, upstream_use use);

    const directory::upstream& target() const noexcept { return target_; }
    void update(const directory::upstream& target, upstream_use use) {
        target_ = target;
        use_ = use;
    }

    bool can_send(time_point now) const;
    /// When has_room() becomes true by the passing of time alone; @p now when it does not depend on time.
    time_point can_send_at(time_point now) const;
    void on_sent(time_point now);
    void on_answered(duration service_time, const std::optional<reported_load>& load, time_point now);
    /// The upstream did not take a request. Its window shrinks only when its load says that it is full: a
    /// faulty one turns requests away at random.
    void on_shed(const std::optional<reported_load>& load, time_point now);
    /// No answer came: a connection could not be made, broke, or timed out.
    void on_failed(time_point now);
    void on_withdrawn();
    /// Given up while the upstream was at work for @p elapsed: at least as slow as that.
    void on_overdue(duration elapsed);

    void push(std::int32_t priority, std::uint64_t request_id) {
        waiting_.emplace(position{priority, request_id}, request_id);
    }
    bool withdraw(std::int32_t priority, std::uint64_t request_id) {
        return waiting_.erase({priority, request_id}) > 0;
    }
    std::optional<std::uint64_t> pop();
    std::size_t waiting() const noexcept { return waiting_.size(); }
    /// Time until a request that arrives now would be answered, as far as is known.
    duration expected_time_if_queued(std::int32_t priority, time_point now) const;
    /// Time until a request that is sent now would be answered, by the load that is known.
    duration expected_time_if_sent(time_point now) const;
    duration service_time() const noexcept { return service_time_; }
    /// Lower is better: work ahead for each slot, weighted by the observed service time.
    double cost(time_point now) const;
    /// When a lane that is closed after failures may be tried again.
    time_point ejected_until() const noexcept { return ejected_until_; }

private:
    /// Requests that run or wait at the upstream or wait here.
    double outstanding_requests(time_point now) const;
    void update_service_time(duration service_time);
    void adapt_window(const std::optional<reported_load>& load);

    directory::upstream target_;
    upstream_use use_;
    double window_;
    std::uint32_t in_flight_ = 0;
    std::uint32_t consecutive_failures_ = 0; ///< in a row
    time_point ejected_until_;
    time_point shed_until_;
    time_point next_send_; ///< of a lane whose window is below one
    duration service_time_ = std::chrono::milliseconds(100);
    reported_load load_;
    time_point load_at_;
    std::map<position, std::uint64_t> waiting_;
};

} // namespace kingcupseam::router
