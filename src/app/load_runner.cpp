#include "app/load_runner.h"

#include "app/stand_in_answer.h"

#include <fmt/format.h>

#include <unistd.h>

#include <cstdio>

namespace kingcupseam::app {

namespace {

constexpr int max_attempts = 4;
constexpr std::chrono::milliseconds resend_delay{100};        // after a lost or unknown attempt
constexpr std::chrono::milliseconds max_duplicate_delay{200}; // of an unprompted duplicate

std::string header_of(const http_response& answer, std::string_view lower_case_name) {
    for (const auto& [name, value] : answer.headers) {
        if (name == lower_case_name) {
            return value;
        }
    }
    return {};
}

bool is_idempotent(const request_template& call_template) {
    return call_template.method == "GET";
}

} // namespace

load_runner::load_runner(const load_options& settings)
    : settings_(settings), request_templates_(requests_of_firm(settings.firm)),
      client_(context_,
              {.max_connections_per_host = settings.connections, .max_response_bytes = 16UL * 1024 * 1024}),
      timer_(context_), progress_timer_(context_), workload_(settings), random_(settings.seed + 100),
      body_(settings.body_bytes, 'b') {}

load_results load_runner::run() {
    started_ = steady_now();
    next_ = workload_.next();
    send_due_requests();
    if (::isatty(STDERR_FILENO) != 0) {
        show_progress();
    }
    context_.run();
    results_.measured_seconds = std::chrono::duration<double>(settings_.length - settings_.warmup).count();
    return std::move(results_);
}

void load_runner::send_due_requests() {
    while (next_ && next_->at <= elapsed()) {
        start_request(*next_);
        next_ = workload_.next();
    }
    if (!next_) {
        return;
    }
    timer_.expires_after(started_ + next_->at - steady_now());
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            send_due_requests();
        }
    });
}

void load_runner::start_request(const planned_request& plan) {
    auto request = std::make_shared<pending_request>();
    request->plan = plan;
    request->idempotency_key = keys_.next();
    ++in_progress_;
    request->outstanding = 1;
    send_attempt(request);
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(plan.priority));
    if (!is_idempotent(call_template) && random_bool(settings_.resend_fraction)) {
        ++request->outstanding;
        const auto max_delay_us = std::chrono::duration_cast<duration>(max_duplicate_delay).count();
        schedule_attempt(request,
                         duration(std::uniform_int_distribution<std::int64_t>(0, max_delay_us)(random_)));
    }
}

void load_runner::schedule_attempt(const request_ptr& request, duration delay) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, request](const asio::error_code& ec) {
        if (!ec) {
            send_attempt(request);
        }
    });
}

void load_runner::send_attempt(const request_ptr& request) {
    ++request->attempts;
    send_to(request, next_address_++, 0);
}

void load_runner::send_to(const request_ptr& request, std::size_t first, std::size_t tries) {
    const auto address = (first + tries) % settings_.addresses.size();
    client_.send(make_call(*request, address), [this, request, first, tries](const http_result& result) {
        const bool unsent =
            result.failure == http_failure::not_connected || result.failure == http_failure::not_sent;
        if (unsent && tries + 1 < settings_.addresses.size()) {
            send_to(request, first, tries + 1);
        } else {
            on_attempt_result(request, result);
        }
    });
}

http_call load_runner::make_call(const pending_request& request, std::size_t address) const {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(request.plan.priority));
    http_call call;
    call.method = call_template.method;
    call.url = "http://" + to_string(settings_.addresses[address]) + call_template.path(request.plan.key);
    call.headers = {{"Idempotency-Key", request.idempotency_key}};
    if (!is_idempotent(call_template)) {
        call.headers.emplace_back("Content-Type", "application/octet-stream");
        call.body = body_;
    }
    call.timeout = settings_.timeout;
    return call;
}

void load_runner::on_attempt_result(const request_ptr& request, const http_result& result) {
    bool unclear = false;
    if (result.failure == http_failure::none) {
        classify_answer(*request, result.answer);
        unclear = header_of(result.answer, "kingcupseam-outcome") == to_string(outcome::unknown);
    } else if (result.failure == http_failure::not_connected || result.failure == http_failure::not_sent) {
        request->failed = true;
    } else {
        request->lost = true;
        unclear = true;
    }
    --request->outstanding;
    resend_if_unclear(request, unclear);
    if (request->outstanding == 0) {
        finish(*request);
    }
}

void load_runner::resend_if_unclear(const request_ptr& request, bool unclear) {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(request->plan.priority));
    if (unclear && !is_idempotent(call_template) && request->attempts < max_attempts &&
        random_bool(settings_.resend_fraction)) {
        ++request->outstanding;
        schedule_attempt(request, resend_delay);
    }
}

void load_runner::classify_answer(pending_request& request, const http_response& answer) {
    const auto reported_outcome = header_of(answer, "kingcupseam-outcome");
    if (reported_outcome == to_string(outcome::ran)) {
        check_body(request, answer);
    } else if (reported_outcome == to_string(outcome::not_run)) {
        request.not_run_reason = header_of(answer, "kingcupseam-reason");
        request.not_run_reason = request.not_run_reason.empty() ? "no-reason" : request.not_run_reason;
    } else if (reported_outcome == to_string(outcome::unknown)) {
        request.unknown = true;
    } else {
        request.failed = true;
    }
}

void load_runner::check_body(pending_request& request, const http_response& answer) {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(request.plan.priority));
    const auto body = decode_answer(answer.body);
    const bool matches_request =
        body && body->key == request.plan.key && body->idempotency_key == request.idempotency_key &&
        body->method == call_template.method && body->path == call_template.path(request.plan.key);
    if (!matches_request) {
        request.wrong = true;
        return;
    }
    if (!request.correct) {
        request.correct = true;
        request.latency = elapsed() - request.plan.at;
        request.execution = body->executions;
    }
    request.double_run =
        request.double_run || (!is_idempotent(call_template) && body->executions != request.execution);
}

void load_runner::finish(const pending_request& request) {
    --in_progress_;
    if (!next_ && in_progress_ == 0) {
        // Pending waits on idle pooled connections would keep the context running.
        context_.stop();
    }
    auto& results = results_.ranks.at(static_cast<std::size_t>(request.plan.priority));
    // Violations are counted during the warm-up too.
    results.wrong += request.wrong ? 1 : 0;
    results.double_runs += request.double_run ? 1 : 0;
    const bool only_not_run = !request.not_run_reason.empty() && !request.correct && !request.wrong &&
                              !request.unknown && !request.lost;
    if (only_not_run && !request.failed) {
        results.not_run_keys.push_back(request.idempotency_key);
    }
    if (!is_idempotent(request_templates_.at(static_cast<std::size_t>(request.plan.priority))) &&
        !request.double_run) {
        results.at_most_once_keys.push_back(request.idempotency_key);
    }
    if (request.plan.at >= settings_.warmup) {
        count_result(results, request);
    }
}

/// A lost or unknown attempt takes precedence over a later not-run one, which says nothing about the earlier
/// attempt.
void load_runner::count_result(rank_results& results, const pending_request& request) {
    ++results.sent;
    results.resent += static_cast<std::uint64_t>(request.attempts - 1);
    auto& second = results.second_at(request.plan.at);
    ++second.sent;
    if (request.wrong) {
        return;
    }
    if (request.correct) {
        ++results.answered;
        results.late +=
            request.latency > settings_.late_after.at(static_cast<std::size_t>(request.plan.priority)) ? 1
                                                                                                       : 0;
        results.latency->record(static_cast<std::uint64_t>(request.latency.count()));
        second.latencies.push_back(static_cast<std::uint32_t>(request.latency.count()));
    } else if (request.unknown) {
        ++results.unknown;
    } else if (request.lost) {
        ++results.lost;
    } else if (!request.not_run_reason.empty()) {
        ++results.not_run[request.not_run_reason];
    } else {
        ++results.errors;
    }
}

bool load_runner::random_bool(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void load_runner::show_progress() {
    if (!next_ && in_progress_ == 0) {
        fmt::print(stderr, "\n");
        return;
    }
    std::uint64_t answered = 0;
    for (const auto& it : results_.ranks) {
        answered += it.answered;
    }
    fmt::print(stderr, "\r{:.0f} s, {} answered, {} in progress   ",
               std::chrono::duration<double>(elapsed()).count(), answered, in_progress_);
    progress_timer_.expires_after(std::chrono::milliseconds(500));
    progress_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            show_progress();
        }
    });
}

} // namespace kingcupseam::app
