#pragma once

#include "app/http_server.h"

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupseam::router {

/// How the exchange of one request with an upstream ended.
enum class exchange_end : std::uint8_t {
    answered,
    not_sent,  ///< nothing was written to a connection: the upstream cannot have received it
    broken,    ///< the connection ended before the answer was complete
    malformed, ///< the bytes received are not an HTTP answer
    unmatched, ///< an answer without an id, which may be a second answer to an earlier request
    timeout,   ///< sent, but the answer was not complete in time
};

struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    app::http_response answer;    ///< when answered
    std::uint64_t connection = 0; ///< number of the connection that carried it
};

struct exchange {
    endpoint_address target;
    std::string bytes; ///< the serialized request, up to the body
    app::shared_bytes body;
    std::string id; ///< answers with another id are dropped; empty to accept any
    duration timeout{};
    bool new_connection = false;
    duration max_idle = std::chrono::seconds(60); ///< longest idle time of a connection that is reused
    /// Connections that carried an earlier attempt with the same id: a repeated answer to that attempt could
    /// not be told from the answer to this one.
    std::vector<std::uint64_t> excluded_connections;
};

struct upstream_client_options {
    std::string id_header; ///< header in which an upstream returns the request id
    duration connect_timeout = std::chrono::milliseconds(300);
    /// Idle connections are closed after this time, or earlier if the upstream sends a shorter Keep-Alive
    /// timeout.
    duration idle_timeout = std::chrono::seconds(8);
    /// Of the body of one answer, and of all unfinished answers together: beyond it, the longest one ends as
    /// malformed.
    std::size_t max_answer_bytes = 32 * 1024 * 1024;
};

class upstream_connection;

/// HTTP/1.1 client with a connection pool and one request at a time on a connection. It matches answers by
/// request id and reports whether a failed request may have arrived. Used on its io_context's thread.
class upstream_client {
public:
    using on_end = std::function<void(exchange_result)>;

    upstream_client(asio::io_context& context, upstream_client_options settings);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Calls @p done once, asynchronously, unless the exchange is cancelled. A timeout resets the connection,
    /// so that bytes not delivered by then never arrive.
    /// @returns an id for cancel()
    std::uint64_t send(exchange request, on_end done);
    /// Resets the connection of an exchange.
    void cancel(std::uint64_t id);
    /// Closes the idle connections to an address.
    void close_idle(const endpoint_address& target);
    std::uint64_t connections_opened() const noexcept { return opened_; }

private:
    friend class upstream_connection;
    using connection_ptr = std::shared_ptr<upstream_connection>;

    connection_ptr take_idle(const exchange& request);
    void on_idle(const connection_ptr& connection);
    void on_idle_closed(const connection_ptr& connection);
    void on_exchange_end(std::uint64_t id) { active_.erase(id); }
    /// Counts bytes that unfinished answers take up (or, negative, no longer do).
    void on_buffered(std::ptrdiff_t bytes);
    void schedule_sweep();
    void sweep();

    asio::io_context& context_;
    upstream_client_options settings_;
    asio::steady_timer sweep_timer_;
    bool sweeping_ = false;
    std::uint64_t next_id_ = 1;
    std::uint64_t opened_ = 0;
    std::ptrdiff_t buffered_bytes_ = 0; ///< of unfinished answers
    std::map<endpoint_address, std::vector<connection_ptr>> idle_;
    std::unordered_map<std::uint64_t, connection_ptr> active_;
};

} // namespace kingcupseam::router
