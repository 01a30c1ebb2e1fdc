#pragma once

#include "router/answer_parser.h"
#include "router/upstream_client.h"

#include <array>

namespace kingcupseam::router {

/// One connection to an upstream; it either carries an exchange or is idle.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(upstream_client& owner, asio::io_context& context, endpoint_address target,
                        std::uint64_t number);

    void start(std::uint64_t exchange_id, exchange request, upstream_client::on_end done);
    /// Closes the connection with a TCP reset, which discards bytes that are still in transit.
    void reset();

    std::uint64_t number() const noexcept { return number_; }
    const endpoint_address& target() const noexcept { return target_; }
    time_point idle_since() const noexcept { return idle_since_; }
    time_point idle_until() const noexcept { return idle_until_; }
    bool open() const noexcept { return open_; }
    /// True when the peer has neither closed the idle connection nor sent bytes that no request asked for.
    bool quiet();
    /// Bytes of the body received so far of an unfinished answer.
    std::size_t buffered_bytes() const noexcept { return buffered_bytes_; }
    /// Ends the exchange as malformed.
    void reject_answer() { finish(exchange_end::malformed); }

private:
    enum class answer_owner { this_request, other_request, unknown };

    /// Calls on_timer() after @p limit, in place of any earlier limit.
    void start_timer(duration limit);
    void connect();
    void write();
    void read();
    void on_read(const asio::error_code& ec, std::size_t n);
    void on_bytes(std::string_view bytes);
    /// The request that the received answer belongs to.
    answer_owner owner_of_answer();
    void on_answer(bool extra_bytes);
    void count_buffered(std::size_t bytes);
    void on_timer();
    void keep_or_close(bool reusable);
    void finish(exchange_end end, app::http_response answer = {});

    upstream_client& owner_;
    std::uint64_t number_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    endpoint_address target_;
    answer_parser parser_;
    std::array<char, 16 * 1024> input_{};
    std::size_t buffered_bytes_ = 0;
    exchange request_;
    std::uint64_t exchange_id_ = 0;
    upstream_client::on_end done_;
    time_point idle_since_;
    time_point idle_until_;
    bool open_ = false; ///< connected and usable
    bool writing_ = false;
    bool write_failed_ = false; ///< by a failure of the connection, not because the peer had ended it
    bool sent_ = false;         ///< part of the current request may have been sent
    bool reading_ = false;
    bool reused_ = false;       ///< carried an earlier exchange
    bool stale_answer_ = false; ///< an answer to another request arrived, so the connection is not reused
    bool closed_ = false;
};

} // namespace kingcupseam::router
