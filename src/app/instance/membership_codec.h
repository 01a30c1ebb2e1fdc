#pragma once

#include <kingcupseam/membership.h>

#include <string>
#include <string_view>

namespace kingcupseam::app {

std::string encode_membership_message(const membership::message& source);
/// @throws transport::malformed_frame
membership::message decode_membership_message(std::string_view payload);

} // namespace kingcupseam::app
