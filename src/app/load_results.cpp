#include "app/load_results.h"

#include <numeric>

namespace kingcupseam::app {

std::uint64_t rank_results::not_run_total() const {
    return std::accumulate(not_run.begin(), not_run.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& it) { return sum + it.second; });
}

second_results& rank_results::second_at(duration at) {
    const auto n = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(at).count());
    if (n >= seconds.size()) {
        seconds.resize(n + 1);
    }
    return seconds[n];
}

void load_results::add_judgement(judgement found) {
    const auto& runs = found.runs_by_idempotency_key;
    for (auto& it : ranks) {
        for (const auto& key : it.not_run_keys) {
            it.false_not_run += runs.count(key);
        }
        for (const auto& key : it.at_most_once_keys) {
            const auto run = runs.find(key);
            it.double_runs += run != runs.end() && run->second > 1 ? 1 : 0;
        }
    }
    judged = std::move(found);
}

bool load_results::violated() const {
    for (const auto& it : ranks) {
        if (it.wrong + it.double_runs + it.false_not_run > 0) {
            return true;
        }
    }
    return judged && judged->double_runs + judged->double_owners > 0;
}

} // namespace kingcupseam::app
