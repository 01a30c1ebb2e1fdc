// Dispatch of requests to an upstream: the ledger's decision, the attempt, its answer or failure, and
// retries.
#include "app/instance/upstream_gate.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace kingcupseam::app {

namespace {

constexpr std::string_view request_id_header = "kingcupseam-request-id";
constexpr std::string_view not_started_header = "kingcupseam-not-started";
constexpr std::string_view token_header = "kingcupseam-token";
// The slot of an execution that lasts longer is freed, so that a faulty upstream regains its slots.
constexpr duration max_slot_hold = std::chrono::seconds(10);
// Larger answers are passed on but not recorded, so a resent request gets `unknown`.
constexpr std::size_t max_recorded_answer = 16 * 1024;

std::string header_of(const http_response& answer, std::string_view name) {
    for (const auto& [field, value] : answer.headers) {
        if (field == name) {
            return value;
        }
    }
    return {};
}

wire::ForwardResponse ran_response(int status, std::string content_type, std::string body) {
    wire::ForwardResponse response;
    response.outcome = static_cast<std::int8_t>(outcome::ran);
    response.status = status;
    wire::HeaderField field;
    field.name = "Content-Type";
    field.value = std::move(content_type);
    response.headers.push_back(std::move(field));
    response.body = std::move(body);
    return response;
}

/// Decodes a recorded answer: the content type, a line feed and the body.
wire::ForwardResponse recorded_response(const ledger::record& record) {
    const auto line = record.answer.find('\n');
    if (line == std::string::npos) {
        return unknown_response(refusal::in_doubt);
    }
    return ran_response(record.status, record.answer.substr(0, line), record.answer.substr(line + 1));
}

std::uint64_t next_attempt_number() {
    static std::uint64_t number = 0; // used by the gate thread only
    return ++number;
}

} // namespace

ledger::record upstream_gate::record_of(const gate_request& request, ledger::record_state state) const {
    ledger::record record;
    record.service = request.wire.service_name;
    record.shard = static_cast<std::uint32_t>(request.wire.shard);
    record.key = request.wire.idempotency_key;
    record.epoch = row_.epoch;
    record.state = state;
    record.digest = request.digest;
    return record;
}

void upstream_gate::dispatch(const gate_request_ptr& request) {
    if (!still_owner(*request)) {
        release(request, std::nullopt);
        finish(request, not_run_response(refusal::stale_route));
        return;
    }
    if (!uses_ledger(*request)) {
        send(request);
        return;
    }
    shared_.ledger.begin(record_of(*request, ledger::record_state::begun),
                         [this, alive = alive_, request](const ledger::decision& decision) {
                             if (*alive) {
                                 on_ledger_decision(request, decision);
                             }
                         });
}

void upstream_gate::on_ledger_decision(const gate_request_ptr& request, const ledger::decision& decision) {
    const time_point now = steady_now();
    switch (decision.result) {
    case ledger::verdict::dispatch:
        // Checked again, as this process may have been paused since the request left the queue.
        if (request->deadline <= now || !may_dispatch(now) || !still_owner(*request)) {
            const bool late = request->deadline <= now;
            on_not_run(request, late ? refusal::deadline : refusal::stale_route, false);
        } else {
            send(request);
        }
        return;
    case ledger::verdict::wait:
        return; // called again once the answer is known
    case ledger::verdict::answer:
        release(request, std::nullopt);
        finish(request, recorded_response(*decision.known));
        break;
    case ledger::verdict::in_doubt:
        release(request, std::nullopt);
        // Without a record, this gate could not read the window from a majority, so the request may have run.
        finish(request, unknown_response(decision.known ? refusal::in_doubt : refusal::ledger_unavailable));
        break;
    case ledger::verdict::conflict:
        release(request, std::nullopt);
        finish(request, not_run_response(refusal::invalid_request));
        break;
    case ledger::verdict::unavailable:
        release(request, std::nullopt);
        finish(request, not_run_response(refusal::ledger_unavailable, std::chrono::seconds(1)));
        break;
    case ledger::verdict::stale:
        // This gate will not run the request, but the next gate may have.
        release(request, std::nullopt);
        finish(request, unknown_response(refusal::stale_route));
        break;
    }
    dispatch_waiting();
}

void upstream_gate::on_ledger_check(const gate_request_ptr& request, const ledger::decision& found,
                                    const wire::ForwardResponse& refused) {
    switch (found.result) {
    case ledger::verdict::answer:
        finish(request, recorded_response(*found.known));
        break;
    case ledger::verdict::unavailable:
        finish(request, refused);
        break;
    case ledger::verdict::conflict:
        finish(request, not_run_response(refusal::invalid_request));
        break;
    case ledger::verdict::stale:
        finish(request, unknown_response(refusal::stale_route));
        break;
    case ledger::verdict::in_doubt:
    case ledger::verdict::dispatch:
    case ledger::verdict::wait:
        finish(request, unknown_response(found.known ? refusal::in_doubt : refusal::ledger_unavailable));
        break;
    }
}

http_call upstream_gate::make_call(gate_request& request, time_point now) {
    const duration left = request.deadline - now;
    const auto left_ms =
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    request.attempt_id = shared_.settings.name + "-" + std::to_string(row_.epoch) + "-" +
                         std::to_string(next_attempt_number());
    http_call call;
    call.method = request.wire.method;
    call.url = "http://" + row_.address + request.wire.target;
    call.body = request.wire.body;
    call.timeout = left;
    call.connect_timeout = std::min<duration>(left, std::chrono::milliseconds(250));
    call.headers = {{"Kingcupseam-Request-Id", request.attempt_id},
                    {"Kingcupseam-Service", request.wire.service_name},
                    {"Kingcupseam-Key", request.wire.key},
                    {"Kingcupseam-Shard", std::to_string(request.wire.shard)},
                    {"Kingcupseam-Epoch", std::to_string(row_.epoch)},
                    {"Kingcupseam-Deadline-Ms", std::to_string(left_ms)}};
    for (const auto& field : request.wire.headers) {
        call.headers.emplace_back(field.name, field.value);
    }
    if (!request.wire.idempotency_key.empty()) {
        call.headers.emplace_back("Idempotency-Key", request.wire.idempotency_key);
    }
    if (const auto renewal = grants_.issuer().renew_with_request(now, shared_.lease_end())) {
        const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(renewal->lease);
        call.headers.emplace_back("Kingcupseam-Token", renewal->token);
        call.headers.emplace_back("Kingcupseam-Lease-Ms", std::to_string(lease.count()));
    }
    return call;
}

void upstream_gate::send(const gate_request_ptr& request) {
    const time_point now = steady_now();
    ++request->attempts;
    request->sent = now;
    request->in_flight = true;
    request->client_call =
        client_->send(make_call(*request, now), [this, alive = alive_, request](const http_result& it) {
            if (*alive && request->in_flight) {
                request->in_flight = false;
                on_result(request, it);
            }
        });
}

void upstream_gate::on_result(const gate_request_ptr& request, const http_result& result) {
    if (result.failure == http_failure::none &&
        header_of(result.answer, request_id_header) == request->attempt_id) {
        on_answer(request, result.answer);
    } else if (result.failure == http_failure::none) {
        // The answer belongs to another request or lacks an id, so it must not reach this caller.
        shared_.registry
            .counter_of("kingcupseam_crossed_answers_total",
                        "Answers that did not carry the id of their request")
            .add();
        on_failure(request, http_failure::broken);
    } else {
        on_failure(request, result.failure);
    }
    dispatch_waiting();
}

void upstream_gate::on_answer(const gate_request_ptr& request, const http_response& answer) {
    const time_point now = steady_now();
    if (const auto token = header_of(answer, token_header); !token.empty()) {
        grants_.issuer().on_token(token, now, request->sent);
    }
    const auto not_started = header_of(answer, not_started_header);
    if (!not_started.empty()) {
        const refusal reason = not_started == "shed"       ? refusal::upstream_shed
                               : not_started == "deadline" ? refusal::deadline
                                                           : refusal::stale_route;
        release(request, std::nullopt);
        on_not_run(request, reason, reason == refusal::upstream_shed);
        return;
    }
    const duration service_time = now - request->sent;
    health_.on_answer(service_time, now);
    release(request, service_time);
    if (request->exclusive) {
        if (const auto cleared = shared_.poison_requests.on_survived(request->digest, now)) {
            shared_.broadcast_poison_requests({*cleared});
        }
    }
    const auto content_type = header_of(answer, "content-type");
    if (uses_ledger(*request)) {
        auto record = record_of(*request, ledger::record_state::answered);
        record.status = answer.status;
        if (content_type.size() + answer.body.size() < max_recorded_answer) {
            record.answer = content_type + "\n" + answer.body;
        }
        shared_.ledger.finish(record);
    }
    finish(request, ran_response(answer.status, content_type, answer.body));
}

void upstream_gate::on_failure(const gate_request_ptr& request, http_failure failure) {
    const time_point now = steady_now();
    if (failure == http_failure::not_connected || failure == http_failure::not_sent) {
        release(request, std::nullopt);
        if (failure == http_failure::not_connected) {
            on_connect_failed(now);
        }
        on_not_run(request, refusal::upstream_failed, true);
        return;
    }
    if (failure == http_failure::broken || failure == http_failure::cut_off) {
        health_.on_connection_broken(now);
        recently_disconnected_[request->digest] = now;
    } else {
        health_.on_timeout(now);
    }
    query_outcome(request);
}

void upstream_gate::query_outcome(const gate_request_ptr& request) {
    cancel_attempt(request->attempt_id, [this, request](const http_result& result, const std::string& state) {
        const time_point now = steady_now();
        if (result.failure == http_failure::not_connected) {
            on_connect_failed(now);
        }
        if (state == "running" && running_.erase(request->ticket) != 0) {
            hold_slot(request->ticket, request->attempt_id, now + max_slot_hold);
        } else {
            release(request, std::nullopt);
        }
        if (state == "cancelled" || state == "not-seen") {
            on_not_run(request, refusal::deadline, true);
        } else {
            on_may_have_run(request, refusal::upstream_failed);
        }
        dispatch_waiting();
    });
}

void upstream_gate::on_not_run(const gate_request_ptr& request, refusal reason, bool retry_wanted) {
    if (uses_ledger(*request)) {
        shared_.ledger.finish(record_of(*request, ledger::record_state::not_run));
    }
    if (running_.count(request->ticket) != 0) {
        release(request, std::nullopt);
    }
    if (retry_wanted && retry(request)) {
        return;
    }
    finish(request, not_run_response(reason));
}

void upstream_gate::on_may_have_run(const gate_request_ptr& request, refusal reason) {
    if (request->wire.at_most_once) {
        if (uses_ledger(*request)) {
            shared_.ledger.abandon(request->wire.service_name,
                                   static_cast<std::uint32_t>(request->wire.shard),
                                   request->wire.idempotency_key);
        }
        finish(request, unknown_response(reason));
        return;
    }
    request->may_have_run = true;
    if (!retry(request)) {
        finish(request, unknown_response(reason));
    }
}

bool upstream_gate::retry(const gate_request_ptr& request) {
    const time_point now = steady_now();
    if (handed_over_ || !may_dispatch(now)) {
        return false;
    }
    const auto backoff = retries_.try_retry(request->attempts, request->deadline, now);
    if (!backoff) {
        return false;
    }
    auto timer = std::make_shared<asio::steady_timer>(shared_.io, *backoff);
    timer->async_wait([this, alive = alive_, request, timer](const asio::error_code&) {
        if (!*alive) {
            return;
        }
        if (handed_over_) {
            finish(request, not_run_response(refusal::stale_route));
            return;
        }
        request->exclusive = shared_.poison_requests.status_of(request->digest, steady_now()) !=
                             admission::poison_request_list::status::clear;
        admit(request);
        dispatch_waiting();
    });
    return true;
}

void upstream_gate::release(const gate_request_ptr& request, std::optional<duration> service_time) {
    if (running_.erase(request->ticket) != 0) {
        queue_->finished(request->ticket, service_time, steady_now());
    }
}

} // namespace kingcupseam::app
