#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcupseam::app {

class body_gate;

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Immutable bytes with shared ownership: copies of a request do not copy its body.
class shared_bytes {
public:
    shared_bytes() = default;
    shared_bytes(std::string bytes)
        : held_(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes))) {}
    explicit shared_bytes(std::shared_ptr<const std::string> held) : held_(std::move(held)) {}

    const std::string& str() const noexcept {
        static const std::string none;
        return held_ ? *held_ : none;
    }
    std::size_t size() const noexcept { return held_ ? held_->size() : 0; }
    bool empty() const noexcept { return size() == 0; }
    bool operator==(const shared_bytes& other) const noexcept { return str() == other.str(); }

private:
    std::shared_ptr<const std::string> held_;
};

struct http_request {
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    shared_bytes body;
    std::uint64_t connection = 0; ///< id of the caller's connection at this server

    /// The target without its query.
    std::string path() const;
    /// Value of a query parameter, percent-decoded; empty when absent.
    std::string query(const std::string& name) const;
    /// Value of the first header of that name, ignoring case; empty when absent.
    std::string header(const std::string& name) const;
};

struct http_response {
    int status = 200;
    header_list headers;
    std::string body;
    bool close = false; ///< closes the connection after this answer

    /// Value of the first header of that name, ignoring case; empty when absent.
    std::string header(const std::string& name) const;
};

/// True when two header names are equal, ignoring case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Sends the answer to one request. Must be called exactly once, on the server's io_context; may be called
/// after the handler has returned.
using http_reply = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_reply)>;

struct http_server_options {
    std::string name; ///< what is served, for the log
    endpoint_address listen;
    /// Further connections wait in the kernel's queue until one of these has closed.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_header_bytes = 16 * 1024; ///< length of a single header's value
    /// Requests that are read from a connection before the first one is answered. With 1 the server reads
    /// nothing while a request is in progress, so it notices that the caller has closed only after the
    /// answer.
    std::size_t max_pipelined = 1;
    duration idle_timeout = std::chrono::seconds(120);
    /// Bounds the memory of long request bodies; without it, all are received at once.
    std::shared_ptr<body_gate> bodies = nullptr;
    /// Called on the io_context's thread when a connection has closed.
    std::function<void(std::uint64_t connection)> on_connection_closed = nullptr;
};

/// HTTP/1.1 server that runs RESTinio on a single-threaded io_context. Only the source file includes
/// RESTinio, because its headers compile slowly.
class http_server {
public:
    http_server(asio::io_context& context, const http_server_options& settings, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes the listening socket; requests in progress are still answered.
    void stop_accepting();
    /// True while new connections are accepted at once.
    bool accepting() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::app
