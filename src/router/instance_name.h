#pragma once

#include <kingcupseam/types.h>

#include <string>

namespace kingcupseam::router {

/// The address of an instance whose name came in a frame: the name is its IPv4 address and peer port.
/// @throws transport::malformed_frame
endpoint_address parse_instance_name(const std::string& name);

} // namespace kingcupseam::router
