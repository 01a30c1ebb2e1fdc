#include "app/load_runner.h"

#include "app/stand_in_answer.h"

#include <fmt/format.h>

#include <unistd.h>

#include <cstdio>

namespace kingcupseam::app {

namespace {

constexpr int max_attempts = 4;
constexpr std::chrono::milliseconds resend_delay{100};
constexpr std::chrono::milliseconds max_spontaneous_delay{200};

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
    send_due();
    if (::isatty(STDERR_FILENO) != 0) {
        show_progress();
    }
    context_.run();
    results_.measured_seconds = std::chrono::duration<double>(settings_.length - settings_.warmup).count();
    return std::move(results_);
}

void load_runner::send_due() {
    while (next_ && next_->at <= elapsed()) {
        begin(*next_);
        next_ = workload_.next();
    }
    if (!next_) {
        return;
    }
    timer_.expires_after(started_ + next_->at - steady_now());
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            send_due();
        }
    });
}

void load_runner::begin(const planned_request& plan) {
    auto it = std::make_shared<request>();
    it->plan = plan;
    it->idempotency_key = keys_.next();
    ++in_progress_;
    it->outstanding = 1;
    send_attempt(it);
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(plan.priority));
    if (!is_idempotent(call_template) && draw(settings_.resend_fraction)) {
        ++it->outstanding;
        const auto longest = std::chrono::duration_cast<duration>(max_spontaneous_delay).count();
        send_later(it, duration(std::uniform_int_distribution<std::int64_t>(0, longest)(random_)));
    }
}

void load_runner::send_later(const request_ptr& it, duration delay) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, it](const asio::error_code& ec) {
        if (!ec) {
            send_attempt(it);
        }
    });
}

void load_runner::send_attempt(const request_ptr& it) {
    ++it->attempts;
    send_to(it, next_address_++, 0);
}

void load_runner::send_to(const request_ptr& it, std::size_t first, std::size_t tries) {
    const auto address = (first + tries) % settings_.addresses.size();
    client_.send(make_call(*it, address), [this, it, first, tries](const http_result& result) {
        const bool unsent =
            result.failure == http_failure::refused || result.failure == http_failure::not_sent;
        if (unsent && tries + 1 < settings_.addresses.size()) {
            send_to(it, first, tries + 1);
        } else {
            on_result(it, result);
        }
    });
}

http_call load_runner::make_call(const request& it, std::size_t address) const {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(it.plan.priority));
    http_call call;
    call.method = call_template.method;
    call.url = "http://" + to_string(settings_.addresses[address]) + call_template.path(it.plan.key);
    call.headers = {{"Idempotency-Key", it.idempotency_key}};
    if (!is_idempotent(call_template)) {
        call.headers.emplace_back("Content-Type", "application/octet-stream");
        call.body = body_;
    }
    call.timeout = settings_.timeout;
    return call;
}

void load_runner::on_result(const request_ptr& it, const http_result& result) {
    bool unclear = false;
    if (result.failure == http_failure::none) {
        judge_answer(*it, result.answer);
        unclear = header_of(result.answer, "kingcupseam-outcome") == to_string(outcome::unknown);
    } else if (result.failure == http_failure::refused || result.failure == http_failure::not_sent) {
        it->failed = true;
    } else {
        it->lost = true;
        unclear = true;
    }
    --it->outstanding;
    resend_when_unclear(it, unclear);
    if (it->outstanding == 0) {
        finish(*it);
    }
}

void load_runner::resend_when_unclear(const request_ptr& it, bool unclear) {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(it->plan.priority));
    if (unclear && !is_idempotent(call_template) && it->attempts < max_attempts &&
        draw(settings_.resend_fraction)) {
        ++it->outstanding;
        send_later(it, resend_delay);
    }
}

void load_runner::judge_answer(request& it, const http_response& answer) {
    const auto told = header_of(answer, "kingcupseam-outcome");
    if (told == to_string(outcome::ran)) {
        judge_body(it, answer);
    } else if (told == to_string(outcome::not_run)) {
        it.not_run = header_of(answer, "kingcupseam-reason");
        it.not_run = it.not_run.empty() ? "no-reason" : it.not_run;
    } else if (told == to_string(outcome::unknown)) {
        it.unknown = true;
    } else {
        it.failed = true;
    }
}

void load_runner::judge_body(request& it, const http_response& answer) {
    const auto& call_template = request_templates_.at(static_cast<std::size_t>(it.plan.priority));
    const auto body = decode_answer(answer.body);
    const bool own = body && body->key == it.plan.key && body->idempotency_key == it.idempotency_key &&
                     body->method == call_template.method && body->path == call_template.path(it.plan.key);
    if (!own) {
        it.wrong = true;
        return;
    }
    if (!it.correct) {
        it.correct = true;
        it.latency = elapsed() - it.plan.at;
        it.execution = body->executions;
    }
    it.differing = it.differing || (!is_idempotent(call_template) && body->executions != it.execution);
}

void load_runner::finish(const request& it) {
    --in_progress_;
    if (!next_ && in_progress_ == 0) {
        // Waits on pooled connections that never become ready would keep the context running.
        context_.stop();
    }
    auto& results = results_.ranks.at(static_cast<std::size_t>(it.plan.priority));
    // What must never happen counts during the warm-up too.
    results.wrong += it.wrong ? 1 : 0;
    results.double_runs += it.differing ? 1 : 0;
    const bool told_not_run = !it.not_run.empty() && !it.correct && !it.wrong && !it.unknown && !it.lost;
    if (told_not_run && !it.failed) {
        results.not_run_keys.push_back(it.idempotency_key);
    }
    if (!is_idempotent(request_templates_.at(static_cast<std::size_t>(it.plan.priority))) && !it.differing) {
        results.at_most_once_keys.push_back(it.idempotency_key);
    }
    if (it.plan.at >= settings_.warmup) {
        count_end(results, it);
    }
}

/// An unclear attempt outweighs a later refusal, which says nothing about the attempt before it.
void load_runner::count_end(rank_results& results, const request& it) {
    ++results.sent;
    results.resent += static_cast<std::uint64_t>(it.attempts - 1);
    auto& second = results.second_at(it.plan.at);
    ++second.sent;
    if (it.wrong) {
        return;
    }
    if (it.correct) {
        ++results.answered;
        results.late +=
            it.latency > settings_.late_after.at(static_cast<std::size_t>(it.plan.priority)) ? 1 : 0;
        results.latency->record(static_cast<std::uint64_t>(it.latency.count()));
        second.latencies.push_back(static_cast<std::uint32_t>(it.latency.count()));
    } else if (it.unknown) {
        ++results.unknown;
    } else if (it.lost) {
        ++results.lost;
    } else if (!it.not_run.empty()) {
        ++results.not_run[it.not_run];
    } else {
        ++results.errors;
    }
}

bool load_runner::draw(double probability) {
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
