#include "app/instance/refusal_answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kingcupseam::app {

int http_status_of(refusal reason) {
    switch (reason) {
    case refusal::invalid_request:
        return 400;
    case refusal::no_rule:
        return 404;
    case refusal::in_doubt:
        return 409;
    case refusal::expired_key:
        return 410;
    case refusal::missing_idempotency_key:
        return 422;
    case refusal::queue_full:
    case refusal::saturated:
        return 429;
    case refusal::no_profile:
    case refusal::no_owner:
    case refusal::stale_route:
    case refusal::gate_unreachable:
    case refusal::ledger_unavailable:
    case refusal::upstream_shed:
    case refusal::retries_exhausted:
    case refusal::shutting_down:
        return 503;
    case refusal::deadline:
        return 504;
    case refusal::none:
    case refusal::gate_lost:
    case refusal::upstream_failed:
    case refusal::crashes_upstreams:
        return 502;
    }
    return 502;
}

http_response refusal_answer(const wire::ForwardResponse& response) {
    const auto reason = static_cast<refusal>(response.reason);
    const std::string result(to_string(static_cast<outcome>(response.outcome)));
    http_response answer;
    answer.status = http_status_of(reason);
    answer.headers = {{"Content-Type", "application/json"},
                      {"Kingcupseam-Outcome", result},
                      {"Kingcupseam-Reason", std::string(to_string(reason))}};
    if (response.retry_after_ms > 0) {
        // Retry-After is in whole seconds; rounded up.
        answer.headers.emplace_back("Retry-After",
                                    std::to_string(std::max(1, (response.retry_after_ms + 999) / 1000)));
    }
    answer.body = nlohmann::json{{"outcome", result}, {"reason", to_string(reason)}}.dump();
    return answer;
}

http_response ran_answer(const wire::ForwardResponse& response) {
    http_response answer;
    answer.status = response.status;
    for (const auto& field : response.headers) {
        answer.headers.emplace_back(field.name, field.value);
    }
    answer.headers.emplace_back("Kingcupseam-Outcome", std::string(to_string(outcome::ran)));
    answer.body = response.body;
    return answer;
}

} // namespace kingcupseam::app
