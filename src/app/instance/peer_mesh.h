#pragma once

#include "app/instance/routing_view.h"

#include <kingcupseam/transport.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kingcupseam::app {

/// One thread's links to other instances, created on first use.
class peer_mesh {
public:
    peer_mesh(asio::io_context& context, transport::peer_identity self, transport::link_options settings,
              transport::frame_handler on_frame);

    /// Link to the instance @p name at @p address; a changed address replaces the link.
    transport::peer_link& link_to(const std::string& name, const endpoint_address& address);
    /// True if a link to the instance exists and is connected.
    bool up(const std::string& name) const;
    /// Closes the links to instances for which @p keep returns false.
    void retain(const std::function<bool(const std::string&)>& keep);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct member {
        endpoint_address address;
        std::unique_ptr<transport::peer_link> link;
    };

    asio::io_context& context_;
    transport::peer_identity self_;
    transport::link_options settings_;
    transport::frame_handler on_frame_;
    std::map<std::string, member> members_;
};

} // namespace kingcupseam::app
