#include "router/dispatcher.h"
#include "router/in_flight_request.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

// Requests that are forwarded to the gates of their upstreams, and requests from other entries.

namespace kingcupseam::router {

namespace {

// A larger body is sent directly to the upstream, since a frame holds a whole request.
constexpr std::size_t max_routed_body_bytes = std::size_t{512} * 1024;
// A gate forwards a request once more if the key moved while the request was queued. More hops could form a
// loop between entries that disagree on the gate.
constexpr std::int32_t max_hops = 2;
// The gate ends the request at the same deadline; this extra wait lets its more precise answer arrive.
constexpr duration gate_answer_time = std::chrono::milliseconds(25);
constexpr duration link_reserve = std::chrono::milliseconds(75);

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

bool dispatcher::forward_to_gate(const request_ptr& it, const upstream_queue& queue) {
    if (gates_ == nullptr || !it->keyed || it->bypass_gate || it->hops >= max_hops ||
        it->request.body.size() > max_routed_body_bytes) {
        return false;
    }
    const time_point now = steady_now();
    if (it->answer_by() - now < settings_.min_attempt_time) {
        return false;
    }
    it->gate = gates_->gate_of(queue.target());
    if (it->gate.empty()) {
        return false;
    }
    routed_request out;
    out.request = it->request;
    out.service = it->service;
    out.runs = it->route.runs;
    out.priority = it->route.priority;
    out.attempts = it->route.attempts;
    out.hops = it->hops + 1;
    const duration_estimate& links = link_times_[it->gate];
    out.time_left = it->deadline - now;
    // An estimate must not shorten the time of a request that runs: only what waits at the gate ends earlier.
    out.answer_time = std::min(it->answer_time + links.upper(), out.time_left / 2);
    out.target_time_left = it->arrived + it->route.target_latency - now - links.mean();
    it->gate_limit = out.time_left;
    it->upstream = queue.target().incarnation.id;
    it->sent_at = now;
    it->forwarded_at = now;
    const duration limit = it->deadline - now + gate_answer_time;
    start_deadline_timer(it, limit);
    // This entry withdraws the request at its own limit, before the link gives it up.
    const auto on_result = [this, it](routed_result result) {
        if (!requests_.contains(it->id)) {
            return;
        }
        if (result.end == routed_end::silent) {
            it->run_step([&] { on_gate_silent(it); });
            return;
        }
        it->gate_request_number = 0;
        it->run_step([&] { on_routed(it, std::move(result)); });
    };
    it->run_step([&] {
        it->gate_request_number = gates_->forward(it->gate, std::move(out), limit + link_reserve, on_result);
    });
    return true;
}

void dispatcher::on_routed(const request_ptr& it, routed_result result) {
    if (result.end == routed_end::answered) {
        // The gate's clock may run faster, and its answer may hold any number.
        const duration elapsed = steady_now() - it->forwarded_at;
        const duration on_links = std::clamp(elapsed - result.handled, duration::zero(), elapsed);
        link_times_[it->gate].add(on_links);
        slot_usage_.on_forwarded(on_links);
        it->answered_by = result.answered_by;
        if (result.answered_by.id.empty() && result.answer.status / 100 != 2) {
            on_gate_failure(it, std::move(result));
            return;
        }
        // The gate reports it. This entry stops as well to send to the upstream itself, should the gate be
        // lost. The gate may have passed the request on to another upstream than the one of this entry.
        const auto queue = queues_.find(result.answered_by.id);
        if (queue != queues_.end() && queue->second->target().incarnation == result.answered_by &&
            protocol_.read_answer(it->request, result.answer).asked.leaving) {
            queue->second->set_leaving(steady_now() + settings_.leaving_send_time);
        }
        finish(it, std::move(result.answer), "routed");
        return;
    }
    if (result.end == routed_end::not_accepted) {
        on_not_run_at_gate(*it);
        it->bypass_gate = true;
        if (it->exchange_id == 0) {
            dispatch(it);
        }
        return;
    }
    log_gate_left(*it, "lost");
    count_run_at_gate(*it);
    it->in_doubt = true;
    if (it->exchange_id != 0 || retry_immediately(it)) {
        return;
    }
    fail(it, status_bad_gateway, "gate-lost");
}

void dispatcher::on_gate_failure(const request_ptr& it, routed_result result) {
    const bool refused = result.answer.status == status_unavailable;
    if (refused) {
        on_not_run_at_gate(*it);
    } else {
        log_gate_failure(*it, result);
        it->in_doubt = true;
    }
    if (it->exchange_id != 0) {
        return; // the attempt past the gate may still succeed
    }
    if (refused && it->in_doubt) {
        fail(it, status_bad_gateway, "gate-refused");
        return;
    }
    finish(it, std::move(result.answer), "routed");
}

void dispatcher::on_not_run_at_gate(in_flight_request& it) {
    if (it.bypass_gate) {
        --it.possible_runs;
        --it.send_count;
    }
}

void dispatcher::count_run_at_gate(in_flight_request& it) {
    if (!it.bypass_gate) {
        it.bypass_gate = true;
        ++it.send_count;
        ++it.possible_runs;
    }
}

void dispatcher::on_gate_silent(const request_ptr& it) {
    // Its upstream may be at work: silence must not end that run.
    const time_point now = steady_now();
    upstream_queue* const queue = select_upstream(it);
    if (it->gate_request_number == 0 || it->exchange_id != 0 || queue == nullptr || queue->stopped(now) ||
        !queue->can_send(now) || it->answer_by() - now < min_useful_time(*queue) ||
        !may_retry(*it, it->possible_runs + (it->bypass_gate ? 0 : 1))) {
        return;
    }
    log_gate_left(*it, "silent");
    count_run_at_gate(*it);
    send(it, *queue);
}

void dispatcher::retry_past_gate(const request_ptr& it) {
    if (steady_now() + settings_.shed_backoff - it->arrived > it->route.target_latency) {
        return;
    }
    it->wait_timer.expires_after(settings_.shed_backoff);
    it->wait_timer.async_wait([this, it](const asio::error_code& ec) {
        if (!ec && requests_.contains(it->id)) {
            on_gate_silent(it);
        }
    });
}

void dispatcher::log_gate_failure(const in_flight_request& it, const routed_result& result) {
    const time_point now = steady_now();
    spdlog::info("gate failed request id={} status={} gate={} given_ms={} handled_ms={} left_ms={}",
                 it.request.id, result.answer.status, it.gate, milliseconds(it.gate_limit),
                 milliseconds(result.handled), milliseconds(it.deadline - now));
}

void dispatcher::log_gate_left(const in_flight_request& it, const char* reason) {
    const time_point now = steady_now();
    spdlog::info("gate left id={} gate={} reason={} forwarded_ms_ago={} left_ms={}", it.request.id, it.gate,
                 reason, milliseconds(now - it.forwarded_at), milliseconds(it.deadline - now));
}

void dispatcher::log_run_cut(const in_flight_request& it, const char* reason) {
    const time_point now = steady_now();
    spdlog::info("run cut id={} upstream={} reason={} sent_ms_ago={} left_ms={}", it.request.id, it.upstream,
                 reason, milliseconds(now - it.sent_at), milliseconds(it.deadline - now));
}

bool dispatcher::handle_routed(routed_request received, std::uint64_t connection, std::uint64_t number,
                               routed_reply reply) {
    const time_point now = steady_now();
    // The end of this process must not cut a request that another entry could let run.
    if (refusing_new_requests_ || !directory_->config || now + received.time_left > last_deadline_) {
        return false;
    }
    const auto it = std::make_shared<in_flight_request>(context_, next_request_id_++,
                                                        std::move(received.request), app::http_reply(), now);
    it->reply = [reply = std::move(reply), request = it.get()](app::http_response answer) {
        reply(std::move(answer), request->answered_by);
    };
    it->request.connection = connection;
    it->peer_request_number = number;
    it->hops = received.hops;
    it->service = std::move(received.service);
    it->keyed = has_key_ranges(it->service);
    it->route.runs = received.runs;
    it->route.priority = received.priority;
    it->route.attempts = received.attempts;
    it->route.target_latency = received.target_time_left;
    it->route.timeout = received.time_left;
    it->answer_time = received.answer_time;
    it->limited_by = "forwarder";
    requests_.emplace(it->id, it);
    set_deadline(it, now + received.time_left);
    if (is_refused_poison_request(it)) {
        refuse(it, "crashes-upstreams");
        return true;
    }
    dispatch(it);
    return true;
}

void dispatcher::withdraw_routed(std::uint64_t connection, std::uint64_t number) {
    for (const auto& [id, it] : requests_) {
        if (it->request.connection == connection && it->peer_request_number == number) {
            const request_ptr found = it;
            withdraw(found, "withdrawn");
            return;
        }
    }
}

void dispatcher::update_gates() {
    if (gates_ == nullptr) {
        return;
    }
    std::vector<const directory::upstream*> gated;
    for (const auto& [id, it] : directory_->upstreams) {
        if (it.accepts_work() && has_key_ranges(it.service)) {
            gated.push_back(&it);
        }
    }
    gates_->set_upstreams(gated);
}

void dispatcher::log_slot_usage() {
    int slots = 0;
    std::size_t waiting = 0;
    for (const auto& [id, it] : queues_) {
        if (gates_ != nullptr && has_key_ranges(it->target().service) &&
            gates_->gate_of(it->target()).empty()) {
            slots += it->target().slots;
        }
        waiting += it->waiting();
    }
    if (const auto text = slot_usage_.take(slots, waiting, steady_now())) {
        spdlog::info("slot usage {}", *text);
    }
}

} // namespace kingcupseam::router
