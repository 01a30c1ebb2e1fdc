#pragma once

#include <kingcupseam/types.h>

#include <string>

namespace kingcupseam::app {

/// Name of a ledger replica in the routing table: a restarted instance has another one, since its windows are
/// lost.
std::string replica_name(const instance_id& id);
instance_id instance_of(const std::string& replica);

} // namespace kingcupseam::app
