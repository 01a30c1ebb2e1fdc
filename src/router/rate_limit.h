#pragma once

#include <kingcupseam/types.h>

#include <algorithm>

namespace kingcupseam::router {

/// Paces requests to a rate (generic cell rate algorithm). Requests that were not sent may be made up for
/// during the burst time.
class rate_limit {
public:
    /// @param phase 0 to 1: part of an interval before the first request. Senders that share a limit and
    /// learn it at the same time have different ones.
    rate_limit(double per_second, double phase, time_point now) {
        set_rate(per_second);
        full_at_ = now + burst_time + std::chrono::duration_cast<duration>(interval_ * phase);
    }

    /// The next request is paced by the new rate.
    void set_rate(double per_second) {
        interval_ = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / std::max(per_second, min_rate)));
    }
    duration interval() const noexcept { return interval_; }
    /// Earliest time at which a request is within the limit; @p now when it is already.
    time_point next_send(time_point now) const { return std::max(now, full_at_ - burst_time); }
    void on_sent(time_point now) { full_at_ = std::max(full_at_, now) + interval_; }

private:
    static constexpr double min_rate = 1e-4; ///< requests per second
    static constexpr duration burst_time = std::chrono::milliseconds(250);

    duration interval_{};
    time_point full_at_; ///< when the sent requests have used up the rate
};

} // namespace kingcupseam::router
