#pragma once

#include "app/instance/peer_mesh.h"
#include "app/instance/routing_view.h"

#include <kingcupseam/consensus.h>
#include <kingcupseam/metrics.h>
#include <kingcupseam/settings.h>

#include <peer_types.h>

#include <functional>
#include <map>
#include <string>

namespace kingcupseam::app {

/// State shared by the components of the control thread.
struct control_context {
    asio::io_context& io;
    const settings::instance_settings& settings;
    std::uint64_t incarnation = 0;
    peer_mesh& mesh;
    metrics::registry& registry;
    std::map<std::string, instance_info> instances; ///< all other known instances, by name

    /// Records an instance unless a higher incarnation of it is known. @returns true if the entry changed
    bool update_instance(const instance_info& info);
    /// Link to a known instance; null if the name is unknown or this instance's own.
    transport::peer_link* link_to(const std::string& name);
    instance_info self() const;
};

wire::InstanceInfo to_wire(const instance_info& source);
/// @throws transport::malformed_frame
instance_info from_wire(const wire::InstanceInfo& source);

wire::ConsensusMessage to_wire(const consensus::message& source);
consensus::message from_wire(const wire::ConsensusMessage& source);

/// Group numbers identify the consensus group of a message. The global group has 1; a data centre's group has
/// a hash of its name with the generation in the low bits, so messages of earlier generations are dropped.
inline constexpr std::uint64_t global_group_number = 1;
std::uint64_t group_number(const std::string& data_center, std::uint64_t generation);

} // namespace kingcupseam::app
