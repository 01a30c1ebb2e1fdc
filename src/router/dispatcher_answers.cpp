#include "router/dispatcher.h"
#include "router/in_flight_request.h"
#include "router/request_digest.h"

#include <spdlog/spdlog.h>

#include <algorithm>

// End of attempts: answers, failures, retries, and the answer to the caller.

namespace kingcupseam::router {

namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;
// A reset within this fraction of the mean service time is early: the request has hardly been served.
constexpr int early_reset_divisor = 2;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Reason for the log of a request that was sent and got no usable answer.
const char* reason_of(exchange_end end) {
    switch (end) {
    case exchange_end::malformed:
        return "malformed-answer";
    case exchange_end::unmatched:
        return "unmatched-answer";
    default:
        return "broken";
    }
}

} // namespace

void dispatcher::on_exchange(const request_ptr& it, exchange_result result) {
    upstream_queue* const from = queue_of_attempt(it);
    const std::string sent_to = it->sent_to.id;
    record_slot_use(it, result.end == exchange_end::answered && result.answer.status / 100 == 2);
    if (result.end == exchange_end::answered) {
        it->used_connections.push_back(result.connection);
        on_answer(it, from, std::move(result.answer));
    } else {
        if (from != nullptr) {
            if (result.end == exchange_end::broken) {
                interrupted_.add(digest_of(it->request, protocol_.id_header()), from->target(), steady_now());
            }
            if (result.end == exchange_end::timeout && it->deadline - it->sent_at < it->route.timeout / 2) {
                record_overdue(it, *from); // the attempt had little time: not a failure of the upstream
            } else if (result.end == exchange_end::broken &&
                       steady_now() - it->sent_at < from->service_time() / early_reset_divisor) {
                from->on_reset_early(steady_now());
            } else {
                from->on_failed(steady_now());
            }
        }
        on_failure(it, result.end);
    }
    // The queue may have been removed while the answer was handled.
    if (const auto again = queues_.find(sent_to); again != queues_.end()) {
        send_queued(*again->second);
    }
}

void dispatcher::on_answer(const request_ptr& it, upstream_queue* from, app::http_response answer) {
    const time_point now = steady_now();
    const answer_metadata metadata = protocol_.read_answer(it->request, answer);
    if (from != nullptr && !metadata.wrong_upstream) {
        on_asked(*from, metadata.asked);
    }
    if (metadata.not_executed) {
        --it->possible_runs;
        if (from != nullptr) {
            if (metadata.wrong_upstream) {
                from->on_ended();
            } else {
                from->on_shed(metadata.load, now);
            }
        }
        if (it->gate_request_number != 0) {
            retry_past_gate(it);
            return;
        }
        if (metadata.wrong_upstream) {
            on_wrong_owner(it, now);
        } else {
            retry_or_end(it, "shed", settings_.shed_backoff);
        }
        return;
    }
    if (!poison_requests_.empty()) {
        const auto digest = digest_of(it->request, protocol_.id_header());
        if (poison_requests_.needs_answer_report(digest)) {
            report_.survived.insert(digest);
        }
    }
    const duration service_time = now - it->sent_at;
    if (from != nullptr) {
        from->on_answered(service_time, metadata.load, now);
        if (metadata.load && metadata.load->waiting == 0 && answer.status < status_bad_request) {
            auto& measured = report_.upstreams[it->upstream];
            ++measured.answers;
            measured.total += service_time;
        }
    }
    const bool success = answer.status / 100 == 2;
    if ((success && !metadata.authentic) || metadata.unproven_refusal) {
        it->in_doubt = true;
        on_failure(it, exchange_end::malformed);
        return;
    }
    if (!success && answer.status >= 500 && it->answer_by() - now > settings_.min_attempt_time * 2) {
        it->last_failed_upstream = it->upstream;
        it->in_doubt = true;
        if (it->gate_request_number != 0) {
            retry_past_gate(it);
            return;
        }
        if (retry_immediately(it)) {
            return;
        }
    }
    it->answered_by = it->sent_to;
    finish(it, protocol_.write_answer(std::move(answer)), "answered");
}

void dispatcher::on_failure(const request_ptr& it, exchange_end end) {
    const time_point now = steady_now();
    it->last_failed_upstream = it->upstream;
    if (end == exchange_end::not_sent) {
        --it->possible_runs;
        --it->send_count;
    } else {
        it->in_doubt = true;
    }
    if (it->gate_request_number != 0) {
        retry_past_gate(it); // its run at the gate goes on
        return;
    }
    if (end == exchange_end::not_sent) {
        retry_or_end(it, "unreachable", settings_.shed_backoff);
        return;
    }
    if (end == exchange_end::timeout || now + settings_.min_attempt_time >= it->answer_by()) {
        fail(it, status_gateway_timeout, "timeout");
        return;
    }
    if (retry_immediately(it)) {
        return;
    }
    fail(it, status_bad_gateway, reason_of(end));
}

bool dispatcher::may_retry(const in_flight_request& it, int possible_runs) {
    return it.route.runs == execution::idempotent && possible_runs < it.route.attempts &&
           budget_of(it.service).try_retry(entry_count_, steady_now());
}

bool dispatcher::retry_immediately(const request_ptr& it) {
    if (!may_retry(*it, it->possible_runs)) {
        return false;
    }
    dispatch(it);
    return true;
}

void dispatcher::on_wrong_owner(const request_ptr& it, time_point now) {
    it->last_failed_upstream = it->keyed ? it->last_failed_upstream : it->upstream;
    if (!it->keyed || now - directory_updated_at_ < settings_.grant_delay) {
        retry_or_end(it, "wrong-owner", settings_.shed_backoff / 2);
    } else if (budget_of(it->service).try_retry(entry_count_, now)) {
        // The key is being released; a directory update will name the next owner.
        wait_for_owner(it);
    } else {
        retry_or_end(it, "wrong-owner", settings_.shed_backoff);
    }
}

void dispatcher::retry_or_end(const request_ptr& it, const char* reason, duration delay) {
    const time_point now = steady_now();
    const bool time_left = now + delay + settings_.min_attempt_time < it->answer_by();
    const bool retry = it->send_count > 0;
    if (!time_left || now - it->arrived > it->route.target_latency ||
        (retry && !budget_of(it->service).try_retry(entry_count_, now))) {
        refuse_or_fail(it, status_bad_gateway, reason);
        return;
    }
    it->wait_timer.expires_after(delay);
    it->wait_timer.async_wait([this, it](const asio::error_code& ec) {
        if (!ec && requests_.contains(it->id)) {
            dispatch(it);
        }
    });
}

void dispatcher::cancel_attempt(const request_ptr& it) {
    client_.cancel(it->exchange_id);
    it->exchange_id = 0;
    record_slot_use(it, false);
    if (upstream_queue* const queue = queue_of_attempt(it)) {
        record_overdue(it, *queue);
        send_queued(*queue);
    }
}

void dispatcher::cancel_attempts(const request_ptr& it) {
    if (it->exchange_id != 0) {
        cancel_attempt(it);
    }
    if (it->gate_request_number != 0) {
        gates_->withdraw(it->gate, std::exchange(it->gate_request_number, 0));
    }
}

upstream_queue* dispatcher::queue_of_attempt(const request_ptr& it) {
    const auto found = queues_.find(it->sent_to.id);
    return found != queues_.end() && found->second->target().incarnation == it->sent_to ? found->second.get()
                                                                                        : nullptr;
}

void dispatcher::record_slot_use(const request_ptr& it, bool answered) {
    const time_point now = steady_now();
    const bool late = now - it->arrived > it->route.target_latency;
    const slot_result result = !answered ? slot_result::lost
                               : late    ? slot_result::late
                                         : slot_result::in_time;
    slot_usage_.on_ended(result, now - it->sent_at);
}

void dispatcher::record_overdue(const request_ptr& it, upstream_queue& queue) {
    const duration elapsed = steady_now() - it->sent_at;
    if (elapsed > queue.service_time()) {
        auto& measured = report_.upstreams[it->upstream];
        ++measured.answers;
        measured.total += elapsed;
    }
    queue.on_overdue(elapsed);
}

void dispatcher::on_timeout(const request_ptr& it) {
    if (it->exchange_id != 0 || it->gate_request_number != 0) {
        it->in_doubt = true;
        fail(it, status_gateway_timeout, it->gate_request_number != 0 ? "gate-timeout" : "timeout");
        return;
    }
    refuse_or_fail(it, status_gateway_timeout, it->in_doubt ? "timeout" : "deadline");
}

void dispatcher::refuse_or_fail(const request_ptr& it, int status_in_doubt, const char* reason) {
    if (it->in_doubt) {
        fail(it, status_in_doubt, reason);
    } else {
        refuse(it, reason);
    }
}

void dispatcher::refuse(const request_ptr& it, const char* reason, duration retry_after) {
    slot_usage_.on_refused();
    app::http_response answer{status_unavailable, {}, {}, false};
    answer.headers.emplace_back("Retry-After", fmt::format("{:.3f}", seconds(retry_after)));
    spdlog::info("request id={} outcome=not-run reason={} service={} upstream={} age_ms={} directory={}",
                 it->request.id, reason, it->service, it->upstream,
                 (steady_now() - it->arrived).count() / microseconds_per_millisecond, directory_->index);
    finish(it, std::move(answer), reason);
}

void dispatcher::fail(const request_ptr& it, int status, const char* reason) {
    spdlog::info("request id={} outcome={} status={} reason={} service={} upstream={} age_ms={} limit_ms={} "
                 "limited_by={} directory={}",
                 it->request.id, it->in_doubt ? "unknown" : "failed", status, reason, it->service,
                 it->upstream, (steady_now() - it->arrived).count() / microseconds_per_millisecond,
                 (it->deadline - it->arrived).count() / microseconds_per_millisecond, it->limited_by,
                 directory_->index);
    finish(it, {status, {}, {}, false}, reason);
}

void dispatcher::finish(const request_ptr& it, app::http_response answer, const char* outcome) {
    registry_
        .counter_of("requests_total", "requests by service and outcome",
                    {{"service", it->service}, {"outcome", outcome}})
        .add();
    registry_
        .histogram_of("request_seconds", "time from the arrival of a request to its answer",
                      {{"service", it->service}})
        .record(static_cast<std::uint64_t>((steady_now() - it->arrived).count()));
    const time_point now = steady_now();
    if (answer.status / 100 == 2 && now - it->arrived > it->route.target_latency) {
        spdlog::info("request id={} outcome=late service={} upstream={} age_ms={} sent_ms_ago={} arrivals={} "
                     "directory={}",
                     it->request.id, it->service, it->upstream,
                     (now - it->arrived).count() / microseconds_per_millisecond,
                     (now - it->sent_at).count() / microseconds_per_millisecond, it->send_count,
                     directory_->index);
    }
    answer.close = answer.close || draining_;
    cancel_attempts(it);
    remove(it);
    it->reply(std::move(answer));
}

} // namespace kingcupseam::router
