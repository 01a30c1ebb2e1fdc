#pragma once

#include "transport/compression.h"

#include <kingcupseam/transport.h>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupseam::transport {

/// A TCP stream of frames with hello, heartbeats and silence detection, for peer_link and peer_server.
class stream_connection final : public connection {
public:
    struct handlers {
        std::function<void()> on_ready;                        ///< the peer's hello has arrived
        std::function<void(frame)> on_frame;                   ///< any frame except hello and heartbeat
        std::function<void(bool malformed)> on_closed;         ///< called once
        std::function<void(bool silent)> on_silence = nullptr; ///< only with a silence limit
    };

    enum class side : std::uint8_t { dialled, accepted };

    stream_connection(asio::ip::tcp::socket socket, peer_identity self, const link_options& settings,
                      side own_side);

    /// Sends the hello and starts to read.
    void start(handlers callbacks);
    void close();
    /// Starts or stops heartbeats and silence detection, for links without heartbeats when idle.
    void set_silence_detection(bool enabled);

    void send(frame outgoing) override;
    void after_written(std::function<void()> done) override;
    const peer_identity& peer() const override { return peer_; }
    bool open() const override { return open_; }

    /// Number of frames passed to send() so far, and of those passed to the socket. A frame beyond the latter
    /// cannot have reached the peer.
    std::uint64_t queued() const noexcept { return queued_; }
    std::uint64_t handed_to_socket() const noexcept { return handed_to_socket_; }
    std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }
    std::uint64_t bytes_received() const noexcept { return bytes_received_; }

private:
    std::shared_ptr<stream_connection> self() {
        return std::static_pointer_cast<stream_connection>(shared_from_this());
    }
    void read();
    void feed(std::string_view bytes);
    void on_read(const asio::error_code& ec, std::size_t n);
    void handle_frames();
    void handle_hello(const frame& received);
    void write();
    void on_written(const asio::error_code& ec, std::size_t n);
    void call_write_observers();
    void schedule_heartbeat();
    void on_heartbeat_due();
    void set_silent(bool value);
    void fail(bool malformed);

    asio::ip::tcp::socket socket_;
    asio::steady_timer heartbeat_timer_;
    peer_identity self_identity_;
    peer_identity peer_;
    link_options settings_;
    side side_;
    bool detects_silence_; ///< sends heartbeats, and closes if the peer is silent
    handlers callbacks_;
    frame_decoder decoder_;
    std::optional<deflater> deflater_; ///< set after this side's hello was sent
    std::optional<inflater> inflater_; ///< set after the peer's hello has arrived
    std::vector<char> input_;
    std::string pending_;
    bool pending_is_compressed_ = false; ///< contains a payload that is compressed already
    std::string writing_;
    time_point last_received_;
    time_point heartbeat_due_;
    bool silent_ = false;
    time_point last_sent_;
    std::uint64_t queued_ = 0;
    std::uint64_t handed_to_socket_ = 0;
    std::uint64_t written_ = 0; ///< frames
    /// By the number of frames that have to be written first.
    std::deque<std::pair<std::uint64_t, std::function<void()>>> write_observers_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool open_ = false;
    bool hello_received_ = false;
};

} // namespace kingcupseam::transport
