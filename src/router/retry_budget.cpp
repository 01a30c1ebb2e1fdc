#include "router/retry_budget.h"

namespace kingcupseam::router {

void retry_budget::expire(time_point now) {
    while (!first_sends_.empty() && now - first_sends_.front() > settings_.window) {
        first_sends_.pop_front();
    }
    while (!retries_.empty() && now - retries_.front() > settings_.window) {
        retries_.pop_front();
    }
}

void retry_budget::on_first_send(time_point now) {
    expire(now);
    first_sends_.push_back(now);
}

bool retry_budget::try_retry(int entries, time_point now) {
    expire(now);
    const double share =
        settings_.used_fraction * (settings_.ratio * static_cast<double>(first_sends_.size()) +
                                   settings_.slack / static_cast<double>(entries < 1 ? 1 : entries));
    if (static_cast<double>(retries_.size() + 1) > share) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace kingcupseam::router
