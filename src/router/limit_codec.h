#pragma once

#include "router/upstream_limits.h"

#include <directory_types.h>

#include <vector>

namespace kingcupseam::router {

std::vector<wire::UpstreamLimit> to_wire(const std::vector<limit_statement>& statements);
/// Drops statements with values out of range.
std::vector<limit_statement> from_wire(const std::vector<wire::UpstreamLimit>& statements);

} // namespace kingcupseam::router
