#pragma once

#include "app/http_client.h"
#include "app/load_options.h"
#include "app/load_results.h"
#include "app/load_workload.h"

#include <asio.hpp>

#include <memory>
#include <random>

namespace kingcupseam::app {

/// Sends the load in an open loop: a request leaves at its intended time, whatever became of those before it.
class load_runner {
public:
    explicit load_runner(const load_options& settings);
    load_results run();

private:
    /// One request with all its attempts, which share the Idempotency-Key.
    struct request {
        planned_request plan;
        std::string idempotency_key;
        int attempts = 0;
        int outstanding = 0; ///< attempts in progress or waiting to be sent
        bool correct = false;
        bool wrong = false;
        bool differing = false; ///< two answers of different executions
        bool unknown = false;
        bool lost = false;
        bool failed = false;
        std::string not_run; ///< reason
        std::uint64_t execution = 0;
        duration latency{};
    };
    using request_ptr = std::shared_ptr<request>;

    void send_due();
    void begin(const planned_request& plan);
    void send_attempt(const request_ptr& it);
    /// Sends to the address that is @p tries after @p first.
    void send_to(const request_ptr& it, std::size_t first, std::size_t tries);
    void send_later(const request_ptr& it, duration delay);
    http_call make_call(const request& it, std::size_t address) const;
    void on_result(const request_ptr& it, const http_result& result);
    void judge_answer(request& it, const http_response& answer);
    void judge_body(request& it, const http_response& answer);
    void resend_when_unclear(const request_ptr& it, bool unclear);
    void finish(const request& it);
    void count_end(rank_results& results, const request& it);
    bool draw(double probability);
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
