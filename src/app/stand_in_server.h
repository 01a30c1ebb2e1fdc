#pragma once

#include "app/http_server.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace kingcupseam::app {

class stand_in_server;

/// Damage that a simulated fault does to an answer.
enum class answer_damage : std::uint8_t {
    none,
    cut_off, ///< sends half of the body, then closes the connection
};

/// An accepted connection. It reads the next request after the answer to the one before.
class stand_in_connection {
public:
    virtual ~stand_in_connection() = default;
    /// Answers the request in progress. No effect once the connection is closed or silenced.
    virtual void answer(const http_response& response, answer_damage damage) = 0;
    /// Closes the connection with a reset (RST), without an answer to the request in progress.
    virtual void reset() = 0;
};
using stand_in_connection_ptr = std::shared_ptr<stand_in_connection>;

/// HTTP/1.1 server that can simulate faults of connections; http_server cannot.
class stand_in_server {
public:
    using handler = std::function<void(http_request, stand_in_connection_ptr)>;

    /// @param max_connections further connections are closed at once
    stand_in_server(asio::io_context& context, const endpoint_address& listen, std::size_t max_connections,
                    handler on_request);
    ~stand_in_server();
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    /// From now on, the open connections neither read nor write. They stay open and do not count against the
    /// limit.
    void silence_connections();
    /// Number of open connections, without the silenced ones.
    std::size_t connections() const;
    /// Number of connections that were closed because the limit was reached.
    std::uint64_t rejected_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::app
