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

} // namespace kingcupseam::transport
