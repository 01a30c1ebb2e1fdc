#pragma once

#include <kingcupseam/types.h>

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcupseam::test {

/// A request as it was received.
struct raw_request {
    std::string head; ///< request line and headers
    std::string body;
    /// The request line without its line break.
    std::string line() const { return head.substr(0, head.find('\r')); }
};

/// HTTP server on a loopback port, with a thread of its own, that serves one connection at a time. It reads
/// one request, writes the bytes that the handler returns and closes the connection; empty bytes close it
/// without an answer.
class raw_http_responder {
public:
    using handler = std::function<std::string(const raw_request&)>;

    explicit raw_http_responder(handler answer)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}), answer_(std::move(answer)),
          thread_([this] { serve(); }) {}
    ~raw_http_responder() {
        stopping_ = true;
        // The thread blocks in accept(), which returns when a connection arrives.
        asio::ip::tcp::socket wake_up(context_);
        asio::error_code ec;
        wake_up.connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }
    raw_http_responder(const raw_http_responder&) = delete;
    raw_http_responder& operator=(const raw_http_responder&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::vector<raw_request> received() const {
        const std::lock_guard lock(mutex_);
        return received_;
    }

    /// Bytes of a whole response with the body @p body.
    static std::string json_response(int status, const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\nConnection: close\r\n\r\n" + body;
    }

private:
    void serve() {
        while (true) {
            asio::ip::tcp::socket peer(context_);
            asio::error_code ec;
            acceptor_.accept(peer, ec);
            if (stopping_ || ec) {
                return;
            }
            serve_connection(peer);
        }
    }

    void serve_connection(asio::ip::tcp::socket& peer) {
        raw_request request;
        if (!read_request(peer, request)) {
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            received_.push_back(request);
        }
        asio::error_code ec;
        asio::write(peer, asio::buffer(answer_(request)), ec);
        peer.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }

    /// Returns false when the connection ends before the request does.
    static bool read_request(asio::ip::tcp::socket& peer, raw_request& request) {
        asio::error_code ec;
        std::string bytes;
        const std::size_t n = asio::read_until(peer, asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
        if (ec) {
            return false;
        }
        request.head = bytes.substr(0, n);
        request.body = bytes.substr(n);
        const auto length_header = request.head.find("Content-Length: ");
        const std::size_t body_length =
            length_header == std::string::npos ? 0 : std::stoul(request.head.substr(length_header + 16));
        if (request.body.size() < body_length) {
            std::string rest(body_length - request.body.size(), '\0');
            asio::read(peer, asio::buffer(rest), ec);
            request.body += rest;
        }
        return !ec;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    handler answer_;
    mutable std::mutex mutex_;
    std::vector<raw_request> received_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace kingcupseam::test
