#pragma once

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupseam::transport {

enum class frame_type : std::uint16_t {
    hello = 1,
    heartbeat,
    forward_request,
    forward_response,
    cancel_request,
    ledger_record,
    ledger_record_reply,
    ledger_seal,
    ledger_seal_reply,
    consensus_message,
    membership_probe,
    announce,
    gate_lease_request,
    gate_lease_reply,
    table_update,
    table_request,
    state_request,
    state_reply,
    voter_status_request,
    voter_status_reply,
    command_request,
    command_reply,
    suspect_update,
    saturation,
    directory_subscribe,
    directory_update,
    control_status,
    join_request,
    load_report,
    control_order,
    control_order_reply,
    routed_request,
    routed_reply,
    routed_cancel,
    directory_update_compressed,
    routed_reply_part,
    directory_subscribed,
    control_status_compressed,
};
inline constexpr std::uint16_t last_frame_type =
    static_cast<std::uint16_t>(frame_type::control_status_compressed);

/// Of the type, the correlation number and the payload.
inline constexpr std::uint32_t max_frame_bytes = 8 * 1024 * 1024;
inline constexpr std::size_t frame_header_bytes = 14;
inline constexpr std::size_t max_payload_bytes = max_frame_bytes - 10;

struct frame {
    frame_type type = frame_type::heartbeat;
    std::uint64_t correlation = 0; ///< 0 for one-way frames
    std::string payload;
    auto operator<=>(const frame&) const = default;
};

/// A frame or payload that violates docs/protocol.md. The connection on which it arrived is closed.
class malformed_frame : public error {
public:
    using error::error;
};

/// @throws malformed_frame if the payload exceeds max_payload_bytes
std::string encode_frame(const frame& source);

/// Splits a byte stream into frames.
class frame_decoder {
public:
    void feed(std::string_view bytes);
    /// @returns the next frame; empty if none is complete
    /// @throws malformed_frame on an unknown type or a length out of range
    std::optional<frame> next();
    /// Removes and returns the bytes after the last frame that next() returned, to expand them if the peer
    /// compresses what follows its hello.
    std::string take_rest();

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

/// Encodes a generated Thrift struct in the compact protocol. Instantiated in codec.cpp for the structs that
/// frames carry.
template <class T>
std::string encode(const T& value);
/// @throws malformed_frame
template <class T>
T decode(std::string_view payload);

/// Compresses a payload for many peers at once, which costs less than the compression of each link.
std::string compress(std::string_view payload);
/// @throws malformed_frame if the payload is damaged or expands beyond max_frame_bytes
std::string expand(std::string_view payload);

struct link_options {
    duration heartbeat_interval = std::chrono::milliseconds(100);
    duration heartbeat_timeout = std::chrono::milliseconds(400);
    duration connect_timeout = std::chrono::milliseconds(300);
    duration redial_delay = std::chrono::milliseconds(50);
    /// Closes a connection on which the peer's TCP acknowledges no data for this long.
    duration unacknowledged_limit = std::chrono::seconds(3);
    std::size_t max_unsent_bytes = 32 * 1024 * 1024;
    std::size_t read_buffer_bytes = 16 * 1024;
    /// Compresses what this side sends. Its hello tells the peer so.
    bool compress = false;
    /// False for links that are mostly idle: the dialling side sends heartbeats and detects silence only
    /// while requests are pending, and the accepting side replies to each heartbeat.
    bool heartbeat_when_idle = true;
    /// After heartbeat_timeout the link is down, so that new requests go elsewhere. Its connection and its
    /// pending requests are kept for this long a silence, and the link is up again when the peer is heard.
    duration silence_limit{}; ///< zero: the connection is closed at heartbeat_timeout
};

/// Identity of a peer, from its hello frame.
struct peer_identity {
    instance_id id;
    std::string data_center;
    auto operator<=>(const peer_identity&) const = default;
};

/// Why a request got no reply.
enum class link_failure : std::uint8_t {
    not_sent, ///< no byte of it was written to the socket, so the peer cannot have received it
    lost,     ///< the link failed when the request may have been sent
    timeout,
};

struct reply {
    std::optional<frame> answer;
    link_failure failure = link_failure::not_sent; ///< valid without an answer
};

/// A connection, accepted or dialled. All members must be called on the thread of its io_context.
class connection : public std::enable_shared_from_this<connection> {
public:
    virtual ~connection() = default;
    /// Drops a frame whose payload exceeds max_payload_bytes: the peer would close the connection.
    virtual void send(frame outgoing) = 0;
    /// Calls @p done, later, once all frames sent so far are written to the socket, unless the connection
    /// closes first.
    virtual void after_written(std::function<void()> done) = 0;
    virtual const peer_identity& peer() const = 0;
    virtual bool open() const = 0;
};

/// Handles a frame from a peer. A reply is sent through the connection with the same correlation number.
using frame_handler = std::function<void(const std::shared_ptr<connection>&, frame)>;

/// Keeps a connection to one peer: dials it, sends heartbeats, and dials again if the connection closes or
/// the peer is silent.
class peer_link {
public:
    peer_link(asio::io_context& context, endpoint_address remote, peer_identity self, link_options settings,
              frame_handler on_frame);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends a request. @p done is called exactly once on the thread of the io_context, unless abandon() is
    /// called or the link is destroyed first.
    /// @returns the correlation number of the request; 0 if it is not sent, since the link is down or the
    /// payload exceeds max_payload_bytes
    std::uint64_t request(frame outgoing, duration timeout, std::function<void(reply)> done);
    /// Drops a pending request without calling its @p done.
    void abandon(std::uint64_t correlation);
    /// Ends a pending request as lost.
    void fail(std::uint64_t correlation);
    /// True while the request waits for its reply.
    bool awaits(std::uint64_t correlation) const;
    /// Sends a one-way frame, or drops it if there is no connection.
    void notify(frame outgoing);
    /// True while a connection is open, the peer's hello has arrived and the peer is not silent.
    bool up() const;
    /// True while a connection is kept although the peer is silent.
    bool silent() const;
    /// True while a request waits for its reply.
    bool busy() const;
    void on_state_change(std::function<void(bool up)> observer);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Accepts links of other instances.
class peer_server {
public:
    peer_server(asio::io_context& context, const endpoint_address& listen, peer_identity self,
                link_options settings, frame_handler on_frame);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    void stop();
    /// @param observer called when a connection has closed; the connection may only be compared, not used
    void on_disconnect(std::function<void(const std::shared_ptr<connection>&)> observer);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;
    std::uint64_t malformed_frames() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

inline constexpr std::size_t max_datagram_bytes = 1400; ///< fits into an Ethernet frame without fragmentation

/// Sends and receives UDP datagrams.
class datagram_channel {
public:
    using handler = std::function<void(const endpoint_address& from, std::string_view payload)>;

    /// @throws io_error if the address cannot be bound
    datagram_channel(asio::io_context& context, const endpoint_address& listen, handler on_datagram);
    ~datagram_channel();
    datagram_channel(const datagram_channel&) = delete;
    datagram_channel& operator=(const datagram_channel&) = delete;

    /// Drops payloads larger than max_datagram_bytes.
    void send(const endpoint_address& to, std::string_view payload);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::transport
