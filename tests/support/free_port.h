#pragma once

#include <asio.hpp>

#include <cstdint>

namespace kingcupseam::test {

/// A TCP port of 127.0.0.1 that is unused at the time of the call; another process may take it afterwards.
inline std::uint16_t free_port() {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace kingcupseam::test
