#include "app/http_client.h"

#include "app/http_transfer.h"

#include <kingcupseam/error.h>

#include <sys/socket.h>

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace kingcupseam::app {

namespace {

// By default libcurl closes idle connections beyond 4 per running call.
constexpr long max_idle_connections = 4096;

void initialise_curl() {
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK) {
        throw error("libcurl cannot be initialised");
    }
}

struct multi_deleter {
    void operator()(CURLM* handle) const noexcept { curl_multi_cleanup(handle); }
};

/// A socket that is watched for libcurl. A pending wait holds a reference, so that its handler sees `closed`
/// even when it runs after the socket was closed.
struct watched_socket {
    watched_socket(asio::io_context& context, curl_socket_t fd) : descriptor(context, fd) {}
    asio::posix::stream_descriptor descriptor;
    int requested_events = CURL_POLL_NONE; ///< as passed by libcurl
    bool read_wait_pending = false;
    bool write_wait_pending = false;
    bool closed = false;
    bool opened_by_libcurl = false; ///< and closed by it, not by this client
};

} // namespace

struct http_client::state : socket_owner, std::enable_shared_from_this<http_client::state> {
    struct active_call {
        std::unique_ptr<http_transfer> transfer;
        std::unique_ptr<asio::steady_timer> deadline;
        bool running = false; ///< added to the multi handle; otherwise queued
    };
    struct host_calls {
        std::size_t running = 0; ///< not counting calls with fresh_connection
        std::deque<std::uint64_t> queued;
    };

    state(asio::io_context& io, options values) : context(io), settings(values), timer(io) {
        initialise_curl();
        multi.reset(curl_multi_init());
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETFUNCTION, &state::on_socket);
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERFUNCTION, &state::on_timer);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS, max_idle_connections);
        curl_multi_setopt(multi.get(), CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    }

    curl_socket_t open_socket(const curl_sockaddr& address) override;
    void close_socket(curl_socket_t fd) override;
    void watch(curl_socket_t fd, int what);
    void unwatch(curl_socket_t fd);
    /// Starts a wait for each requested event for which none is pending.
    void wait_for_events(const std::shared_ptr<watched_socket>& socket, curl_socket_t fd);
    void on_ready(const std::shared_ptr<watched_socket>& socket, curl_socket_t fd, int flag);
    void set_timer(long timeout_ms);
    void run_socket_action(curl_socket_t fd, int flags);
    void collect_finished();

    void start(std::uint64_t id);
    /// Starts queued calls of a host as far as its limit of connections allows.
    void start_queued(const std::string& host);
    void on_deadline(std::uint64_t id);
    /// Removes a call from libcurl and from all tables.
    std::unique_ptr<http_transfer> remove(std::uint64_t id);
    void complete(std::uint64_t id, http_result result);
    void stop();

    static int on_socket(CURL* easy, curl_socket_t fd, int what, void* self, void* socket_data);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    asio::io_context& context;
    options settings;
    asio::steady_timer timer;
    std::unique_ptr<CURLM, multi_deleter> multi;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets;
    std::unordered_map<std::uint64_t, active_call> calls;
    std::map<std::string, host_calls> hosts;
    std::uint64_t last_id = 0;
    bool stopped = false;
};

curl_socket_t http_client::state::open_socket(const curl_sockaddr& address) {
    const int fd =
        ::socket(address.family, address.socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, address.protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    sockets[fd] = std::make_shared<watched_socket>(context, fd);
    return fd;
}

void http_client::state::close_socket(curl_socket_t fd) {
    const auto it = sockets.find(fd);
    if (it != sockets.end()) {
        it->second->closed = true;
        asio::error_code ec;
        it->second->descriptor.close(ec);
        sockets.erase(it);
    }
}

void http_client::state::watch(curl_socket_t fd, int what) {
    auto& socket = sockets[fd];
    if (!socket) {
        socket = std::make_shared<watched_socket>(context, fd);
        socket->opened_by_libcurl = true;
    }
    socket->requested_events = what;
    wait_for_events(socket, fd);
}

void http_client::state::unwatch(curl_socket_t fd) {
    const auto it = sockets.find(fd);
    if (it == sockets.end()) {
        return;
    }
    it->second->requested_events = CURL_POLL_NONE;
    if (it->second->opened_by_libcurl) {
        it->second->closed = true;
        it->second->descriptor.release();
        sockets.erase(it);
    }
}

void http_client::state::wait_for_events(const std::shared_ptr<watched_socket>& socket, curl_socket_t fd) {
    using wait_type = asio::posix::stream_descriptor::wait_type;
    if ((socket->requested_events & CURL_POLL_IN) != 0 && !socket->read_wait_pending) {
        socket->read_wait_pending = true;
        socket->descriptor.async_wait(wait_type::wait_read,
                                      [self = shared_from_this(), socket, fd](auto /*ec*/) {
                                          socket->read_wait_pending = false;
                                          self->on_ready(socket, fd, CURL_CSELECT_IN);
                                      });
    }
    if ((socket->requested_events & CURL_POLL_OUT) != 0 && !socket->write_wait_pending) {
        socket->write_wait_pending = true;
        socket->descriptor.async_wait(wait_type::wait_write,
                                      [self = shared_from_this(), socket, fd](auto /*ec*/) {
                                          socket->write_wait_pending = false;
                                          self->on_ready(socket, fd, CURL_CSELECT_OUT);
                                      });
    }
}

void http_client::state::on_ready(const std::shared_ptr<watched_socket>& socket, curl_socket_t fd, int flag) {
    if (stopped || socket->closed) {
        return;
    }
    const int event = flag == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((socket->requested_events & event) != 0) {
        run_socket_action(fd, flag);
    }
    if (!stopped && !socket->closed) {
        wait_for_events(socket, fd);
    }
}

int http_client::state::on_socket(CURL* /*easy*/, curl_socket_t fd, int what, void* self,
                                  void* /*socket_data*/) {
    auto& it = *static_cast<state*>(self);
    if (it.stopped) {
        return 0;
    }
    if (what == CURL_POLL_REMOVE) {
        it.unwatch(fd);
    } else {
        it.watch(fd, what);
    }
    return 0;
}

int http_client::state::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& it = *static_cast<state*>(self);
    if (!it.stopped) {
        it.set_timer(timeout_ms);
    }
    return 0;
}

void http_client::state::set_timer(long timeout_ms) {
    if (timeout_ms < 0) {
        timer.cancel();
        return;
    }
    timer.expires_after(std::chrono::milliseconds(timeout_ms));
    timer.async_wait([self = shared_from_this()](const asio::error_code& ec) {
        if (!ec && !self->stopped) {
            self->run_socket_action(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void http_client::state::run_socket_action(curl_socket_t fd, int flags) {
    int running = 0;
    curl_multi_socket_action(multi.get(), fd, flags, &running);
    collect_finished();
}

void http_client::state::collect_finished() {
    int left = 0;
    while (!stopped) {
        const CURLMsg* message = curl_multi_info_read(multi.get(), &left);
        if (message == nullptr) {
            return;
        }
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char* data = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
        auto* transfer = static_cast<http_transfer*>(static_cast<void*>(data));
        complete(transfer->id(), transfer->finish(message->data.result));
    }
}

void http_client::state::start(std::uint64_t id) {
    auto& call = calls.at(id);
    if (!call.transfer->call().fresh_connection) {
        ++hosts[call.transfer->host()].running;
    }
    call.running = true;
    // Not one that was used before: libcurl keeps a pointer to its last header, which is no longer there, and
    // follows it when the next answer begins with a folded line.
    call.transfer->prepare(curl_easy_ptr(curl_easy_init()), *this);
    curl_multi_add_handle(multi.get(), call.transfer->handle());
}

void http_client::state::start_queued(const std::string& host) {
    const auto it = hosts.find(host);
    if (it == hosts.end()) {
        return;
    }
    auto& entry = it->second;
    while (!entry.queued.empty() && entry.running < settings.max_connections_per_host) {
        const auto id = entry.queued.front();
        entry.queued.pop_front();
        start(id);
    }
    if (entry.running == 0 && entry.queued.empty()) {
        hosts.erase(it);
    }
}

void http_client::state::on_deadline(std::uint64_t id) {
    const auto it = calls.find(id);
    if (!stopped && it != calls.end()) {
        complete(id, it->second.transfer->abandon(http_failure::timeout));
    }
}

std::unique_ptr<http_transfer> http_client::state::remove(std::uint64_t id) {
    auto node = calls.extract(id);
    auto& call = node.mapped();
    auto& entry = hosts[call.transfer->host()];
    if (call.running) {
        curl_multi_remove_handle(multi.get(), call.transfer->handle());
        entry.running -= call.transfer->call().fresh_connection ? 0 : 1;
    } else {
        std::erase(entry.queued, id);
    }
    return std::move(call.transfer);
}

void http_client::state::complete(std::uint64_t id, http_result result) {
    const auto self = shared_from_this(); // the callback may destroy the client
    const auto transfer = remove(id);
    start_queued(transfer->host());
    transfer->release_callback()(std::move(result));
}

void http_client::state::stop() {
    stopped = true;
    timer.cancel();
    for (auto& [id, call] : calls) {
        if (call.running) {
            curl_multi_remove_handle(multi.get(), call.transfer->handle());
        }
    }
    calls.clear();
    multi.reset(); // closes the pooled connections through close_socket()
    sockets.clear();
}

http_client::http_client(asio::io_context& context, options settings)
    : state_(std::make_shared<state>(context, settings)) {}

http_client::~http_client() {
    state_->stop();
}

std::uint64_t http_client::send(http_call call, std::function<void(http_result)> done) {
    auto& it = *state_;
    const auto id = ++it.last_id;
    const auto timeout = call.timeout;
    auto transfer =
        std::make_unique<http_transfer>(id, std::move(call), std::move(done), it.settings.max_response_bytes);
    const auto host = transfer->host();
    const bool limited = !transfer->call().fresh_connection; // a probe must not queue behind unanswered calls
    auto deadline = std::make_unique<asio::steady_timer>(it.context, timeout);
    deadline->async_wait([weak = std::weak_ptr(state_), id](const asio::error_code& ec) {
        if (const auto self = weak.lock(); self && !ec) {
            self->on_deadline(id);
        }
    });
    it.calls[id] = {std::move(transfer), std::move(deadline), false};
    if (limited && it.hosts[host].running >= it.settings.max_connections_per_host) {
        it.hosts[host].queued.push_back(id);
    } else {
        it.start(id);
    }
    return id;
}

void http_client::cancel(std::uint64_t id) {
    const auto it = state_->calls.find(id);
    if (it == state_->calls.end()) {
        return;
    }
    auto result = it->second.transfer->abandon(http_failure::cancelled);
    const auto transfer = state_->remove(id);
    state_->start_queued(transfer->host());
    asio::post(state_->context, [done = transfer->release_callback(), result = std::move(result)]() mutable {
        done(std::move(result));
    });
}

} // namespace kingcupseam::app
