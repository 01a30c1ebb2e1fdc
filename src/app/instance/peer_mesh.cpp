#include "app/instance/peer_mesh.h"

namespace kingcupseam::app {

peer_mesh::peer_mesh(asio::io_context& context, transport::peer_identity self,
                     transport::link_options settings, transport::frame_handler on_frame)
    : context_(context), self_(std::move(self)), settings_(settings), on_frame_(std::move(on_frame)) {}

transport::peer_link& peer_mesh::link_to(const std::string& name, const endpoint_address& address) {
    auto& it = members_[name];
    if (!it.link || it.address != address) {
        it.address = address;
        it.link = std::make_unique<transport::peer_link>(context_, address, self_, settings_, on_frame_);
    }
    return *it.link;
}

bool peer_mesh::up(const std::string& name) const {
    const auto it = members_.find(name);
    return it != members_.end() && it->second.link && it->second.link->up();
}

void peer_mesh::retain(const std::function<bool(const std::string&)>& keep) {
    std::erase_if(members_, [&](const auto& it) { return !keep(it.first); });
}

std::uint64_t peer_mesh::bytes_sent() const {
    std::uint64_t total = 0;
    for (const auto& [name, it] : members_) {
        total += it.link->bytes_sent();
    }
    return total;
}

std::uint64_t peer_mesh::bytes_received() const {
    std::uint64_t total = 0;
    for (const auto& [name, it] : members_) {
        total += it.link->bytes_received();
    }
    return total;
}

} // namespace kingcupseam::app
