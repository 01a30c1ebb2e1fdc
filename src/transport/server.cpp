#include "transport/stream_connection.h"

#include <set>
#include <utility>

namespace kingcupseam::transport {

struct peer_server::state : std::enable_shared_from_this<peer_server::state> {
    state(asio::io_context& context, peer_identity self_identity, link_options link_settings,
          frame_handler handler)
        : acceptor(context), self(std::move(self_identity)), settings(link_settings),
          on_frame(std::move(handler)) {}

    void listen(const endpoint_address& address);
    void accept();
    void add(asio::ip::tcp::socket socket);
    void stop();

    asio::ip::tcp::acceptor acceptor;
    peer_identity self;
    link_options settings;
    frame_handler on_frame;
    std::function<void(const std::shared_ptr<connection>&)> on_disconnect;
    std::set<std::shared_ptr<stream_connection>> connections;
    std::uint64_t closed_bytes_sent = 0;
    std::uint64_t closed_bytes_received = 0;
    std::uint64_t malformed = 0;
    bool stopped = false;
};

void peer_server::state::listen(const endpoint_address& address) {
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address.ip), address.port);
    try {
        acceptor.open(local.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen();
    } catch (const asio::system_error& e) {
        throw io_error(to_string(address), "listen", e.code().value());
    }
}

void peer_server::state::accept() {
    acceptor.async_accept(
        [it = shared_from_this()](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            if (it->stopped) {
                return;
            }
            it->accept(); // first: a connection that cannot be added must not be the last one
            if (!ec) {
                it->add(std::move(socket));
            }
        });
}

void peer_server::state::add(asio::ip::tcp::socket socket) {
    const auto added = std::make_shared<stream_connection>(std::move(socket), self, settings,
                                                           stream_connection::side::accepted);
    connections.insert(added);
    const std::weak_ptr<stream_connection> weak = added;
    added->start({[] {},
                  [it = shared_from_this(), weak](frame received) {
                      if (const auto from = weak.lock()) {
                          it->on_frame(from, std::move(received));
                      }
                  },
                  [it = shared_from_this(), weak](bool was_malformed) {
                      it->malformed += was_malformed ? 1 : 0;
                      if (const auto closed = weak.lock()) {
                          it->closed_bytes_sent += closed->bytes_sent();
                          it->closed_bytes_received += closed->bytes_received();
                          it->connections.erase(closed);
                          if (it->on_disconnect && !it->stopped) {
                              it->on_disconnect(closed);
                          }
                      }
                  }});
}

void peer_server::state::stop() {
    stopped = true;
    asio::error_code ec;
    acceptor.close(ec);
    const auto closing = std::exchange(connections, {});
    for (const auto& it : closing) {
        it->close();
    }
}

peer_server::peer_server(asio::io_context& context, const endpoint_address& listen, peer_identity self,
                         link_options settings, frame_handler on_frame)
    : state_(std::make_shared<state>(context, std::move(self), settings, std::move(on_frame))) {
    state_->listen(listen);
    state_->accept();
}

peer_server::~peer_server() {
    state_->stop();
}

void peer_server::stop() {
    state_->stop();
}

void peer_server::on_disconnect(std::function<void(const std::shared_ptr<connection>&)> observer) {
    state_->on_disconnect = std::move(observer);
}

std::uint64_t peer_server::bytes_sent() const {
    std::uint64_t total = state_->closed_bytes_sent;
    for (const auto& it : state_->connections) {
        total += it->bytes_sent();
    }
    return total;
}

std::uint64_t peer_server::bytes_received() const {
    std::uint64_t total = state_->closed_bytes_received;
    for (const auto& it : state_->connections) {
        total += it->bytes_received();
    }
    return total;
}

std::uint64_t peer_server::malformed_frames() const {
    return state_->malformed;
}

} // namespace kingcupseam::transport
