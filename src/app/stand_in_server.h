#pragma once

#include "app/http_server.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace kingcupseam::app {

class stand_in_server;

/// How an answer leaves the stand-in.
enum class answer_damage : std::uint8_t {
    none,
    cut_off, ///< half of the body, then the connection closes
};

/// One accepted connection; handles one request after the other.
class stand_in_connection {
public:
    virtual ~stand_in_connection() = default;
    /// Answers the request in progress. No effect once the connection has closed or gone silent.
    virtual void answer(const http_response& response, answer_damage damage) = 0;
};
using stand_in_connection_ptr = std::shared_ptr<stand_in_connection>;

/// HTTP/1.1 server that can misbehave on the level of connections, which the product's server cannot.
class stand_in_server {
public:
    using handler = std::function<void(http_request, stand_in_connection_ptr)>;

    /// @param max_connections further connections are closed at once
    stand_in_server(asio::io_context& context, const endpoint_address& listen, std::size_t max_connections,
                    handler on_request);
    ~stand_in_server();
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    /// Existing connections neither read nor write from now on but stay open.
    void silence_connections();
    std::size_t connections() const;
    std::uint64_t rejected_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::app
