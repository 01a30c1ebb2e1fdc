#pragma once

#include "router/poison_requests.h"
#include "router/protocol_adapter.h"

namespace kingcupseam::router {

/// Hash of the method, target, body and all headers except @p id_header, which differs between attempts.
request_digest digest_of(const caller_request& request, const std::string& id_header);

} // namespace kingcupseam::router
