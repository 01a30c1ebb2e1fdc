#pragma once

#include "app/http_client.h"
#include "app/load_options.h"
#include "app/load_results.h"
#include "app/load_workload.h"

#include <asio.hpp>

#include <memory>
#include <random>

namespace kingcupseam::app {

/// Generates the load in an open loop: each request is sent at its scheduled time, whether or not earlier
/// requests have ended.
class load_runner {
public:
    explicit load_runner(const load_options& settings);
    /// Sends the whole load and returns when all requests have ended. Call it once.
    load_results run();

private:
    /// One request and the results of its attempts, which share its Idempotency-Key.
    struct pending_request {
        planned_request plan;
        std::string idempotency_key;
        int attempts = 0;
        int outstanding = 0; ///< attempts in progress or waiting to be sent
        // Each flag is set when any of the attempts had this result.
        bool correct = false;        ///< an undamaged answer to this request
        bool wrong = false;          ///< a damaged answer, or one to another request
        bool double_run = false;     ///< at-most-once only: two answers are of different executions
        bool unknown = false;        ///< the outcome was unknown
        bool lost = false;           ///< no complete answer after the request was sent
        bool failed = false;         ///< no address accepted it, or the answer had no outcome
        std::string not_run_reason;  ///< of the last answer with the outcome not-run; empty: none
        std::uint64_t execution = 0; ///< execution counter in the first correct answer
        duration latency{};          ///< of the first correct answer, from the scheduled time
    };
    using request_ptr = std::shared_ptr<pending_request>;

    void send_due_requests();
    void start_request(const planned_request& plan);
    void send_attempt(const request_ptr& request);
    /// Sends to the address at the index @p first + @p tries, modulo the number of addresses. While the
    /// request cannot be sent, tries the next one until every address has been tried.
    void send_to(const request_ptr& request, std::size_t first, std::size_t tries);
    void schedule_attempt(const request_ptr& request, duration delay);
    http_call make_call(const pending_request& request, std::size_t address) const;
    void on_attempt_result(const request_ptr& request, const http_result& result);
    void classify_answer(pending_request& request, const http_response& answer);
    void check_body(pending_request& request, const http_response& answer);
    /// @param unclear whether the attempt that has just ended was lost or unknown
    void resend_if_unclear(const request_ptr& request, bool unclear);
    void finish(const pending_request& request);
    /// Counts the request as sent, and under one result unless an answer was wrong.
    void count_result(rank_results& results, const pending_request& request);
    bool random_bool(double probability);
    duration elapsed() const { return steady_now() - started_; }
    void show_progress();

    const load_options settings_;
    const firm_requests& request_templates_;
    asio::io_context context_{1};
    http_client client_;
    asio::steady_timer timer_;
    asio::steady_timer progress_timer_;
    workload workload_;
    idempotency_key_source keys_;
    std::mt19937_64 random_;
    std::optional<planned_request> next_;
    time_point started_;
    std::size_t next_address_ = 0;
    std::size_t in_progress_ = 0;
    std::string body_;
    load_results results_;
};

} // namespace kingcupseam::app
