#pragma once

#include <kingcupseam/types.h>

#include <deque>

namespace kingcupseam::router {

struct retry_budget_options {
    double ratio = 0.2; ///< retries per request
    double slack = 60;  ///< retries beyond the ratio in a window, over all entries
    duration window = std::chrono::seconds(10);
    /// Fraction of the budget that is used, a margin for entries that disagree on the number of entries.
    double used_fraction = 0.6;
};

/// This entry's share of the retries that all entries together may send to one service in any window of
/// the given length.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options settings) : settings_(settings) {}

    void on_first_send(time_point now);
    /// @param entries number of entries that share the slack, at least 1
    /// @returns false when another retry could exceed the share; otherwise counts the retry
    bool try_retry(int entries, time_point now);

private:
    void expire(time_point now);

    retry_budget_options settings_;
    std::deque<time_point> first_sends_;
    std::deque<time_point> retries_;
};

} // namespace kingcupseam::router
