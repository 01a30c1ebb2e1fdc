#pragma once

#include "app/load_options.h"

#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// One request of the load.
struct planned_request {
    duration at{}; ///< scheduled time, since the start of the load
    rank priority = rank::urgent;
    std::string key;
    auto operator<=>(const planned_request&) const = default;
};

/// Generates Poisson arrivals of all ranks in time order; the same options give the same requests.
class workload {
public:
    explicit workload(const load_options& settings);
    /// @returns empty after the end of the load
    std::optional<planned_request> next();

private:
    struct arrival_process {
        std::mt19937_64 random;
        double next_s = 0; ///< time of the next arrival, in seconds since the start
    };
    struct rate_period {
        double rate = 0;    ///< requests per second
        double until_s = 0; ///< when the rate changes next, in seconds since the start
    };

    rate_period rate_at(std::size_t rank_index, double at_s) const;
    void schedule_next_arrival(std::size_t rank_index);
    std::string draw_key(double at_s);

    const load_options settings_;
    double length_s_;
    std::array<arrival_process, rank_count> arrivals_;
    std::mt19937_64 key_random_;
    std::vector<double> cumulative_weights_; ///< of the Zipf distribution; empty when uniform
};

/// Generates UUIDs of version 7; their timestamp lets the ledger recognise expired keys.
class idempotency_key_source {
public:
    idempotency_key_source();
    std::string next();

private:
    std::mt19937_64 random_;
};

} // namespace kingcupseam::app
