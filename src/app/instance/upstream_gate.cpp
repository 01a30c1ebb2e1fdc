#include "app/instance/upstream_gate.h"

#include <kingcupseam/profile.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

// The leader assigns another gate 400 ms after the last renewal, while the lease lasts 600 ms. During the
// difference and 5 ms of clock drift, the next gate may already dispatch requests of the same key.
constexpr duration takeover_before_lease_end = std::chrono::milliseconds(205);

admission::queue_options queue_options_of(const ownership::upstream_row& row) {
    admission::queue_options options;
    options.slots = std::max(1U, row.slots);
    return options;
}

std::array<admission::rank_policy, rank_count> rank_policies(const profile::profile& source) {
    std::array<admission::rank_policy, rank_count> result;
    for (std::size_t n = 0; n < rank_count; ++n) {
        result[n] = {source.ranks[n].guaranteed_share, source.ranks[n].max_waiting};
    }
    return result;
}

std::unique_ptr<admission::queue> make_queue(settings::routing_mode mode,
                                             const ownership::upstream_row& row) {
    return mode == settings::routing_mode::gate
               ? admission::make_priority_queue_with_shares(queue_options_of(row))
               : admission::make_fifo_queue(queue_options_of(row));
}

} // namespace

upstream_gate::upstream_gate(gate_context& shared, const ownership::upstream_row& row)
    : shared_(shared), row_(row),
      client_(std::make_unique<http_client>(
          shared.io, http_client::options{.max_connections_per_host = row.connections})),
      probe_client_(shared.io, {.max_connections_per_host = 4}),
      queue_(make_queue(shared.settings.routing, row)), retries_({}, row.incarnation),
      health_({}, steady_now()),
      grants_(shared.io, row.address, shared.settings.grant_lease, shared.settings.grant_interval,
              {[](time_point) {}, [this](time_point now) { on_connect_failed(now); },
               [this](const grant_pusher::load_report& it) {
                   health_.on_reported_load(it.in_flight, it.slots, steady_now());
               }}) {}

upstream_gate::~upstream_gate() {
    *alive_ = false;
}

void upstream_gate::update(const ownership::table& rows, const ownership::upstream_row& next) {
    if (next.epoch != row_.epoch || next.version != row_.version || !grants_.contacted()) {
        grants_.assign(next.epoch, next.version, scope_of(rows, next));
    }
    row_ = next;
    handed_over_ = false;
    const auto rules = shared_.views.load()->rules;
    if (rules && rules != rules_) {
        rules_ = rules;
        if (const auto* profile = rules->profile_of(row_.service)) {
            queue_->set_policy(rank_policies(*profile));
        }
    }
    dispatch_waiting();
}

bool upstream_gate::may_dispatch(time_point now) const {
    if (shared_.settings.routing == settings::routing_mode::direct) {
        return true;
    }
    return holds_lease(now) && grants_.issuer().may_dispatch(now);
}

bool upstream_gate::still_owner(const gate_request& request) const {
    const auto view = shared_.views.load();
    const auto* owner = view->find_owner(request.wire.service_name,
                                         static_cast<std::uint32_t>(request.wire.shard), request.wire.key);
    return owner != nullptr && owner->name == row_.name;
}

void upstream_gate::submit(const gate_request_ptr& request) {
    if (handed_over_ || !still_owner(*request)) {
        finish(request, not_run_response(refusal::stale_route));
        return;
    }
    const auto poison_status = shared_.poison_requests.status_of(request->digest, request->arrived);
    if (poison_status == admission::poison_request_list::status::refused) {
        refuse(request, refusal::crashes_upstreams);
        return;
    }
    request->exclusive = poison_status == admission::poison_request_list::status::suspected;
    if (request->wire.at_most_once) {
        const auto duplicate = by_key_.find(request->wire.idempotency_key);
        if (duplicate != by_key_.end()) {
            if (duplicate->second->digest != request->digest) {
                refuse(request, refusal::invalid_request);
                return;
            }
            std::move(request->waiters.begin(), request->waiters.end(),
                      std::back_inserter(duplicate->second->waiters));
            return;
        }
        by_key_.emplace(request->wire.idempotency_key, request);
    }
    if (uses_ledger(*request) &&
        shared_.ledger.expired(request->wire.service_name, request->wire.idempotency_key, request->arrived)) {
        refuse(request, refusal::expired_key);
        return;
    }
    retries_.on_first_attempt(request->arrived);
    admit(request);
    dispatch_waiting();
}

void upstream_gate::admit(const gate_request_ptr& request) {
    const time_point now = steady_now();
    request->ticket = next_ticket_++;
    const admission::queued_request ticket{request->ticket, request->priority(), request->arrived,
                                           request->deadline, request->exclusive};
    switch (queue_->admit(ticket, now)) {
    case admission::admit_result::admitted:
        waiting_.emplace(request->ticket, request);
        break;
    case admission::admit_result::queue_full:
        refuse(request, refusal::queue_full, std::chrono::seconds(1));
        break;
    case admission::admit_result::would_miss_deadline:
        refuse(request, refusal::deadline);
        break;
    }
}

void upstream_gate::dispatch_waiting() {
    const time_point now = steady_now();
    if (!may_dispatch(now)) {
        return;
    }
    std::vector<admission::queued_request> expired;
    while (const auto ticket = queue_->next(now, expired)) {
        const auto it = waiting_.find(ticket->id);
        const auto request = it->second;
        waiting_.erase(it);
        running_.emplace(ticket->id, request);
        dispatch(request);
    }
    for (const auto& ticket : expired) {
        const auto it = waiting_.find(ticket.id);
        const auto request = it->second;
        waiting_.erase(it);
        refuse(request, refusal::deadline);
    }
}

void upstream_gate::refuse_expired(time_point now) {
    std::vector<gate_request_ptr> expired;
    for (const auto& [ticket, request] : waiting_) {
        if (request->deadline <= now) {
            expired.push_back(request);
        }
    }
    for (const auto& request : expired) {
        queue_->cancel(request->ticket);
        waiting_.erase(request->ticket);
        refuse(request, refusal::deadline);
    }
}

void upstream_gate::tick(time_point now) {
    if (shared_.settings.routing == settings::routing_mode::gate || row_.gate == shared_.settings.name) {
        if (!handed_over_) {
            grants_.push_if_due(now, shared_.lease_end());
        }
    }
    queue_->set_slots(row_.slots * health_.slot_fraction(now));
    refuse_expired(now);
    check_silence(now);
    std::erase_if(recently_disconnected_,
                  [now](const auto& it) { return now - it.second > std::chrono::seconds(1); });
    dispatch_waiting();
}

void upstream_gate::hand_over() {
    handed_over_ = true;
    queue_->drain();
    const auto refused = std::exchange(waiting_, {});
    for (const auto& [ticket, request] : refused) {
        finish(request, not_run_response(refusal::stale_route));
    }
}

bool upstream_gate::uses_ledger(const gate_request& request) const {
    return request.wire.at_most_once && shared_.settings.routing == settings::routing_mode::gate;
}

bool upstream_gate::holds_lease(time_point now) const {
    return !handed_over_ && now < shared_.lease_end();
}

bool upstream_gate::may_claim_not_run(const gate_request& request) const {
    return holds_lease(steady_now() + takeover_before_lease_end) && still_owner(request);
}

void upstream_gate::refuse(const gate_request_ptr& request, refusal reason, duration retry_after) {
    const auto refused = not_run_response(reason, retry_after);
    if (!uses_ledger(*request)) {
        finish(request, refused);
        return;
    }
    shared_.ledger.look_up(record_of(*request, ledger::record_state::begun),
                           [this, alive = alive_, request, refused](const ledger::decision& found) {
                               if (*alive) {
                                   on_ledger_check(request, found, refused);
                               }
                           });
}

void upstream_gate::finish(const gate_request_ptr& request, wire::ForwardResponse response) {
    if (request->wire.at_most_once) {
        const auto it = by_key_.find(request->wire.idempotency_key);
        if (it != by_key_.end() && it->second == request) {
            by_key_.erase(it);
        }
    }
    // If this is not the key's gate any more, another gate may have run the request or may still run it.
    const bool not_run_unproven =
        uses_ledger(*request) &&
        (response.reason == static_cast<std::int8_t>(refusal::stale_route) || !may_claim_not_run(*request));
    if ((request->may_have_run || not_run_unproven) &&
        response.outcome == static_cast<std::int8_t>(outcome::not_run)) {
        response.outcome = static_cast<std::int8_t>(outcome::unknown);
    }
    request->answer(response);
}

wire::UpstreamReport upstream_gate::report(time_point now) const {
    wire::UpstreamReport result;
    result.name = row_.name;
    result.incarnation = static_cast<std::int64_t>(row_.incarnation);
    const auto verdict = health_.current(now);
    const bool failed = verdict == admission::upstream_health::status::dead ||
                        verdict == admission::upstream_health::status::frozen || grants_.failing();
    result.health = static_cast<std::int8_t>(failed                ? reported_health::failed
                                             : grants_.contacted() ? reported_health::serving
                                                                   : reported_health::not_contacted);
    result.lease_left_us = std::max<std::int64_t>(0, (grants_.issuer().may_live_until() - now).count());
    result.granted_version = static_cast<std::int64_t>(grants_.acknowledged_version());
    result.in_flight = static_cast<std::int32_t>(running_.size());
    return result;
}

} // namespace kingcupseam::app
