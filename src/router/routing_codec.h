#pragma once

#include "router/gate_network.h"

#include <string>

namespace kingcupseam::router {

std::string encode(const routed_request& source);
/// @throws transport::malformed_frame
routed_request decode_routed_request(const std::string& bytes);
/// @param body_bytes_before part of the body that was sent before
std::string encode(const routed_result& source, std::size_t body_bytes_before = 0);
/// @param body_before what has arrived of the body before; the result is lost if it is not all that was sent
/// @throws transport::malformed_frame
routed_result decode_routed_result(const std::string& bytes, std::string body_before = {});

} // namespace kingcupseam::router
