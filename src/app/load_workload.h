#pragma once

#include "app/load_options.h"

#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// One request of the load, at its intended time since the start.
struct planned_request {
    duration at{};
    rank priority = rank::urgent;
    std::string key;
    auto operator<=>(const planned_request&) const = default;
};

/// Poisson arrivals of all ranks in time order; the same options give the same requests.
class workload {
public:
    explicit workload(const load_options& settings);
    /// @returns empty after the end of the load
    std::optional<planned_request> next();

private:
    struct arrivals {
        std::mt19937_64 random;
        double at = 0; ///< seconds; the next arrival
    };
    struct rate_period {
        double rate = 0;
        double until = 0;
    };

    rate_period rate_at(std::size_t rank_index, double at) const;
    void advance(std::size_t rank_index);
    std::string draw_key(double at);

    const load_options settings_;
    double length_;
    std::array<arrivals, rank_count> sources_;
    std::mt19937_64 key_random_;
    std::vector<double> cumulative_; ///< of the Zipf distribution; empty when uniform
};

/// UUID version 7, whose time lets the ledger tell expired keys.
class idempotency_key_source {
public:
    idempotency_key_source();
    std::string next();

private:
    std::mt19937_64 random_;
};

} // namespace kingcupseam::app
