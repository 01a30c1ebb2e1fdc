#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace kingcupseam::test {

/// Accepts TCP connections and passes their bytes on to another address after a delay, each way.
class delaying_relay {
public:
    delaying_relay(asio::io_context& context, asio::ip::tcp::endpoint listen, asio::ip::tcp::endpoint target,
                   duration delay)
        : context_(context), acceptor_(context, listen), target_(std::move(target)), delay_(delay) {
        accept();
    }

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    /// One direction of a connection.
    struct pipe : std::enable_shared_from_this<pipe> {
        pipe(asio::io_context& context, socket_ptr source, socket_ptr sink, duration length)
            : from(std::move(source)), to(std::move(sink)), delay(length), timer(context) {}

        void read() {
            from->async_read_some(asio::buffer(buf), [it = shared_from_this()](auto ec, std::size_t n) {
                if (ec) {
                    it->close();
                    return;
                }
                it->waiting.emplace_back(steady_now() + it->delay, std::string(it->buf.data(), n));
                if (it->waiting.size() == 1) {
                    it->wait();
                }
                it->read();
            });
        }
        void wait() {
            timer.expires_after(waiting.front().first - steady_now());
            timer.async_wait([it = shared_from_this()](auto ec) {
                if (!ec) {
                    it->write();
                }
            });
        }
        void write() {
            asio::async_write(*to, asio::buffer(waiting.front().second),
                              [it = shared_from_this()](auto ec, std::size_t) {
                                  if (ec) {
                                      it->close();
                                      return;
                                  }
                                  it->waiting.pop_front();
                                  if (!it->waiting.empty()) {
                                      it->wait();
                                  }
                              });
        }
        void close() const {
            asio::error_code ignored;
            from->close(ignored);
            to->close(ignored);
        }

        socket_ptr from;
        socket_ptr to;
        duration delay;
        asio::steady_timer timer;
        std::deque<std::pair<time_point, std::string>> waiting; ///< with the time at which they are passed on
        std::array<char, 4096> buf{};
    };

    void accept() {
        const auto accepted = std::make_shared<asio::ip::tcp::socket>(context_);
        acceptor_.async_accept(*accepted, [this, accepted](auto ec) {
            if (ec) {
                return;
            }
            const auto connected = std::make_shared<asio::ip::tcp::socket>(context_);
            connected->async_connect(target_, [this, accepted, connected](auto failed) {
                if (!failed) {
                    std::make_shared<pipe>(context_, accepted, connected, delay_)->read();
                    std::make_shared<pipe>(context_, connected, accepted, delay_)->read();
                }
            });
            accept();
        });
    }

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    duration delay_;
};

} // namespace kingcupseam::test
