#include "router/upstream_limits.h"

#include <utility>

namespace kingcupseam::router {

namespace {

// Longer than the interval at which an upstream with the lowest rate gets a request.
constexpr duration statement_validity = std::chrono::seconds(10);

} // namespace

bool upstream_limits::add(const limit_statement& statement, time_point now) {
    const auto known = statements_.find(statement.upstream);
    if (known == statements_.end() && !statement.max_rate && !listed_.contains(statement.upstream)) {
        return false;
    }
    const time_point made = now - statement.age;
    if (known != statements_.end() && known->second.made > made) {
        return false;
    }
    const auto before = limit_of(statement.upstream, now);
    statements_[statement.upstream] = {statement.max_rate, made, false};
    return statement.max_rate != before;
}

void upstream_limits::set_listed(const std::vector<limit_statement>& listed) {
    listed_.clear();
    for (const auto& it : listed) {
        if (it.max_rate) {
            listed_.emplace(it.upstream, *it.max_rate);
        }
    }
}

std::optional<double> upstream_limits::limit_of(const directory::upstream_incarnation& upstream,
                                                time_point now) const {
    const auto known = statements_.find(upstream);
    if (known != statements_.end() && now - known->second.made < statement_validity) {
        return known->second.max_rate;
    }
    const auto listed = listed_.find(upstream);
    return listed == listed_.end() ? std::nullopt : std::optional(listed->second);
}

std::vector<limit_statement> upstream_limits::take_new(time_point now) {
    std::vector<limit_statement> result;
    for (auto& [upstream, it] : statements_) {
        if (!std::exchange(it.taken, true)) {
            result.push_back({upstream, it.max_rate, now - it.made});
        }
    }
    expire(now);
    return result;
}

std::vector<limit_statement> upstream_limits::list(time_point now) const {
    std::vector<limit_statement> result;
    for (const auto& [upstream, it] : statements_) {
        if (it.max_rate && now - it.made < statement_validity) {
            result.push_back({upstream, it.max_rate, now - it.made});
        }
    }
    return result;
}

void upstream_limits::expire(time_point now) {
    std::erase_if(statements_, [&](const auto& it) { return now - it.second.made >= statement_validity; });
}

} // namespace kingcupseam::router
