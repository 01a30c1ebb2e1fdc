#pragma once

#include "app/run_judge.h"

#include <kingcupseam/metrics.h>
#include <kingcupseam/types.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// How one request ended, over all of its attempts.
enum class request_end : std::uint8_t {
    answered, ///< a complete answer of its own arrived
    not_run,
    unknown, ///< told so by the system
    lost,    ///< no answer, or an incomplete one
    error,   ///< no address accepted it, or the answer has no outcome
};

/// Service of one second of the load.
struct second_results {
    std::uint64_t sent = 0;
    std::vector<std::uint32_t> latencies; ///< of the correct answers, in microseconds
};

struct rank_results {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; ///< once and correctly
    std::uint64_t late = 0;     ///< among the answered
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t errors = 0;
    std::uint64_t resent = 0;
    std::uint64_t wrong = 0;
    std::uint64_t double_runs = 0; ///< of this rank's requests, from differing answers or from the records
    std::uint64_t false_not_run = 0;
    std::map<std::string, std::uint64_t> not_run;
    std::unique_ptr<metrics::histogram> latency = std::make_unique<metrics::histogram>();
    std::vector<second_results> seconds;
    /// Requests that were only ever told not-run, by idempotency key, for comparing with the records.
    std::vector<std::string> not_run_keys;
    std::vector<std::string> at_most_once_keys;

    std::uint64_t not_run_total() const;
    second_results& second_at(duration at);
};

struct load_results {
    std::array<rank_results, rank_count> ranks;
    double measured_seconds = 0;
    std::optional<judgement> judged;

    /// Adds what the records of the stand-ins show.
    void add_judgement(judgement found);
    /// Something happened that must never happen.
    bool violated() const;
};

} // namespace kingcupseam::app
