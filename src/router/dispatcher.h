#pragma once

#include "router/duration_estimate.h"
#include "router/gate_network.h"
#include "router/poison_requests.h"
#include "router/protocol_adapter.h"
#include "router/retry_budget.h"
#include "router/slot_usage.h"
#include "router/upstream_client.h"
#include "router/upstream_limits.h"
#include "router/upstream_queue.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/metrics.h>

#include <asio.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupseam::router {

struct dispatcher_options {
    std::string data_center; ///< data centre of this entry
    retry_budget_options retries;
    /// Bytes of the body of one answer, and of all unfinished answers together.
    std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
    /// Longest wait for a key that has no owner at the moment; a handover takes about as long as a request.
    duration max_owner_wait = std::chrono::milliseconds(600);
    /// A new owner may not have received its grant yet: for this time after a directory update, a key that
    /// the owner refuses is retried there. Later, a refusal means that the key is moving to another owner.
    duration grant_delay = std::chrono::milliseconds(100);
    /// Time for which an upstream that says in an answer that it is about to stop is sent further requests,
    /// so that its keys can move first.
    duration leaving_send_time = std::chrono::milliseconds(1500);
    /// Delay before the retry of a request that was shed.
    duration shed_backoff = std::chrono::milliseconds(40);
    /// Retry-After value for refused callers; about as long as a handover or a few requests take.
    duration retry_after = std::chrono::milliseconds(250);
    /// An upstream of another data centre is selected only when the local ones would answer late and cost
    /// this many times as much: traffic between data centres is expensive.
    double remote_cost_factor = 3;
    /// An attempt with less time left cannot succeed and is not sent.
    duration min_attempt_time = std::chrono::milliseconds(15);
    /// A queued request is given up when less than this fraction of the upstream's service time is left: most
    /// such requests would time out at the upstream and waste a slot.
    double min_service_fraction = 0.6;
};

/// What an entry has measured since its last report to the leader.
struct traffic_report {
    std::map<std::string, std::map<directory::key_number, int>> keys; ///< requests by service and key
    struct service_time {
        int answers = 0;
        duration total{};
    };
    std::map<std::string, service_time> upstreams; ///< by id; only requests that were not queued there
    std::vector<crash_report> crashed;
    std::set<request_digest> survived; ///< listed poison requests that an upstream answered
    std::vector<limit_statement> limits;
    std::vector<directory::upstream_incarnation>
        leaving;                       ///< have said in an answer that they are about to stop
    std::uint64_t directory_index = 0; ///< of the directory that requests follow
    /// Whether nothing was measured.
    bool empty() const {
        return keys.empty() && upstreams.empty() && crashed.empty() && survived.empty() && limits.empty() &&
               leaving.empty();
    }
};

/// Routes callers' requests to upstreams, with queues, retries and cancellation. Runs on the traffic thread.
class dispatcher {
public:
    dispatcher(asio::io_context& context, const protocol_adapter& protocol, dispatcher_options settings,
               metrics::registry& registry);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Entries to which requests are forwarded; null when this entry sends all requests itself.
    void set_gates(gate_network* gates) { gates_ = gates; }
    void handle(app::http_request received, app::http_reply reply);
    /// Handles a request that another entry forwarded.
    /// @param number identifies the request on that connection, for withdraw_routed()
    /// @returns false when the request is not accepted; @p reply is not called then
    bool handle_routed(routed_request received, std::uint64_t connection, std::uint64_t number,
                       routed_reply reply);
    void withdraw_routed(std::uint64_t connection, std::uint64_t number);
    /// Withdraws all requests of a closed connection.
    void on_connection_closed(std::uint64_t connection);
    void set_directory(directory::snapshot_ptr held);
    /// The leader's current list of poison requests.
    void set_poison_requests(const std::vector<poison_request>& listed) {
        poison_requests_.update(listed, steady_now());
    }
    /// The leader's current list of limits that upstreams have stated.
    void set_limits(const std::vector<limit_statement>& listed);
    void set_entry_count(int entries);
    /// Makes every further answer close its connection, and every request end before @p end, so that none is
    /// cut off without an answer.
    void start_draining(time_point end);
    /// Refuses new requests, so that none is interrupted when the process exits.
    void refuse_new_requests() { refusing_new_requests_ = true; }
    std::size_t requests_in_flight() const noexcept { return requests_.size(); }
    traffic_report take_report();
    /// Logs how slots were used since the last call.
    void log_slot_usage();

private:
    struct in_flight_request;
    using request_ptr = std::shared_ptr<in_flight_request>;

    static upstream_client_options client_options(const protocol_adapter& protocol,
                                                  const dispatcher_options& settings);
    void admit(const request_ptr& it);
    /// Fails a request whose headers or body exceed the configured limits.
    /// @returns true when the request has been answered
    bool reject_if_too_large(const request_ptr& it);
    /// Sets the deadline, not later than the end of draining, and calls on_timeout() then.
    void set_deadline(const request_ptr& it, time_point deadline);
    /// Calls on_timeout() after @p limit.
    void start_deadline_timer(const request_ptr& it, duration limit);
    /// Selects an upstream and forwards, sends or queues the request, or waits for the key's owner.
    void dispatch(const request_ptr& it);
    /// Tells the gate network which upstreams have gates.
    void update_gates();
    /// @returns false when this entry sends the request to the upstream itself
    bool forward_to_gate(const request_ptr& it, const upstream_queue& queue);
    void on_routed(const request_ptr& it, routed_result result);
    /// Also sends the request past its silent gate if it may run once more. The first answer ends the other
    /// attempt.
    void on_gate_silent(const request_ptr& it);
    /// After an attempt past a silent gate has failed: makes another one, until the target latency.
    void retry_past_gate(const request_ptr& it);
    /// Handles an answer of the gate itself, which no upstream gave.
    void on_gate_failure(const request_ptr& it, routed_result result);
    /// Counts the run that a request may have at its gate, which can still say that it has not run there.
    static void count_run_at_gate(in_flight_request& it);
    /// Takes back what count_run_at_gate() has counted, if it has.
    static void on_not_run_at_gate(in_flight_request& it);
    /// Ends the runs of a request at its upstream and at its gate.
    void cancel_attempts(const request_ptr& it);
    /// Logs that the gate failed a request itself, and how much time this entry had left then.
    static void log_gate_failure(const in_flight_request& it, const routed_result& result);
    /// Logs that a request no longer relies on its gate alone, and why.
    static void log_gate_left(const in_flight_request& it, const char* reason);
    /// Logs that the run of another entry's request is cut before its limit, and why.
    static void log_run_cut(const in_flight_request& it, const char* reason);
    /// Cancels a request whose caller or whose forwarding entry has withdrawn it or disconnected.
    /// @param reason for the log, if an upstream is at work for another entry
    void withdraw(const request_ptr& it, const char* reason);
    /// Holds the request until a directory update names an upstream for it, at most for max_owner_wait.
    void wait_for_owner(const request_ptr& it);
    void enqueue(const request_ptr& it, upstream_queue& queue);
    /// Time left below which a queued request is not sent any more.
    duration min_useful_time(const upstream_queue& queue) const;
    /// Ends the request at @p end if it is still queued.
    void start_queue_timer(const request_ptr& it, time_point end);
    /// Sends queued requests while the upstream's window allows.
    void send_queued(upstream_queue& queue);
    /// Calls send_queued() when the queue becomes able to send by the passing of time alone.
    void schedule_send_queued(upstream_queue& queue);
    /// @returns null when no upstream can serve the request now
    upstream_queue* select_upstream(const request_ptr& it);
    /// For a service without keys: a local upstream if it can answer in time, otherwise the cheapest one.
    upstream_queue* select_least_loaded(const request_ptr& it);
    void send(const request_ptr& it, upstream_queue& queue);
    void on_exchange(const request_ptr& it, exchange_result result);
    void on_answer(const request_ptr& it, upstream_queue* from, app::http_response answer);
    void on_failure(const request_ptr& it, exchange_end end);
    void on_wrong_owner(const request_ptr& it, time_point now);
    /// Retries without delay if the request is idempotent and attempts and retry budget are left.
    bool retry_immediately(const request_ptr& it);
    /// Takes a retry from the budget if the request may run once more after @p possible_runs.
    bool may_retry(const in_flight_request& it, int possible_runs);
    /// Retries after @p delay, or ends the request when no time or retry budget is left.
    void retry_or_end(const request_ptr& it, const char* reason, duration delay);
    /// Resets the connection, which cancels the request at the upstream.
    void cancel_attempt(const request_ptr& it);
    /// Counts the elapsed time of an unanswered attempt as service time; otherwise an upstream that is too
    /// slow to answer in time would keep its former average.
    void record_overdue(const request_ptr& it, upstream_queue& queue);
    void on_timeout(const request_ptr& it);
    /// Refuses a request that certainly has not run; one that may have run fails with @p status_in_doubt.
    void refuse_or_fail(const request_ptr& it, int status_in_doubt, const char* reason);
    /// Refuses a request that would be late in @p queue, and tells its caller when there will be room.
    /// @param excess time by which it would have been late
    void refuse_for_lack_of_room(const request_ptr& it, upstream_queue& queue, duration excess);
    /// Takes over what the upstream of @p queue asks in an answer.
    void on_asked(upstream_queue& queue, const backpressure& asked);
    /// Refuses the waiting requests that cannot be served after the pause of @p queue.
    void refuse_beyond_pause(upstream_queue& queue);
    /// Sets the rate at which this entry may send to the upstream of @p queue.
    void apply_limit(upstream_queue& queue);
    void apply_limits();
    /// Answers 503 with Retry-After, which promises that the request has not run. @p reason goes into the log
    /// and the metrics; src/app/explain.cpp has a sentence for each reason.
    void refuse(const request_ptr& it, const char* reason) { refuse(it, reason, settings_.retry_after); }
    void refuse(const request_ptr& it, const char* reason, duration retry_after);
    void fail(const request_ptr& it, int status, const char* reason);
    void finish(const request_ptr& it, app::http_response answer, const char* outcome);
    void remove(const request_ptr& it);
    /// True for a poison request that the leader has refused.
    bool is_refused_poison_request(const request_ptr& it) const;
    /// Queue of the upstream that the attempt was sent to; null once it has ended or started again: the
    /// result says nothing about a new incarnation.
    upstream_queue* queue_of_attempt(const request_ptr& it);
    /// Records the end of an attempt for the log of slot usage.
    void record_slot_use(const request_ptr& it, bool answered);
    void report_crashes();
    bool has_key_ranges(const std::string& service) const;
    upstream_use use_of(const std::string& service) const;
    const std::string* pick_service(const directory::route& route);
    retry_budget& budget_of(const std::string& service);

    asio::io_context& context_;
    const protocol_adapter& protocol_;
    dispatcher_options settings_;
    metrics::registry& registry_;
    upstream_client client_;
    gate_network* gates_ = nullptr;
    directory::snapshot_ptr directory_;
    time_point directory_updated_at_;
    std::shared_ptr<const directory::route_index> routes_;
    int entry_count_ = 1;
    bool draining_ = false;
    time_point last_deadline_ = time_point::max(); ///< while draining
    bool refusing_new_requests_ = false;
    std::uint64_t next_request_id_ = 1;
    std::unordered_map<std::uint64_t, request_ptr> requests_;
    std::map<std::string, std::unique_ptr<upstream_queue>> queues_; ///< by upstream id
    std::map<std::string, asio::steady_timer> send_timers_;
    std::vector<request_ptr> waiting_for_owner_;
    std::map<std::string, retry_budget> retry_budgets_;
    /// Credits of smooth weighted round robin, by route and service.
    std::map<std::string, std::map<std::string, double>> split_credits_;
    traffic_report report_;
    slot_usage slot_usage_;
    std::map<std::string, duration_estimate> link_times_; ///< there and back, by gate
    upstream_limits limits_;
    std::minstd_rand random_{std::random_device{}()};
    std::uniform_real_distribution<> phases_;           ///< of rate limits
    std::set<directory::upstream_incarnation> leaving_; ///< to be reported until the directory shows it
    interrupted_requests interrupted_;
    known_poison_requests poison_requests_;
};

} // namespace kingcupseam::router
