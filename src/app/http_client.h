#pragma once

#include "app/http_server.h"

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kingcupseam::app {

/// An outgoing request and the limits of its connection and answer.
struct http_call {
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    duration timeout = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Opens a new connection and closes it after the call, and does not count against
    /// max_connections_per_host.
    bool fresh_connection = false;
};

enum class http_failure : std::uint8_t {
    none,
    not_connected, ///< the connection was refused or not established in time; nothing was sent
    not_sent,      ///< ended before any byte of the request was written, e.g. while waiting for a connection
    timeout,       ///< no complete answer in time; the request may have been received
    broken,        ///< the connection failed after the request may have been received
    cut_off,       ///< the answer is incomplete, or it declares no length by which to tell
    cancelled,     ///< cancel() was called
};

struct http_result {
    http_failure failure = http_failure::none;
    http_response answer;   ///< set when failure is none; header names in lower case
    bool connected = false; ///< a connection was established or reused
};

/// Asynchronous HTTP/1.1 client: libcurl's multi interface driven by an io_context with one thread.
class http_client {
public:
    struct options {
        std::size_t max_connections_per_host = 64;          ///< further calls wait for one that ends
        std::size_t max_response_bytes = 8UL * 1024 * 1024; ///< headers and body
    };

    http_client(asio::io_context& context, options settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @param done called exactly once on the io_context's thread, or never if the client is destroyed first
    /// @throws invalid_input when the URL is not http:// or a header has a forbidden character
    /// @returns an id for cancel()
    std::uint64_t send(http_call call, std::function<void(http_result)> done);
    /// Ends a call with http_failure::cancelled and closes its connection. No effect on a call that has
    /// ended.
    void cancel(std::uint64_t id);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::app
