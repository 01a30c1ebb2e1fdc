#include <kingcupseam/transport.h>

#include <array>

namespace kingcupseam::transport {

struct datagram_channel::state : std::enable_shared_from_this<datagram_channel::state> {
    state(asio::io_context& context, handler receiver) : socket(context), on_datagram(std::move(receiver)) {}

    void receive();
    void handle(std::size_t n);

    asio::ip::udp::socket socket;
    handler on_datagram;
    asio::ip::udp::endpoint sender;
    std::array<char, max_datagram_bytes> input{};
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    bool stopped = false;
};

void datagram_channel::state::receive() {
    socket.async_receive_from(asio::buffer(input), sender,
                              [it = shared_from_this()](const asio::error_code& ec, std::size_t n) {
                                  if (it->stopped) {
                                      return;
                                  }
                                  if (!ec) {
                                      it->bytes_received += n;
                                      it->handle(n);
                                  }
                                  it->receive();
                              });
}

void datagram_channel::state::handle(std::size_t n) {
    try {
        on_datagram({sender.address().to_string(), sender.port()}, std::string_view(input.data(), n));
    } catch (...) {
        receive();
        throw;
    }
}

datagram_channel::datagram_channel(asio::io_context& context, const endpoint_address& listen,
                                   handler on_datagram)
    : state_(std::make_shared<state>(context, std::move(on_datagram))) {
    const asio::ip::udp::endpoint local(asio::ip::make_address(listen.ip), listen.port);
    try {
        state_->socket.open(local.protocol());
        state_->socket.bind(local);
        state_->socket.non_blocking(true);
    } catch (const asio::system_error& e) {
        throw io_error(to_string(listen), "bind", e.code().value());
    }
    state_->receive();
}

datagram_channel::~datagram_channel() {
    state_->stopped = true;
    asio::error_code ec;
    state_->socket.close(ec);
}

void datagram_channel::send(const endpoint_address& to, std::string_view payload) {
    asio::error_code ec;
    const auto ip = asio::ip::make_address(to.ip, ec);
    if (ec || payload.size() > max_datagram_bytes) {
        return;
    }
    // A datagram that cannot be sent now counts as lost; the protocol that uses the channel resends it.
    state_->socket.send_to(asio::buffer(payload.data(), payload.size()), {ip, to.port}, 0, ec);
    state_->bytes_sent += ec ? 0 : payload.size();
}

std::uint64_t datagram_channel::bytes_sent() const {
    return state_->bytes_sent;
}

std::uint64_t datagram_channel::bytes_received() const {
    return state_->bytes_received;
}

} // namespace kingcupseam::transport
