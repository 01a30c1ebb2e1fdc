#pragma once

#include <kingcupseam/types.h>

#include <string>

namespace kingcupseam::app {

/// Name of a ledger replica in the routing table. It contains the incarnation, since a restarted instance has
/// lost its windows and is another replica.
std::string replica_name(const instance_id& id);
/// Inverse of replica_name().
instance_id instance_of(const std::string& replica);

} // namespace kingcupseam::app
