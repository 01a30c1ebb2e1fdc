// Faults of an upstream: silent connections, executions that outlive their deadline, and crashes.
#include "app/instance/execution_state.h"
#include "app/instance/upstream_gate.h"

#include <nlohmann/json.hpp>

#include <spdlog/spdlog.h>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

constexpr duration probe_timeout = std::chrono::milliseconds(300);
constexpr duration cancel_timeout = std::chrono::milliseconds(300);
// Frees a slot at most 50 ms late; 20 polls per second add little to the traffic of the grants.
constexpr duration slot_poll_interval = std::chrono::milliseconds(50);
constexpr duration silence_limit = std::chrono::milliseconds(250);

} // namespace

void upstream_gate::check_silence(time_point now) {
    time_point oldest = now;
    for (const auto& [ticket, request] : running_) {
        if (request->in_flight) {
            oldest = std::min(oldest, request->sent);
        }
    }
    if (oldest == now || probe_in_progress_ || !health_.probe_due(oldest, now)) {
        return;
    }
    probe_in_progress_ = true;
    health_.on_probe_sent(now);
    http_call call;
    call.url = "http://" + row_.address + "/kcs/health";
    call.timeout = probe_timeout;
    call.connect_timeout = probe_timeout;
    call.fresh_connection = true;
    probe_client_.send(std::move(call), [this, alive = alive_](const http_result& result) {
        if (*alive) {
            probe_in_progress_ = false;
            on_probe_result(result);
        }
    });
}

void upstream_gate::on_probe_result(const http_result& result) {
    const time_point now = steady_now();
    if (result.failure == http_failure::not_connected) {
        on_connect_failed(now);
    } else if (result.failure == http_failure::none) {
        health_.on_probe_answered(now);
        check_silent_requests(now);
    }
}

void upstream_gate::check_silent_requests(time_point now) {
    std::vector<gate_request_ptr> silent;
    for (const auto& [ticket, request] : running_) {
        if (request->in_flight && now - request->sent > silence_limit) {
            silent.push_back(request);
        }
    }
    for (const auto& request : silent) {
        http_call call;
        call.method = "POST";
        call.url = "http://" + row_.address + "/kcs/cancel";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = json{{"request_id", request->attempt_id}}.dump();
        call.timeout = probe_timeout;
        call.fresh_connection = true;
        probe_client_.send(std::move(call), [this, alive = alive_, request,
                                             attempt = request->attempt_id](const http_result& answer) {
            if (!*alive || !request->in_flight || request->attempt_id != attempt ||
                answer.failure != http_failure::none) {
                return;
            }
            const auto state = execution_state(answer.answer.body);
            if (state == "running" || state.empty()) {
                return; // the request is slow; its connection works
            }
            shared_.registry
                .counter_of("kingcupseam_silent_connections_total",
                            "Connections that went silent while new ones worked")
                .add();
            request->in_flight = false;
            client_->cancel(request->client_call);
            replace_client();
            release(request, std::nullopt);
            if (state == "finished") {
                on_may_have_run(request, refusal::upstream_failed);
            } else {
                on_not_run(request, refusal::upstream_failed, true);
            }
            dispatch_waiting();
        });
    }
}

void upstream_gate::cancel_attempt(const std::string& attempt_id,
                                   std::function<void(const http_result&, const std::string&)> done) {
    http_call call;
    call.method = "POST";
    call.url = "http://" + row_.address + "/kcs/cancel";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{{"request_id", attempt_id}}.dump();
    call.timeout = cancel_timeout;
    call.connect_timeout = cancel_timeout;
    call.fresh_connection = true;
    probe_client_.send(std::move(call), [alive = alive_, done = std::move(done)](const http_result& result) {
        if (!*alive) {
            return;
        }
        const bool answered = result.failure == http_failure::none && result.answer.status == 200;
        done(result, answered ? execution_state(result.answer.body) : std::string());
    });
}

void upstream_gate::hold_slot(std::uint64_t ticket, const std::string& attempt_id, time_point until) {
    auto timer = std::make_shared<asio::steady_timer>(shared_.io, slot_poll_interval);
    timer->async_wait([this, alive = alive_, timer, ticket, attempt_id, until](const asio::error_code&) {
        if (!*alive) {
            return;
        }
        cancel_attempt(attempt_id, [this, ticket, attempt_id, until](const http_result& result,
                                                                     const std::string& state) {
            const time_point now = steady_now();
            const bool may_run = state == "running" || result.failure == http_failure::timeout;
            if (may_run && now < until) {
                hold_slot(ticket, attempt_id, until);
                return;
            }
            queue_->finished(ticket, std::nullopt, now);
            dispatch_waiting();
        });
    });
}

void upstream_gate::replace_client() {
    // Idle connections of the old pool may be unresponsive too, and each would delay a request by the silence
    // limit.
    retired_clients_.push_back(std::move(client_));
    client_ = std::make_unique<http_client>(
        shared_.io, http_client::options{.max_connections_per_host = row_.connections});
    constexpr std::size_t max_retired_clients = 4;
    if (retired_clients_.size() > max_retired_clients) {
        retired_clients_.erase(retired_clients_.begin());
    }
}

void upstream_gate::on_connect_failed(time_point now) {
    health_.on_connect_refused(now);
    if (recently_disconnected_.empty()) {
        return;
    }
    // Connections broke and no new one can be made: the upstream crashed with these requests in flight.
    std::vector<std::string> digests;
    for (const auto& [digest, when] : recently_disconnected_) {
        digests.push_back(digest);
    }
    recently_disconnected_.clear();
    spdlog::warn("upstream crashed upstream={} requests_in_flight={}", row_.name, digests.size());
    shared_.broadcast_poison_requests(shared_.poison_requests.on_crash(digests, now));
}

} // namespace kingcupseam::app
