#include "transport/stream_connection.h"

#include "transport/socket_options.h"

#include <peer_types.h>

#include <algorithm>

namespace kingcupseam::transport {

namespace {

constexpr std::int32_t protocol_version = 1;

std::string hello_payload(const peer_identity& self, bool compressed) {
    wire::Hello hello;
    hello.instance = self.id.name;
    hello.incarnation = static_cast<std::int64_t>(self.id.incarnation);
    hello.data_center = self.data_center;
    hello.protocol_version = protocol_version;
    hello.compressed = compressed;
    return encode(hello);
}

bool is_compressed(frame_type type) {
    return type == frame_type::directory_update_compressed || type == frame_type::control_status_compressed;
}

} // namespace

stream_connection::stream_connection(asio::ip::tcp::socket socket, peer_identity self,
                                     const link_options& settings, side own_side)
    : socket_(std::move(socket)), heartbeat_timer_(socket_.get_executor()), self_identity_(std::move(self)),
      settings_(settings), side_(own_side), detects_silence_(settings.heartbeat_when_idle),
      input_(settings.read_buffer_bytes) {}

void stream_connection::start(handlers callbacks) {
    callbacks_ = std::move(callbacks);
    asio::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    open_ = true;
    last_received_ = steady_now();
    limit_unacknowledged(socket_, settings_.unacknowledged_limit);
    send({frame_type::hello, 0, hello_payload(self_identity_, settings_.compress)});
    if (detects_silence_) {
        schedule_heartbeat();
    }
    read();
}

void stream_connection::set_silence_detection(bool enabled) {
    if (enabled == detects_silence_ || !open_) {
        return;
    }
    detects_silence_ = enabled;
    if (detects_silence_) {
        last_received_ = steady_now();
        schedule_heartbeat();
    } else {
        asio::error_code ec;
        heartbeat_timer_.cancel(ec);
    }
}

void stream_connection::close() {
    fail(false);
}

void stream_connection::send(frame outgoing) {
    if (!open_ || outgoing.payload.size() > max_payload_bytes) {
        return;
    }
    if (pending_.size() + outgoing.payload.size() > settings_.max_unsent_bytes) {
        // The peer does not read. Without this limit the unsent frames would fill the memory of this
        // instance. Later, since the sender of a request must know its number before the request ends.
        asio::post(socket_.get_executor(), [it = self()] { it->fail(false); });
        return;
    }
    pending_is_compressed_ = pending_is_compressed_ || is_compressed(outgoing.type);
    pending_ += encode_frame(outgoing);
    ++queued_;
    if (writing_.empty()) {
        write();
    }
}

void stream_connection::after_written(std::function<void()> done) {
    if (written_ == queued_) {
        asio::post(socket_.get_executor(), std::move(done));
    } else if (open_) {
        write_observers_.emplace_back(queued_, std::move(done));
    }
}

void stream_connection::write() {
    // Frames queued during the last write are sent together in one system call.
    if (deflater_) {
        writing_ = pending_is_compressed_ ? deflater_->store(pending_) : deflater_->compress(pending_);
        pending_.clear();
        pending_is_compressed_ = false;
    } else {
        writing_.swap(pending_);
        if (settings_.compress) {
            deflater_.emplace(); // the hello itself is not compressed
        }
    }
    handed_to_socket_ = queued_;
    last_sent_ = steady_now();
    asio::async_write(socket_, asio::buffer(writing_),
                      [it = self()](const asio::error_code& ec, std::size_t n) { it->on_written(ec, n); });
}

void stream_connection::on_written(const asio::error_code& ec, std::size_t n) {
    bytes_sent_ += n;
    writing_.clear();
    if (ec) {
        fail(false);
        return;
    }
    written_ = handed_to_socket_;
    if (open_ && !pending_.empty()) {
        write();
    }
    call_write_observers();
}

void stream_connection::call_write_observers() {
    while (!write_observers_.empty() && write_observers_.front().first <= written_) {
        const auto done = std::move(write_observers_.front().second);
        write_observers_.pop_front();
        done();
    }
}

void stream_connection::read() {
    socket_.async_read_some(asio::buffer(input_),
                            [it = self()](const asio::error_code& ec, std::size_t n) { it->on_read(ec, n); });
}

void stream_connection::on_read(const asio::error_code& ec, std::size_t n) {
    if (ec || !open_) {
        fail(false);
        return;
    }
    bytes_received_ += n;
    last_received_ = steady_now();
    set_silent(false);
    try {
        feed(std::string_view(input_.data(), n));
        handle_frames();
    } catch (const malformed_frame&) {
        fail(true);
        return;
    } catch (...) {
        // Of the handler. Without the next read the connection would stay open and deaf.
        fail(false);
        throw;
    }
    if (open_) {
        read();
    }
}

void stream_connection::feed(std::string_view bytes) {
    if (inflater_) {
        decoder_.feed(inflater_->expand(bytes, settings_.max_unsent_bytes));
    } else {
        decoder_.feed(bytes);
    }
}

void stream_connection::handle_frames() {
    while (open_) {
        auto received = decoder_.next();
        if (!received) {
            return;
        }
        if (!hello_received_) {
            handle_hello(*received);
        } else if (received->type != frame_type::heartbeat) {
            callbacks_.on_frame(std::move(*received));
        } else if (!settings_.heartbeat_when_idle && side_ == side::accepted) {
            send({frame_type::heartbeat, 0, {}});
        }
    }
}

void stream_connection::handle_hello(const frame& received) {
    if (received.type != frame_type::hello) {
        throw malformed_frame("the first frame is not hello");
    }
    const auto hello = decode<wire::Hello>(received.payload);
    if (hello.protocol_version != protocol_version) {
        throw malformed_frame("protocol version " + std::to_string(hello.protocol_version) +
                              " is not supported");
    }
    peer_ = {{hello.instance, static_cast<std::uint64_t>(hello.incarnation)}, hello.data_center};
    hello_received_ = true;
    if (hello.compressed) {
        // Bytes after the hello in the same read belong to the compressed stream.
        inflater_.emplace();
        feed(decoder_.take_rest());
    }
    callbacks_.on_ready();
}

void stream_connection::schedule_heartbeat() {
    heartbeat_due_ = steady_now() + settings_.heartbeat_interval;
    heartbeat_timer_.expires_after(settings_.heartbeat_interval);
    heartbeat_timer_.async_wait([it = self()](const asio::error_code& ec) {
        if (!ec && it->open_) {
            it->on_heartbeat_due();
        }
    });
}

void stream_connection::on_heartbeat_due() {
    const time_point now = steady_now();
    // While this process did not run, it sent no heartbeats that the peer could have answered.
    const time_point due = heartbeat_due_;
    schedule_heartbeat(); // first: a step that fails must not end the detection of silence
    last_received_ += std::max(now - due, duration::zero());
    const duration silence = now - last_received_;
    if (silence > std::max(settings_.heartbeat_timeout, settings_.silence_limit)) {
        // An open connection can stop working while new ones work, so it is closed and dialled again. Its
        // requests fail now, so the peer must not get those that are still in transit.
        asio::error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        fail(false);
        return;
    }
    if (silence > settings_.heartbeat_timeout) {
        set_silent(true);
    }
    if (now - last_sent_ >= settings_.heartbeat_interval / 2) {
        send({frame_type::heartbeat, 0, {}});
    }
}

void stream_connection::set_silent(bool value) {
    if (silent_ != value) {
        silent_ = value;
        if (callbacks_.on_silence) {
            callbacks_.on_silence(value);
        }
    }
}

void stream_connection::fail(bool malformed) {
    if (!open_) {
        return;
    }
    open_ = false;
    asio::error_code ec;
    heartbeat_timer_.cancel(ec);
    socket_.close(ec);
    write_observers_.clear();
    // The callbacks hold a reference to the owner; releasing them breaks the cycle.
    const auto callbacks = std::exchange(callbacks_, {});
    if (callbacks.on_closed) {
        callbacks.on_closed(malformed);
    }
}

} // namespace kingcupseam::transport
