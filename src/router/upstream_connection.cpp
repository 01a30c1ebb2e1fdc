#include "router/upstream_connection.h"

#include "transport/socket_options.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace kingcupseam::router {

namespace {

// A peer that acknowledges nothing for this long is considered dead.
constexpr duration unacknowledged_limit = std::chrono::seconds(3);
// Idle connections are dropped this much before the upstream closes them: a request sent during the close is
// lost.
constexpr duration idle_margin = std::chrono::milliseconds(1000);

/// Value of "Keep-Alive: timeout=N".
std::optional<duration> keep_alive_timeout(const app::http_response& answer) {
    const std::string text = answer.header("Keep-Alive");
    const auto at = text.find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* const first = text.data() + at + std::string_view("timeout=").size();
    const auto [end, ec] = std::from_chars(first, text.data() + text.size(), seconds);
    if (ec != std::errc{} || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

upstream_connection::upstream_connection(upstream_client& owner, asio::io_context& context,
                                         endpoint_address target, std::uint64_t number)
    : owner_(owner), number_(number), socket_(context), timer_(context), target_(std::move(target)),
      parser_(owner.settings_.max_answer_bytes) {}

void upstream_connection::start(std::uint64_t exchange_id, exchange request, upstream_client::on_end done) {
    exchange_id_ = exchange_id;
    request_ = std::move(request);
    done_ = std::move(done);
    sent_ = false;
    reused_ = open_;
    parser_.reset();
    start_timer(open_ ? request_.timeout : std::min(request_.timeout, owner_.settings_.connect_timeout));
    if (open_) {
        write();
    } else {
        connect();
    }
}

void upstream_connection::start_timer(duration limit) {
    timer_.expires_after(limit);
    timer_.async_wait([it = shared_from_this(), id = exchange_id_](const asio::error_code& ec) {
        // A handler that was already queued when the timer was set again is not cancelled.
        const bool expired = it->timer_.expiry() <= asio::steady_timer::clock_type::now();
        if (!ec && expired && it->exchange_id_ == id) {
            it->on_timer();
        }
    });
}

void upstream_connection::connect() {
    asio::error_code ec;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(target_.ip, ec), target_.port);
    if (ec) {
        asio::post(socket_.get_executor(), [it = shared_from_this()] {
            if (!it->closed_) {
                it->finish(exchange_end::not_sent);
            }
        });
        return;
    }
    const time_point begun = steady_now();
    transport::open_for_connect(socket_, remote);
    socket_.async_connect(remote, [it = shared_from_this(), begun](const asio::error_code& failed) {
        if (it->closed_) {
            return;
        }
        if (failed) {
            it->finish(exchange_end::not_sent);
            return;
        }
        it->open_ = true;
        asio::error_code ignored;
        it->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        transport::limit_unacknowledged(it->socket_, unacknowledged_limit);
        const duration left = it->request_.timeout - (steady_now() - begun);
        if (left <= duration::zero()) {
            it->finish(exchange_end::not_sent);
            return;
        }
        it->start_timer(left);
        it->write();
        it->read();
    });
}

void upstream_connection::write() {
    sent_ = true;
    writing_ = true;
    const std::array<asio::const_buffer, 2> parts{asio::buffer(request_.bytes),
                                                  asio::buffer(request_.body.str())};
    asio::async_write(
        socket_, parts,
        [it = shared_from_this(), body = request_.body](const asio::error_code& ec, std::size_t) {
            it->writing_ = false;
            // The system reports a reset once: the read then sees a plain end. A broken pipe means that the
            // peer had ended its answer before.
            it->write_failed_ = ec && ec != asio::error::broken_pipe;
            // The read fails too, unless an early answer arrives.
            if (ec && !it->closed_ && !it->reading_) {
                it->finish(exchange_end::broken);
            }
        });
}

bool upstream_connection::quiet() {
    char byte = 0;
    const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void upstream_connection::read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(input_),
                            [it = shared_from_this()](const asio::error_code& ec, std::size_t n) {
                                it->reading_ = false;
                                if (!it->closed_) {
                                    it->on_read(ec, n);
                                }
                            });
}

void upstream_connection::on_read(const asio::error_code& ec, std::size_t n) {
    if (!done_) {
        // Idle connection: closed by the peer, or unexpected bytes.
        owner_.on_idle_closed(shared_from_this());
        reset();
        return;
    }
    if (ec) {
        const bool ended = ec == asio::error::eof && !write_failed_ && parser_.started() &&
                           parser_.finish() == answer_parser::status::complete &&
                           owner_of_answer() == answer_owner::this_request;
        if (ended) {
            open_ = false;
            on_answer(false);
        } else {
            finish(exchange_end::broken);
        }
        return;
    }
    on_bytes(std::string_view(input_.data(), n));
}

void upstream_connection::on_bytes(std::string_view bytes) {
    while (!bytes.empty()) {
        std::size_t used = 0;
        const auto status = parser_.feed(bytes, used);
        if (status == answer_parser::status::malformed) {
            finish(exchange_end::malformed);
            return;
        }
        if (status == answer_parser::status::incomplete) {
            break;
        }
        bytes.remove_prefix(std::min(used, bytes.size()));
        if (parser_.answer().status / 100 == 1) {
            parser_.reset(); // an interim answer; the final one follows
            continue;
        }
        const answer_owner owner = owner_of_answer();
        if (owner == answer_owner::other_request) {
            // The answer to this request may follow.
            stale_answer_ = true;
            parser_.reset();
            continue;
        }
        if (owner == answer_owner::unknown) {
            finish(exchange_end::unmatched);
            return;
        }
        on_answer(!bytes.empty());
        return;
    }
    count_buffered(parser_.answer().body.size());
    if (!closed_) {
        read();
    }
}

void upstream_connection::count_buffered(std::size_t bytes) {
    const auto change = static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(buffered_bytes_);
    buffered_bytes_ = bytes;
    if (change != 0) {
        owner_.on_buffered(change);
    }
}

upstream_connection::answer_owner upstream_connection::owner_of_answer() {
    const std::string id = parser_.answer().header(owner_.settings_.id_header);
    if (request_.id.empty() || id == request_.id) {
        return answer_owner::this_request;
    }
    if (!id.empty()) {
        return answer_owner::other_request;
    }
    // On a connection that carried earlier requests it may be a second answer to one of them.
    return reused_ ? answer_owner::unknown : answer_owner::this_request;
}

void upstream_connection::on_answer(bool extra_bytes) {
    const bool reusable = open_ && parser_.keep_alive() && !extra_bytes && !writing_ && !stale_answer_;
    const auto limit = keep_alive_timeout(parser_.answer());
    idle_since_ = steady_now();
    idle_until_ = idle_since_ + std::min(limit ? *limit - idle_margin : owner_.settings_.idle_timeout,
                                         owner_.settings_.idle_timeout);
    count_buffered(0);
    request_.body = {};
    const auto done = std::exchange(done_, nullptr);
    auto answer = std::move(parser_.answer());
    timer_.cancel();
    owner_.on_exchange_end(std::exchange(exchange_id_, 0));
    keep_or_close(reusable && idle_until_ > idle_since_);
    done({exchange_end::answered, std::move(answer), number_});
}

void upstream_connection::keep_or_close(bool reusable) {
    if (!reusable) {
        reset();
        return;
    }
    owner_.on_idle(shared_from_this());
    read();
}

void upstream_connection::on_timer() {
    finish(sent_ ? exchange_end::timeout : exchange_end::not_sent);
}

void upstream_connection::finish(exchange_end end, app::http_response answer) {
    const auto done = std::exchange(done_, nullptr);
    owner_.on_exchange_end(std::exchange(exchange_id_, 0));
    reset();
    if (done) {
        done({end, std::move(answer), number_});
    }
}

void upstream_connection::reset() {
    if (closed_) {
        return;
    }
    closed_ = true;
    open_ = false;
    done_ = nullptr;
    request_.body = {};
    parser_.reset(); // frees what was received of an unfinished answer
    count_buffered(0);
    asio::error_code ec;
    timer_.cancel(ec);
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    socket_.close(ec);
}

} // namespace kingcupseam::router
