#pragma once

#include "app/http_server.h"

#include <kingcupseam/types.h>

#include <peer_types.h>

namespace kingcupseam::app {

/// HTTP status for a request that was refused or whose outcome is unknown, as listed in docs/protocol.md.
int http_status_of(refusal reason);
http_response refusal_answer(const wire::ForwardResponse& response);
/// The upstream's answer with the outcome `ran`.
http_response ran_answer(const wire::ForwardResponse& response);

} // namespace kingcupseam::app
