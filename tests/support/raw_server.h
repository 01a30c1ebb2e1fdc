#pragma once

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::test {

/// TCP server on loopback whose connections are scripted by a test, to simulate faults of a peer.
class raw_server {
public:
    struct connection : std::enable_shared_from_this<connection> {
        explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

        /// Reads one request with its body and passes it to @p handler, which isn't called when the client
        /// closes.
        void read_request(std::function<void(std::string)> handler) {
            auto self = shared_from_this();
            asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                   [self, handler = std::move(handler)](auto ec, std::size_t head) {
                                       if (!ec) {
                                           self->read_body(head, handler);
                                       }
                                   });
        }
        /// Reads up to the end of a head, which @p handler may answer while the body is still being sent.
        void read_head(std::function<void(std::string)> handler) {
            asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n",
                [self = shared_from_this(), handler = std::move(handler)](auto ec, std::size_t n) {
                    if (!ec) {
                        handler(self->received.substr(0, n));
                    }
                });
        }
        void write(const std::string& text) {
            asio::error_code ec;
            asio::write(socket, asio::buffer(text), ec);
        }
        /// Writes without blocking. For texts that exceed the socket's buffer, because client and server
        /// share a thread.
        void write_async(const std::string& text) {
            auto copy = std::make_shared<std::string>(text);
            asio::async_write(socket, asio::buffer(*copy), [copy, self = shared_from_this()](auto, auto) {});
        }
        void close() {
            asio::error_code ec;
            socket.close(ec);
        }
        /// Closes the direction towards the client with FIN; the client can go on sending.
        void end_answers() {
            asio::error_code ec;
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        }
        /// Closes with RST, so the client's next write fails.
        void reset() {
            asio::error_code ec;
            socket.set_option(asio::socket_base::linger(true, 0), ec);
            socket.close(ec);
        }

        asio::ip::tcp::socket socket;
        std::string received;

    private:
        void read_body(std::size_t head, const std::function<void(std::string)>& handler) {
            const auto at = received.find("Content-Length: ");
            const std::size_t length = at < head ? std::stoul(received.substr(at + 16)) : 0;
            const std::size_t missing = head + length > received.size() ? head + length - received.size() : 0;
            auto self = shared_from_this();
            asio::async_read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(missing),
                             [self, handler, total = head + length](auto ec, std::size_t) {
                                 if (!ec) {
                                     std::string request = self->received.substr(0, total);
                                     self->received.erase(0, total);
                                     handler(std::move(request));
                                 }
                             });
        }
    };
    using connection_ptr = std::shared_ptr<connection>;
    /// @p number counts the accepted connections from 1.
    using connect_handler = std::function<void(connection_ptr, int number)>;

    raw_server(asio::io_context& context, connect_handler on_connect)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), on_connect_(std::move(on_connect)) {
        accept();
    }

    std::string url(const std::string& path = "/") const {
        return "http://127.0.0.1:" + std::to_string(port()) + path;
    }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int accepted() const { return accepted_; }
    void stop_listening() { acceptor_.close(); }

private:
    void accept() {
        acceptor_.async_accept([this](auto ec, asio::ip::tcp::socket socket) {
            if (!ec) {
                connections_.push_back(std::make_shared<connection>(std::move(socket)));
                on_connect_(connections_.back(), ++accepted_);
                accept();
            }
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    connect_handler on_connect_;
    std::vector<connection_ptr> connections_; ///< keeps connections open that the test doesn't use
    int accepted_ = 0;
};

} // namespace kingcupseam::test
