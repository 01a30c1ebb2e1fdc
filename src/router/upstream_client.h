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
    not_sent,  ///< no byte reached a connection: the upstream cannot have seen it
    broken,    ///< the connection ended without a complete answer
    malformed, ///< bytes that are no answer
    timeout,   ///< sent, and no complete answer in time
};

struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    app::http_response answer; ///< when answered
};

struct exchange {
    endpoint_address target;
    std::string bytes; ///< the request as it is sent
    std::string id;    ///< answers with another id are dropped; empty to take any
    duration timeout{};
    bool new_connection = false;
    duration max_idle = std::chrono::seconds(60); ///< longest time that a kept connection may have been idle
};

struct upstream_client_options {
    std::string id_header; ///< header in which an upstream repeats the id of the request
    duration connect_timeout = std::chrono::milliseconds(300);
    /// Kept connections are closed after this, unless the upstream names a shorter time.
    duration idle_timeout = std::chrono::seconds(8);
    std::size_t max_answer_bytes = 64 * 1024 * 1024;
};

class upstream_connection;

/// HTTP/1.1 client towards upstreams: one request at a time on a connection, kept connections, answers
/// matched by id, and a report whether a request can have arrived. Used on its io_context's thread.
class upstream_client {
public:
    using on_end = std::function<void(exchange_result)>;

    upstream_client(asio::io_context& context, upstream_client_options settings);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// @p done is called once, later, unless the exchange is cancelled. A timeout resets the connection, so
    /// what is not delivered by then never arrives.
    std::uint64_t send(exchange request, on_end done);
    /// Resets the connection of an exchange.
    void cancel(std::uint64_t id);
    /// Closes the kept connections to an address.
    void close_idle(const endpoint_address& target);
    std::uint64_t connections_opened() const noexcept { return opened_; }

private:
    friend class upstream_connection;
    using connection_ptr = std::shared_ptr<upstream_connection>;

    connection_ptr take_idle(const exchange& request);
    void on_idle(const connection_ptr& connection);
    void on_idle_closed(const connection_ptr& connection);
    void on_exchange_end(std::uint64_t id) { active_.erase(id); }
    void schedule_sweep();
    void sweep();

    asio::io_context& context_;
    upstream_client_options settings_;
    asio::steady_timer sweep_timer_;
    bool sweeping_ = false;
    std::uint64_t next_id_ = 1;
    std::uint64_t opened_ = 0;
    std::map<endpoint_address, std::vector<connection_ptr>> idle_;
    std::unordered_map<std::uint64_t, connection_ptr> active_;
};

} // namespace kingcupseam::router
