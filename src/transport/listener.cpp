#include "transport/listener.h"

#include <kingcupseam/error.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace kingcupseam::transport {

namespace {

// Short against the time for which callers wait for a connection (1 s).
constexpr duration retry_interval = std::chrono::milliseconds(100);
constexpr int retries_per_log_line = 100; // a line each 10 s

/// True for an address that another socket holds or that the machine does not have yet, and for lack of
/// descriptors or memory.
bool may_become_free(const asio::error_code& ec) {
    constexpr std::array codes{EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return std::find(codes.begin(), codes.end(), ec.value()) != codes.end();
}

} // namespace

struct listener::state : std::enable_shared_from_this<listener::state> {
    state(asio::io_context& context, listener_options settings, accept_handler handler)
        : options(std::move(settings)), on_connection(std::move(handler)), acceptor(context),
          retry_timer(context) {}

    void listen();
    asio::error_code try_listen();
    void accept();
    void on_accept(const asio::error_code& ec, asio::ip::tcp::socket socket);
    void connection_closed();
    void retry_later(void (state::*step)());
    void log_failure(const char* step, const asio::error_code& ec);
    void close();

    listener_options options;
    accept_handler on_connection;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    std::size_t connections = 0;
    int failures = 0; ///< in a row
    bool accept_pending = false;
    bool retrying = false; ///< in a pause after a failure
    bool closed = false;
};

asio::error_code listener::state::try_listen() {
    asio::error_code ec;
    const auto ip = asio::ip::make_address(options.address.ip, ec);
    if (ec) {
        return ec;
    }
    const asio::ip::tcp::endpoint local(ip, options.address.port);
    acceptor.open(local.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(local, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        asio::error_code ignored; // a socket without connections
        acceptor.close(ignored);
    }
    return ec;
}

void listener::state::listen() {
    const asio::error_code ec = try_listen();
    if (ec) {
        if (!may_become_free(ec)) {
            throw io_error(options.server + " at " + to_string(options.address), "listen", ec.value());
        }
        retry_later(&state::listen);
        log_failure("listen", ec);
        return;
    }
    if (failures > 0) {
        spdlog::info("listening server={} address={} after_failures={}", options.server,
                     to_string(options.address), std::exchange(failures, 0));
    }
    accept();
}

void listener::state::accept() {
    if (accept_pending || closed || connections >= options.max_connections) {
        return;
    }
    acceptor.async_accept(
        [it = shared_from_this()](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            it->accept_pending = false;
            if (!it->closed) {
                it->on_accept(ec, std::move(socket));
            }
        });
    accept_pending = true;
}

void listener::state::on_accept(const asio::error_code& ec, asio::ip::tcp::socket socket) {
    if (ec) {
        retry_later(&state::accept);
        log_failure("accept", ec);
        return;
    }
    ++connections;
    accept(); // first: a connection that cannot be handled must not be the last one
    if (failures > 0) {
        spdlog::info("accepting again server={} address={} connections={} after_failures={}", options.server,
                     to_string(options.address), connections, std::exchange(failures, 0));
    }
    if (connections == options.max_connections) {
        spdlog::warn("no more connections accepted server={} address={} connections={}", options.server,
                     to_string(options.address), connections);
    }
    on_connection(std::move(socket));
}

void listener::state::connection_closed() {
    if (connections-- == options.max_connections) {
        spdlog::info("accepting again server={} address={} connections={}", options.server,
                     to_string(options.address), connections);
    }
    if (!retrying && acceptor.is_open()) {
        accept();
    }
}

void listener::state::retry_later(void (state::*step)()) {
    retry_timer.expires_after(retry_interval);
    retrying = true;
    retry_timer.async_wait([it = shared_from_this(), step](const asio::error_code& ec) {
        it->retrying = false;
        if (!ec && !it->closed) {
            (it.get()->*step)();
        }
    });
}

void listener::state::log_failure(const char* step, const asio::error_code& ec) {
    if (failures++ % retries_per_log_line == 0) {
        spdlog::warn("{} failed server={} address={} connections={} problem=\"{}\"", step, options.server,
                     to_string(options.address), connections, ec.message());
    }
}

void listener::state::close() {
    closed = true;
    asio::error_code ignored; // nothing depends on the closed socket
    acceptor.close(ignored);
    retry_timer.cancel();
}

listener::listener(asio::io_context& context, listener_options options, accept_handler on_connection)
    : state_(std::make_shared<state>(context, std::move(options), std::move(on_connection))) {
    state_->listen();
}

listener::~listener() {
    state_->close();
}

void listener::connection_closed() {
    state_->connection_closed();
}

bool listener::accepting() const {
    return state_->accept_pending && !state_->closed;
}

void listener::close() {
    state_->close();
}

} // namespace kingcupseam::transport
