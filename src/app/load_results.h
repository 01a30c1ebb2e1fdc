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

/// Result of one request, over all of its attempts.
enum class request_end : std::uint8_t {
    answered, ///< a complete and correct answer arrived
    not_run,  ///< the system answered not-run
    unknown,  ///< the system answered unknown
    lost,     ///< no answer arrived, or an incomplete one
    error,    ///< no address accepted it, or the answer has no outcome
};

/// Results of the requests that were scheduled in one second of the load.
struct second_results {
    std::uint64_t sent = 0;
    std::vector<std::uint32_t> latencies; ///< of the correct answers, in microseconds
};

struct rank_results {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; ///< with a correct answer and no wrong one
    std::uint64_t late = 0;     ///< answered, but later than load_options::late_after
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t errors = 0;
    std::uint64_t resent = 0;      ///< attempts after the first of each request
    std::uint64_t wrong = 0;       ///< requests with a damaged answer or one to another request
    std::uint64_t double_runs = 0; ///< at-most-once requests that ran twice, by their answers or the records
    std::uint64_t false_not_run = 0;              ///< requests that ran although the caller was told not-run
    std::map<std::string, std::uint64_t> not_run; ///< by reason
    std::unique_ptr<metrics::histogram> latency = std::make_unique<metrics::histogram>();
    std::vector<second_results> seconds; ///< indexed by second since the start
    /// Idempotency keys of the requests whose only outcome was not-run, for comparison with the run records.
    std::vector<std::string> not_run_keys;
    /// Idempotency keys of the at-most-once requests that are not in double_runs yet.
    std::vector<std::string> at_most_once_keys;

    std::uint64_t not_run_total() const;
    /// Results of the second that holds @p at; adds the seconds up to it when they are missing.
    second_results& second_at(duration at);
};

struct load_results {
    std::array<rank_results, rank_count> ranks;
    double measured_seconds = 0;
    std::optional<judgement> judged; ///< empty when no records were judged

    /// Adds the findings from the run records of the stand-ins, also to double_runs and false_not_run.
    void add_judgement(judgement found);
    /// True after a wrong answer, a double run, a false not-run or a double ownership.
    bool violated() const;
};

} // namespace kingcupseam::app
