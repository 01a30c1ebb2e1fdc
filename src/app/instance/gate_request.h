#pragma once

#include <kingcupseam/types.h>

#include <peer_types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::app {

using gate_reply = std::function<void(const wire::ForwardResponse&)>;

/// A request at its gate, from arrival to answer.
struct gate_request {
    wire::ForwardRequest wire;
    time_point arrived;
    time_point deadline;
    std::vector<gate_reply> waiters; ///< of the caller and of callers that resent the same idempotency key
    std::string digest;            ///< of the content, to detect poison requests and reused idempotency keys
    std::string attempt_id;        ///< Kingcupseam-Request-Id of the current attempt
    std::uint64_t ticket = 0;      ///< id in the admission queue and while in flight; new for each retry
    std::uint64_t client_call = 0; ///< number of the HTTP client's call, while the attempt is in flight
    time_point sent;
    std::uint32_t attempts = 0;
    bool in_flight = false;
    bool may_have_run = false; ///< an earlier attempt of an idempotent request may have run
    bool exclusive = false;    ///< possible poison request: dispatched alone

    rank priority() const { return static_cast<rank>(wire.rank); }
    void answer(const wire::ForwardResponse& response) {
        for (const auto& it : waiters) {
            it(response);
        }
        waiters.clear();
    }
};

using gate_request_ptr = std::shared_ptr<gate_request>;

inline wire::ForwardResponse refusal_response(outcome result, refusal reason,
                                              duration retry_after = duration{0}) {
    wire::ForwardResponse response;
    response.outcome = static_cast<std::int8_t>(result);
    response.reason = static_cast<std::int8_t>(reason);
    response.retry_after_ms =
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count());
    return response;
}

inline wire::ForwardResponse not_run_response(refusal reason, duration retry_after = duration{0}) {
    return refusal_response(outcome::not_run, reason, retry_after);
}

inline wire::ForwardResponse unknown_response(refusal reason) {
    return refusal_response(outcome::unknown, reason);
}

} // namespace kingcupseam::app
