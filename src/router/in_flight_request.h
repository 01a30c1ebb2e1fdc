#pragma once

#include "router/dispatcher.h"

#include <string>
#include <vector>

namespace kingcupseam::router {

inline constexpr int status_bad_request = 400;
inline constexpr int status_not_found = 404;
inline constexpr int status_body_too_long = 413;
inline constexpr int status_headers_too_long = 431;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/// State of one caller's request, from its arrival until it is answered.
struct dispatcher::in_flight_request {
    in_flight_request(asio::io_context& context, std::uint64_t number, caller_request received,
                      app::http_reply answer_to, time_point now)
        : id(number), request(std::move(received)), reply(std::move(answer_to)), arrived(now),
          deadline_timer(context), wait_timer(context) {}

    /// By when an answer that this entry makes itself must leave. A running request has until the deadline.
    time_point answer_by() const { return deadline - answer_time; }

    /// Calls a step that sends the request or handles its result. If the step throws, the request may have
    /// run: its deadline must not end it as one that has not.
    template <class Step>
    void run_step(const Step& step) {
        try {
            step();
        } catch (...) {
            in_doubt = true;
            throw;
        }
    }

    std::uint64_t id;
    caller_request request;
    app::http_reply reply;
    std::size_t header_bytes = 0; ///< of the request line and the headers as the caller sent them
    time_point arrived;
    time_point deadline = arrived;   ///< the earlier of the caller's and the route's limit
    const char* limited_by = "none"; ///< what set the deadline, for the log
    duration answer_time{};          ///< for the way of an answer to the entry that forwarded it
    asio::steady_timer deadline_timer;
    asio::steady_timer wait_timer; ///< ends a backoff, a wait for an owner, or a wait in a queue
    directory::route route;
    std::string service;
    bool keyed = false;
    int possible_runs = 0; ///< attempts that an upstream may have started
    int send_count = 0;    ///< attempts that were sent
    bool in_doubt = false; ///< an earlier attempt may have run
    bool waiting_for_owner = false;
    bool queued = false;
    bool bypass_gate = false;              ///< the gate failed: this entry sends to the upstream itself
    std::int32_t hops = 0;                 ///< entries that forwarded it before this one
    std::string gate;                      ///< entry that it was forwarded to
    duration gate_limit{};                 ///< time that the gate was given
    time_point forwarded_at;               ///< to the gate
    std::uint64_t gate_request_number = 0; ///< of the request at the gate; 0 when it is not there
    std::uint64_t peer_request_number = 0; ///< of a request from another entry, on its connection
    std::uint64_t exchange_id = 0;
    std::vector<std::uint64_t> used_connections; ///< those that carried an answered attempt
    std::string upstream;                        ///< id of the upstream that it is sent to or queued for
    directory::upstream_incarnation sent_to;     ///< of the current attempt
    std::string last_failed_upstream;            ///< id of the upstream of the last failed attempt
    directory::upstream_incarnation answered_by; ///< once an upstream has answered; else its id is empty
    time_point sent_at;
};

} // namespace kingcupseam::router
