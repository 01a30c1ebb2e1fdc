#include "transport/socket_options.h"
#include "transport/stream_connection.h"

#include <exception>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcupseam::transport {

namespace {

struct ended_request {
    std::function<void(reply)> done;
    link_failure failure = link_failure::lost;
};

/// Ends all requests, also when the handler of one throws; then throws its exception.
void end_all(const std::vector<ended_request>& requests) {
    std::exception_ptr first;
    for (const auto& it : requests) {
        try {
            it.done({std::nullopt, it.failure});
        } catch (...) {
            first = first ? first : std::current_exception();
        }
    }
    if (first) {
        std::rethrow_exception(first);
    }
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    struct pending_request {
        std::function<void(reply)> done;
        std::uint64_t position = 0; ///< of its frame among those sent on the connection
        std::multimap<time_point, std::uint64_t>::iterator deadline;
    };

    state(asio::io_context& io, endpoint_address remote_address, peer_identity self_identity,
          link_options link_settings, frame_handler handler)
        : context(io), remote(std::move(remote_address)), self(std::move(self_identity)),
          settings(link_settings), on_frame(std::move(handler)), redial_timer(context),
          deadline_timer(context) {}

    void dial();
    void on_connected(const asio::error_code& ec, asio::ip::tcp::socket socket);
    void redial_later();
    void on_closed();
    void on_reply(frame received);
    std::uint64_t request(frame outgoing, duration timeout, std::function<void(reply)> done);
    void abandon(std::uint64_t correlation);
    /// Ends a pending request. Does nothing if there is none of this number.
    void end(std::uint64_t correlation, reply result);
    void update_silence_detection();
    /// Fails all pending requests. Those whose frames were not among the first @p handed_to_socket of the
    /// connection were not sent.
    void fail_pending(std::uint64_t handed_to_socket);
    void arm_deadline();
    void expire(time_point now);
    void stop();
    void set_is_up(bool value);

    asio::io_context& context;
    endpoint_address remote;
    peer_identity self;
    link_options settings;
    frame_handler on_frame;
    asio::steady_timer redial_timer;
    asio::steady_timer deadline_timer;
    std::shared_ptr<stream_connection> current;
    std::unordered_map<std::uint64_t, pending_request> pending;
    std::multimap<time_point, std::uint64_t> deadlines;
    std::function<void(bool)> on_state_change;
    std::uint64_t next_correlation = 1;
    std::uint64_t closed_bytes_sent = 0;
    std::uint64_t closed_bytes_received = 0;
    bool ready = false; ///< the peer's hello has arrived on the current connection
    bool is_up = false;
    bool stopped = false;
};

void peer_link::state::dial() {
    if (stopped) {
        return;
    }
    asio::error_code invalid;
    const asio::ip::tcp::endpoint target(asio::ip::make_address(remote.ip, invalid), remote.port);
    if (invalid) {
        return; // no later attempt would succeed
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(context);
    auto timer = std::make_shared<asio::steady_timer>(context, settings.connect_timeout);
    timer->async_wait([socket](const asio::error_code& ec) {
        if (!ec) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    });
    open_for_connect(*socket, target);
    socket->async_connect(target, [it = shared_from_this(), socket, timer](const asio::error_code& ec) {
        timer->cancel();
        it->on_connected(ec, std::move(*socket));
    });
}

void peer_link::state::on_connected(const asio::error_code& ec, asio::ip::tcp::socket socket) {
    if (stopped) {
        return;
    }
    if (ec || !socket.is_open()) {
        redial_later();
        return;
    }
    current = std::make_shared<stream_connection>(std::move(socket), self, settings,
                                                  stream_connection::side::dialled);
    current->start({[it = shared_from_this()] {
                        it->ready = true;
                        it->set_is_up(true);
                    },
                    [it = shared_from_this()](frame received) { it->on_reply(std::move(received)); },
                    [it = shared_from_this()](bool) { it->on_closed(); },
                    [it = shared_from_this()](bool silent) { it->set_is_up(it->ready && !silent); }});
}

void peer_link::state::redial_later() {
    redial_timer.expires_after(settings.redial_delay);
    redial_timer.async_wait([it = shared_from_this()](const asio::error_code& ec) {
        if (!ec) {
            it->dial();
        }
    });
}

void peer_link::state::on_closed() {
    if (!current) {
        return;
    }
    const auto closed = std::exchange(current, nullptr);
    closed_bytes_sent += closed->bytes_sent();
    closed_bytes_received += closed->bytes_received();
    ready = false;
    if (!stopped) {
        redial_later();
    }
    try {
        set_is_up(false);
    } catch (...) {
        fail_pending(closed->handed_to_socket());
        throw;
    }
    fail_pending(closed->handed_to_socket());
}

void peer_link::state::set_is_up(bool value) {
    if (is_up != value) {
        is_up = value;
        update_silence_detection();
        if (on_state_change) {
            on_state_change(value);
        }
    }
}

void peer_link::state::on_reply(frame received) {
    if (received.correlation == 0) {
        if (on_frame && current) {
            on_frame(current, std::move(received));
        }
        return;
    }
    const std::uint64_t correlation = received.correlation;
    end(correlation, {std::move(received), link_failure::lost});
}

void peer_link::state::end(std::uint64_t correlation, reply result) {
    const auto it = pending.find(correlation);
    if (it == pending.end()) {
        return; // has timed out or was abandoned
    }
    const auto done = std::move(it->second.done);
    deadlines.erase(it->second.deadline);
    pending.erase(it);
    update_silence_detection();
    done(std::move(result));
}

std::uint64_t peer_link::state::request(frame outgoing, duration timeout, std::function<void(reply)> done) {
    if (!is_up || !current || outgoing.payload.size() > max_payload_bytes) {
        asio::post(context, [done = std::move(done)] { done({std::nullopt, link_failure::not_sent}); });
        return 0;
    }
    const std::uint64_t correlation = next_correlation++;
    outgoing.correlation = correlation;
    const auto deadline = deadlines.emplace(steady_now() + timeout, correlation);
    pending.emplace(correlation, pending_request{std::move(done), current->queued() + 1, deadline});
    const bool earliest = deadline == deadlines.begin();
    update_silence_detection();
    current->send(std::move(outgoing));
    if (earliest) {
        arm_deadline();
    }
    return correlation;
}

void peer_link::state::abandon(std::uint64_t correlation) {
    const auto it = pending.find(correlation);
    if (it != pending.end()) {
        deadlines.erase(it->second.deadline);
        pending.erase(it);
        update_silence_detection();
    }
}

void peer_link::state::update_silence_detection() {
    if (!settings.heartbeat_when_idle && current) {
        current->set_silence_detection(!pending.empty() || (ready && !is_up));
    }
}

void peer_link::state::fail_pending(std::uint64_t handed_to_socket) {
    deadlines.clear();
    std::vector<ended_request> failed;
    for (auto& [correlation, it] : std::exchange(pending, {})) {
        failed.push_back({std::move(it.done),
                          it.position > handed_to_socket ? link_failure::not_sent : link_failure::lost});
    }
    end_all(failed);
}

void peer_link::state::arm_deadline() {
    if (deadlines.empty()) {
        return;
    }
    deadline_timer.expires_after(deadlines.begin()->first - steady_now());
    deadline_timer.async_wait([it = shared_from_this()](const asio::error_code& ec) {
        if (!ec) {
            it->expire(steady_now());
        }
    });
}

void peer_link::state::expire(time_point now) {
    std::vector<ended_request> expired;
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const auto it = pending.find(deadlines.begin()->second);
        deadlines.erase(deadlines.begin());
        expired.push_back({std::move(it->second.done), link_failure::timeout});
        pending.erase(it);
    }
    update_silence_detection();
    arm_deadline();
    end_all(expired);
}

void peer_link::state::stop() {
    stopped = true;
    on_state_change = nullptr;
    on_frame = nullptr;
    asio::error_code ec;
    redial_timer.cancel(ec);
    deadline_timer.cancel(ec);
    pending.clear();
    deadlines.clear();
    if (current) {
        const auto closing = std::exchange(current, nullptr);
        closing->close();
    }
}

peer_link::peer_link(asio::io_context& context, endpoint_address remote, peer_identity self,
                     link_options settings, frame_handler on_frame)
    : state_(std::make_shared<state>(context, std::move(remote), std::move(self), settings,
                                     std::move(on_frame))) {
    asio::post(context, [it = state_] { it->dial(); });
}

peer_link::~peer_link() {
    state_->stop();
}

std::uint64_t peer_link::request(frame outgoing, duration timeout, std::function<void(reply)> done) {
    return state_->request(std::move(outgoing), timeout, std::move(done));
}

void peer_link::abandon(std::uint64_t correlation) {
    state_->abandon(correlation);
}

void peer_link::fail(std::uint64_t correlation) {
    state_->end(correlation, {std::nullopt, link_failure::lost});
}

bool peer_link::awaits(std::uint64_t correlation) const {
    return state_->pending.contains(correlation);
}

void peer_link::notify(frame outgoing) {
    if (state_->ready && state_->current) {
        outgoing.correlation = 0;
        state_->current->send(std::move(outgoing));
    }
}

bool peer_link::up() const {
    return state_->is_up;
}

bool peer_link::silent() const {
    return state_->ready && !state_->is_up;
}

bool peer_link::busy() const {
    return !state_->pending.empty();
}

void peer_link::on_state_change(std::function<void(bool up)> observer) {
    state_->on_state_change = std::move(observer);
}

std::uint64_t peer_link::bytes_sent() const {
    return state_->closed_bytes_sent + (state_->current ? state_->current->bytes_sent() : 0);
}

std::uint64_t peer_link::bytes_received() const {
    return state_->closed_bytes_received + (state_->current ? state_->current->bytes_received() : 0);
}

} // namespace kingcupseam::transport
