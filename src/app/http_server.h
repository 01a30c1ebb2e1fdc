#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcupseam::app {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    std::string body;
    std::uint64_t connection = 0; ///< number of the caller's connection at this server

    /// Path without the query.
    std::string path() const;
    /// Value of a query parameter, percent-decoded; empty when absent.
    std::string query(const std::string& name) const;
    /// Value of a header, compared without case; empty when absent.
    std::string header(const std::string& name) const;
};

struct http_response {
    int status = 200;
    header_list headers;
    std::string body;
    bool close = false; ///< closes the connection after this answer

    /// Value of a header, compared without case; empty when absent.
    std::string header(const std::string& name) const;
};

/// True when two header names are equal but for case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Sends the answer of one request; may be called later, from the server's io_context, exactly once.
using http_reply = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_reply)>;

struct http_server_options {
    endpoint_address listen;
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_header_bytes = 16 * 1024; ///< of one field
    /// Requests that are read from a connection before the first one is answered. With 1 the close of a
    /// connection shows only after the answer.
    std::size_t max_pipelined = 1;
    duration idle_timeout = std::chrono::seconds(120);
    /// Called on the io_context's thread when a connection has ended.
    std::function<void(std::uint64_t connection)> on_connection_closed = nullptr;
};

/// HTTP/1.1 server on RESTinio that runs on a single-threaded io_context. RESTinio stays in one source file,
/// since a file that includes it compiles slowly.
class http_server {
public:
    http_server(asio::io_context& context, const http_server_options& settings, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes the listener; answers of requests in progress are still sent.
    void stop_accepting();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace kingcupseam::app
