#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <netinet/tcp.h>

#include <chrono>

namespace kingcupseam::transport {

/// Closes a connection whose peer acknowledges no data for @p limit. By default the kernel retries for
/// minutes.
inline void limit_unacknowledged(asio::ip::tcp::socket& socket, duration limit) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit);
    asio::error_code ignored; // a socket that has already failed reports it on the next read
    socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(ms.count())),
        ignored);
}

/// Opens a socket to connect with. Its local port may be one at which a server of this machine is to listen;
/// without the option that server could not bind it. An error is reported by the connect.
inline void open_for_connect(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& remote) {
    asio::error_code ec;
    socket.open(remote.protocol(), ec);
    if (!ec) {
        socket.set_option(asio::socket_base::reuse_address(true), ec);
    }
}

} // namespace kingcupseam::transport
