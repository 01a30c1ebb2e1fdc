#include "app/instance/entry.h"

#include "app/instance/refusal_answer.h"

#include <algorithm>

namespace kingcupseam::app {

namespace {

// Delay between attempts while a key has no owner or its gate is being replaced: a tenth of the 100 ms that
// assignment and grant may take after a loss.
constexpr duration reroute_delay = std::chrono::milliseconds(10);
// The gate answers by the deadline; the margin covers the transfer of the answer.
constexpr duration reply_margin = std::chrono::milliseconds(50);
constexpr std::size_t max_idempotency_key = 128;

bool valid_idempotency_key(const std::string& key) {
    return !key.empty() && key.size() <= max_idempotency_key &&
           std::all_of(key.begin(), key.end(), [](char it) { return it > ' ' && it < 0x7f; });
}

void copy_header(const http_request& from, const std::string& name, wire::ForwardRequest& to) {
    if (auto value = from.header(name); !value.empty()) {
        wire::HeaderField field;
        field.name = name;
        field.value = std::move(value);
        to.headers.push_back(std::move(field));
    }
}

} // namespace

entry::entry(asio::io_context& context, const settings::instance_settings& settings,
             std::uint64_t incarnation, const view_holder& views, metrics::registry& registry,
             local_gate gate)
    : context_(context), settings_(settings), views_(views), registry_(registry), gate_(std::move(gate)),
      mesh_(context, {{settings.name, incarnation}, settings.data_center},
            {settings.heartbeat_interval, settings.heartbeat_timeout}, [](const auto&, const auto&) {}) {
    server_ = std::make_unique<http_server>(
        context, http_server_options{.name = "callers", .listen = settings.caller_listen},
        [this](const http_request& request, http_reply reply) { handle(request, std::move(reply)); });
}

void entry::on_view_changed() {
    const auto view = views_.load();
    for (const auto& [data_center, rows] : view->tables) {
        for (const auto& row : rows->upstreams) {
            const auto it = view->instances.find(row.gate);
            if (it != view->instances.end() && row.gate != settings_.name) {
                mesh_.link_to(row.gate, traffic_address(it->second.address));
            }
        }
    }
}

void entry::handle(const http_request& request, http_reply reply) {
    // The entry cannot read the ledger, and an earlier request with this key may have run through another
    // instance, so `not-run` is claimed only for requests without a key.
    const auto key = request.header("Idempotency-Key");
    const auto claim = key.empty() ? outcome::not_run : outcome::unknown;
    const auto refuse = [&](refusal reason, duration retry_after = duration{0}) {
        reply(refusal_answer(refusal_response(claim, reason, retry_after)));
    };
    if (stopping_) {
        refuse(refusal::shutting_down, std::chrono::seconds(1));
        return;
    }
    const auto view = views_.load();
    if (!view->rules || view->rules->empty()) {
        refuse(refusal::no_profile, std::chrono::seconds(1));
        return;
    }
    const auto matched = view->rules->find(request.method, request.path());
    if (!matched) {
        refuse(refusal::no_rule);
        return;
    }
    const bool at_most_once = matched->matched_rule->runs == execution::at_most_once;
    if (at_most_once && key.empty()) {
        refuse(refusal::missing_idempotency_key);
        return;
    }
    if (at_most_once && !valid_idempotency_key(key)) {
        reply(refusal_answer(not_run_response(refusal::invalid_request))); // no instance accepts such a key
        return;
    }
    if (request.body.size() > matched->matched_rule->max_body_bytes) {
        refuse(refusal::invalid_request);
        return;
    }
    ++in_flight_;
    route(make_request(request, *matched, std::move(reply)));
}

entry::request_ptr entry::make_request(const http_request& request, const profile::match& matched,
                                       http_reply reply) const {
    auto it = std::make_shared<in_flight_request>();
    it->reply = std::move(reply);
    it->arrived = steady_now();
    it->deadline = it->arrived + matched.matched_rule->deadline;
    it->priority = matched.matched_rule->priority;
    it->request.service_name = matched.matched_service->name;
    it->request.shard = static_cast<std::int32_t>(shard_of(matched.key, matched.matched_service->shards));
    it->request.key = matched.key;
    it->request.rank = static_cast<std::int8_t>(matched.matched_rule->priority);
    it->request.at_most_once = matched.matched_rule->runs == execution::at_most_once;
    it->request.method = request.method;
    it->request.target = request.target;
    it->request.body = request.body.str();
    it->request.idempotency_key = request.header("Idempotency-Key");
    copy_header(request, "Content-Type", it->request);
    copy_header(request, "X-Crash", it->request); // makes a stand-in upstream crash, for experiments
    return it;
}

void entry::route(const request_ptr& it) {
    const time_point now = steady_now();
    if (now >= it->deadline) {
        const auto reason = it->attempts == 0 ? it->last_refusal : refusal::deadline;
        finish(it, it->request.at_most_once ? unknown_response(reason) : not_run_response(reason));
        return;
    }
    const auto view = views_.load();
    const auto* owner = view->find_owner(it->request.service_name,
                                         static_cast<std::uint32_t>(it->request.shard), it->request.key);
    if (owner == nullptr || owner->gate.empty()) {
        it->last_refusal = refusal::no_owner;
        schedule_reroute(it);
        return;
    }
    it->request.upstream = owner->name;
    it->request.epoch = static_cast<std::int64_t>(owner->epoch);
    it->request.deadline_us = (it->deadline - now).count();
    if (settings_.routing == settings::routing_mode::direct) {
        forward(it, settings_.name);
        return;
    }
    const bool gate_down = owner->gate != settings_.name && it->attempts > 0 && !mesh_.up(owner->gate);
    const bool use_standby = gate_down && !it->request.at_most_once && !owner->standby.empty();
    it->request.to_standby = use_standby;
    forward(it, use_standby ? owner->standby : owner->gate);
}

void entry::forward(const request_ptr& it, const std::string& instance) {
    ++it->attempts;
    if (instance == settings_.name) {
        gate_(it->request, [this, it](const wire::ForwardResponse& response) { on_response(it, response); });
        return;
    }
    const auto view = views_.load();
    const auto known = view->instances.find(instance);
    if (known == view->instances.end()) {
        it->last_refusal = refusal::gate_unreachable;
        schedule_reroute(it);
        return;
    }
    mesh_.link_to(instance, traffic_address(known->second.address))
        .request({transport::frame_type::forward_request, 0, transport::encode(it->request)},
                 duration(it->request.deadline_us) + reply_margin,
                 [this, it](const transport::reply& received) { on_reply(it, received); });
}

void entry::on_reply(const request_ptr& it, const transport::reply& received) {
    if (received.answer) {
        wire::ForwardResponse response;
        try {
            response = transport::decode<wire::ForwardResponse>(received.answer->payload);
        } catch (const transport::malformed_frame&) {
            on_reply(it, {std::nullopt, transport::link_failure::lost});
            throw; // closes the link
        }
        on_response(it, response);
        return;
    }
    // Forwarding an at-most-once request again is safe: a gate that finds its key begun in the ledger answers
    // `unknown`.
    it->may_have_run = it->may_have_run || received.failure != transport::link_failure::not_sent;
    it->last_refusal = it->may_have_run ? refusal::gate_lost : refusal::gate_unreachable;
    schedule_reroute(it);
}

bool entry::should_retry(const in_flight_request& it, const wire::ForwardResponse& response) const {
    const auto result = static_cast<outcome>(response.outcome);
    const auto reason = static_cast<refusal>(response.reason);
    if (result == outcome::ran || steady_now() >= it.deadline) {
        return false;
    }
    if (reason == refusal::stale_route) {
        return true;
    }
    if (result == outcome::unknown) {
        return !it.request.at_most_once && reason == refusal::upstream_failed;
    }
    return reason == refusal::shutting_down || reason == refusal::upstream_failed;
}

void entry::on_response(const request_ptr& it, const wire::ForwardResponse& response) {
    if (should_retry(*it, response)) {
        // A gate that answers stale_route has not run an at-most-once request and will not run it. Whether
        // another gate has run it is for the next gate to find out, from the ledger.
        const bool is_stale_route =
            it->request.at_most_once && static_cast<refusal>(response.reason) == refusal::stale_route;
        it->may_have_run = it->may_have_run ||
                           (!is_stale_route && static_cast<outcome>(response.outcome) == outcome::unknown);
        it->last_refusal = static_cast<refusal>(response.reason);
        schedule_reroute(it);
        return;
    }
    finish(it, response);
}

void entry::schedule_reroute(const request_ptr& it) {
    auto timer = std::make_shared<asio::steady_timer>(context_, reroute_delay);
    timer->async_wait([this, it, timer](const asio::error_code& ec) {
        if (!ec) {
            route(it);
        }
    });
}

void entry::finish(const request_ptr& it, const wire::ForwardResponse& response) {
    wire::ForwardResponse answer = response;
    if (it->may_have_run && static_cast<outcome>(answer.outcome) == outcome::not_run) {
        // An earlier attempt may have run, so `not-run` cannot be claimed.
        answer.outcome = static_cast<std::int8_t>(outcome::unknown);
    }
    count_response(*it, answer);
    --in_flight_;
    it->reply(static_cast<outcome>(answer.outcome) == outcome::ran ? ran_answer(answer)
                                                                   : refusal_answer(answer));
}

void entry::count_response(const in_flight_request& it, const wire::ForwardResponse& response) {
    const metrics::label_set labels{{"service", it.request.service_name},
                                    {"rank", std::string(to_string(it.priority))}};
    auto with_outcome = labels;
    with_outcome["outcome"] = std::string(to_string(static_cast<outcome>(response.outcome)));
    with_outcome["reason"] = std::string(to_string(static_cast<refusal>(response.reason)));
    registry_.counter_of("kingcupseam_requests_total", "Requests answered, by outcome", with_outcome).add();
    registry_
        .histogram_of("kingcupseam_request_seconds", "Time from arrival at the entry to the answer", labels)
        .record(static_cast<std::uint64_t>((steady_now() - it.arrived).count()));
}

void entry::begin_shutdown() {
    stopping_ = true;
}

void entry::stop() {
    server_->stop_accepting();
}

} // namespace kingcupseam::app
