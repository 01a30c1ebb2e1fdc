#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace kingcupseam::transport {

struct listener_options {
    std::string server; ///< what is served, for the log
    endpoint_address address;
    /// Further connections wait in the kernel's queue until one of these has closed.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

/// Accepts TCP connections at one address. An address that is taken is tried again until it is free, and a
/// connection that cannot be accepted, for example for want of descriptors, is tried again after a pause.
/// All members must be called on the thread of the io_context.
class listener {
public:
    using accept_handler = std::function<void(asio::ip::tcp::socket)>;

    /// @throws io_error if the address can never be listened at
    listener(asio::io_context& context, listener_options options, accept_handler on_connection);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Must be called once for each connection that has closed.
    void connection_closed();
    /// True while new connections are accepted at once.
    bool accepting() const;
    /// Closes the listening socket.
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::transport
