#pragma once

#include <kingcupseam/metrics.h>

#include <map>
#include <string>

namespace kingcupseam::router {

/// Counts the orders that a control instance did not carry out, by reason.
class order_failures {
public:
    explicit order_failures(metrics::registry& registry) : registry_(registry) {}

    /// @param kind of the order: announce, depart, configure or read; commit at the leader
    void add(const std::string& kind, const std::string& reason);
    /// Writes one line with the failures since the last call, none without failures.
    void log();

private:
    metrics::registry& registry_;
    std::map<std::string, int> counts_; ///< since the last line, by kind and reason
};

} // namespace kingcupseam::router
