#pragma once

#include "router/poison_requests.h"
#include "router/protocol_adapter.h"

namespace kingcupseam::router {

/// Hash of method, target, body and of all headers but @p id_header, which is new for each attempt.
request_digest digest_of(const caller_request& request, const std::string& id_header);

} // namespace kingcupseam::router
