#pragma once

#include "app/http_server.h"

#include <kingcupseam/error.h>

#include <peer_types.h>

#include <string>

namespace kingcupseam::app {

/// Reads the announcement of an upstream; docs/protocol.md describes it.
/// @throws invalid_input naming the field and its range
wire::Announce parse_announcement(const http_request& request);

http_response announcement_accepted(const std::string& data_center, const std::string& instance);
http_response announcement_refused(const invalid_input& problem);
http_response announcement_unavailable();

} // namespace kingcupseam::app
