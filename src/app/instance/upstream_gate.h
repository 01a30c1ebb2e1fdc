#pragma once

#include "app/http_client.h"
#include "app/instance/gate_request.h"
#include "app/instance/grant_pusher.h"
#include "app/instance/ledger_host.h"

#include <kingcupseam/admission.h>
#include <kingcupseam/metrics.h>
#include <kingcupseam/settings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace kingcupseam::app {

/// State shared by all upstream gates of an instance.
struct gate_context {
    asio::io_context& io;
    const settings::instance_settings& settings;
    const view_holder& views;
    ledger_host& ledger;
    admission::poison_request_list& poison_requests;
    metrics::registry& registry;
    std::function<time_point()> lease_end; ///< end of this instance's gate lease
    std::function<void(const std::vector<admission::poison_request_list::record>&)> broadcast_poison_requests;
};

/// Health of an upstream as its gate reports it to the leader; sent as UpstreamReport.health.
enum class reported_health : std::int8_t { not_contacted, serving, failed };

/// The gate of one upstream: its queue, grant, connections and in-flight requests.
class upstream_gate {
public:
    upstream_gate(gate_context& shared, const ownership::upstream_row& row);
    ~upstream_gate();
    upstream_gate(const upstream_gate&) = delete;
    upstream_gate& operator=(const upstream_gate&) = delete;

    /// Applies a newer row of the routing table.
    void update(const ownership::table& rows, const ownership::upstream_row& next);
    void submit(const gate_request_ptr& request);
    void tick(time_point now);
    /// Called when another instance has become the gate: refuses queued requests; in-flight requests finish.
    void hand_over();
    bool idle() const noexcept { return running_.empty() && waiting_.empty(); }
    wire::UpstreamReport report(time_point now) const;
    const ownership::upstream_row& row() const noexcept { return row_; }

private:
    void admit(const gate_request_ptr& request);
    /// Dispatches queued requests while slots are free, and refuses those whose deadline has passed.
    void dispatch_waiting();
    void refuse_expired(time_point now);
    bool may_dispatch(time_point now) const;
    /// True while the upstream owns the request's key.
    bool still_owner(const gate_request& request) const;

    void dispatch(const gate_request_ptr& request);
    void on_ledger_decision(const gate_request_ptr& request, const ledger::decision& decision);
    void send(const gate_request_ptr& request);
    http_call make_call(gate_request& request, time_point now);
    void on_result(const gate_request_ptr& request, const http_result& result);
    void on_answer(const gate_request_ptr& request, const http_response& answer);
    void on_failure(const gate_request_ptr& request, http_failure failure);
    /// Cancels the attempt at the upstream and settles the request by the state that the upstream reports.
    void query_outcome(const gate_request_ptr& request);
    /// Cancels the attempt at the upstream. @p done gets the state that the upstream reported, empty if none.
    void cancel_attempt(const std::string& attempt_id,
                        std::function<void(const http_result&, const std::string& state)> done);
    /// Keeps the slot of an execution that could not be cancelled until the upstream has finished it, at most
    /// until @p until.
    void hold_slot(std::uint64_t ticket, const std::string& attempt_id, time_point until);
    void on_not_run(const gate_request_ptr& request, refusal reason, bool retry_wanted);
    void on_may_have_run(const gate_request_ptr& request, refusal reason);
    bool retry(const gate_request_ptr& request);
    void release(const gate_request_ptr& request, std::optional<duration> service_time);
    /// Refuses a request for which the ledger has made no decision. An earlier request with the same
    /// idempotency key may have run, so the ledger window of an at-most-once request is read before `not-run`
    /// is claimed.
    void refuse(const gate_request_ptr& request, refusal reason, duration retry_after = duration{0});
    void on_ledger_check(const gate_request_ptr& request, const ledger::decision& found,
                         const wire::ForwardResponse& refused);
    bool uses_ledger(const gate_request& request) const;
    bool holds_lease(time_point now) const;
    /// True while no other instance can have become the gate of the request's key.
    bool may_claim_not_run(const gate_request& request) const;
    void finish(const gate_request_ptr& request, wire::ForwardResponse response);
    ledger::record record_of(const gate_request& request, ledger::record_state state) const;

    /// Probes the upstream if an in-flight request has had no answer for some time.
    void check_silence(time_point now);
    void on_probe_result(const http_result& result);
    /// Sends a cancellation for each unanswered request to a responsive upstream. A reported state other than
    /// `running` means that the request's connection carries no more answers.
    void check_silent_requests(time_point now);
    /// A connection to the upstream was refused or not established in time; if others broke shortly before,
    /// the upstream counts as crashed.
    void on_connect_failed(time_point now);
    void replace_client();

    gate_context& shared_;
    ownership::upstream_row row_;
    std::unique_ptr<http_client> client_;
    std::vector<std::unique_ptr<http_client>> retired_clients_;
    http_client probe_client_; ///< opens a new connection for each probe and cancellation
    std::unique_ptr<admission::queue> queue_;
    admission::retry_budget retries_;
    admission::upstream_health health_;
    grant_pusher grants_;
    std::unordered_map<std::uint64_t, gate_request_ptr> waiting_; ///< by ticket
    std::unordered_map<std::uint64_t, gate_request_ptr> running_; ///< by ticket
    std::unordered_map<std::string, gate_request_ptr> by_key_; ///< at-most-once requests by idempotency key
    std::map<std::string, time_point> recently_disconnected_;  ///< digests of attempts whose connection broke
    std::uint64_t next_ticket_ = 1;
    std::shared_ptr<const profile::rule_index> rules_;
    bool probe_in_progress_ = false;
    bool handed_over_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kingcupseam::app
