#pragma once

#include "app/http_server.h"

#include <kingcupseam/error.h>

#include <peer_types.h>

#include <string>

namespace kingcupseam::app {

/// Parses an upstream's announcement as specified in docs/protocol.md.
/// @throws invalid_input that names the field and says what it must be
wire::Announce parse_announcement(const http_request& request);

http_response announcement_accepted(const std::string& data_center, const std::string& instance);
http_response announcement_refused(const invalid_input& problem);
http_response announcement_unavailable();

} // namespace kingcupseam::app
