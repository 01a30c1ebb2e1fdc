#pragma once

#include <kingcupseam/types.h>

#include <string>

namespace kingcupseam::router {

/// The address of an instance whose name came in a frame: the name is its IPv4 address and peer port.
/// @throws transport::malformed_frame
endpoint_address parse_instance_name(const std::string& name);
/// False for a seed that cannot be dialled, since it is not an IP address; this is logged.
bool is_usable_seed(const std::string& ip);

} // namespace kingcupseam::router
