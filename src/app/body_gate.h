#pragma once

#include <kingcupseam/admission.h>
#include <kingcupseam/metrics.h>

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace kingcupseam::app {

class body_gate;

/// The request that one connection is receiving.
struct incoming_body {
    explicit incoming_body(std::shared_ptr<body_gate> counted_by) : gate(std::move(counted_by)) {}
    ~incoming_body();
    incoming_body(const incoming_body&) = delete;
    incoming_body& operator=(const incoming_body&) = delete;

    std::shared_ptr<body_gate> gate;
    admission::body_budget::body_id id = 0; ///< 0 while the body is short
    std::string* received = nullptr;        ///< what the parser has collected
    std::size_t discarded = 0;
    bool refused = false; ///< the rest is read and discarded, so that the caller reads the answer
    std::function<void()> resume;
    asio::ip::tcp::socket* socket = nullptr;
};

/// Holds the connections back whose long request bodies would exceed the memory for them. Runs on the
/// io_context's thread.
class body_gate : public std::enable_shared_from_this<body_gate> {
public:
    body_gate(asio::io_context& context, admission::body_budget_options settings,
              metrics::registry& registry);
    body_gate(const body_gate&) = delete;
    body_gate& operator=(const body_gate&) = delete;
    ~body_gate() = default;

    /// Counts bytes that are about to be appended to the body.
    void on_bytes(incoming_body& it, std::size_t n);
    /// @returns false when incoming_body::resume is to be called later, which the caller sets
    bool may_receive(const incoming_body& it);
    /// The request has been received. @returns what keeps its bytes counted; null for a short one
    std::shared_ptr<void> complete(incoming_body& it);
    /// Gives the bytes of an unfinished request back.
    void forget(incoming_body& it);
    /// Drops the reads that wait.
    void stop();

private:
    void give_back(admission::body_budget::body_id id);
    void resume_waiting();
    void schedule_check();
    void check();
    void refuse(incoming_body& it);
    void disconnect(incoming_body& it);

    admission::body_budget budget_;
    asio::steady_timer timer_;
    bool checking_ = false;
    std::unordered_map<admission::body_budget::body_id, incoming_body*> unfinished_;
    metrics::gauge& bytes_;
    metrics::counter& waits_;
    metrics::counter& refused_;
    metrics::counter& stalled_;
};

/// Socket of a connection whose reads a body_gate may hold back.
class gated_socket : public asio::ip::tcp::socket {
public:
    /// @param slot released when the socket is closed or destroyed
    explicit gated_socket(asio::ip::tcp::socket accepted, const std::shared_ptr<body_gate>& gate = nullptr,
                          std::shared_ptr<void> slot = nullptr)
        : asio::ip::tcp::socket(std::move(accepted)),
          incoming_(gate ? std::make_unique<incoming_body>(gate) : nullptr), slot_(std::move(slot)) {}

    template <class Buffers, class Handler>
    void async_read_some(const Buffers& buffers, Handler handler) {
        if (!incoming_) {
            asio::ip::tcp::socket::async_read_some(buffers, std::move(handler));
            return;
        }
        incoming_->socket = this;
        if (incoming_->gate->may_receive(*incoming_)) {
            read(buffers, std::move(handler));
        } else {
            incoming_->resume = [this, buffers, handler = std::move(handler)]() mutable {
                read(buffers, std::move(handler));
            };
        }
    }
    void cancel(asio::error_code& ec) {
        drop_waiting_read();
        asio::ip::tcp::socket::cancel(ec);
    }
    void close() {
        drop_waiting_read();
        asio::ip::tcp::socket::close();
        slot_.reset();
    }

    /// The request whose bytes the thread is parsing; null outside of a read.
    static incoming_body*& parsed() noexcept {
        thread_local incoming_body* current = nullptr;
        return current;
    }

private:
    template <class Buffers, class Handler>
    void read(const Buffers& buffers, Handler handler) {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        // The handler owns the connection, and so this socket.
        asio::ip::tcp::socket::async_read_some(
            buffers, asio::bind_executor(executor, [this, handler = std::move(handler)](
                                                       const asio::error_code& ec, std::size_t n) mutable {
                parsed() = incoming_.get();
                handler(ec, n);
                parsed() = nullptr;
            }));
    }
    void drop_waiting_read() {
        if (!incoming_) {
            return;
        }
        if (incoming_->resume) {
            // The read may own the connection that is closing.
            asio::post(get_executor(), [dropped = std::exchange(incoming_->resume, nullptr)] {});
        }
        incoming_->gate->forget(*incoming_);
    }

    std::unique_ptr<incoming_body> incoming_;
    std::shared_ptr<void> slot_;
};

} // namespace kingcupseam::app
