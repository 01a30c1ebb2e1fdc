#pragma once

#include <kingcupseam/types.h>

#include <deque>

namespace kingcupseam::router {

struct retry_budget_options {
    double ratio = 0.2;
    double slack = 60; ///< of all entries together
    duration window = std::chrono::seconds(10);
    /// Part of the allowance that is used: other entries may count more entries than there are.
    double used_fraction = 0.6;
};

/// This entry's share of the repeats that all entries may send to one service in any window of the given
/// length.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options settings) : settings_(settings) {}

    void on_first_send(time_point now);
    /// @param entries number of entries that share the slack, at least 1
    /// @returns false when another repeat could exceed the share; true counts it
    bool try_retry(int entries, time_point now);

private:
    void expire(time_point now);

    retry_budget_options settings_;
    std::deque<time_point> first_sends_;
    std::deque<time_point> retries_;
};

} // namespace kingcupseam::router
