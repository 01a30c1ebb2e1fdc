#pragma once

#include "router/gate_network.h"
#include "router/poison_requests.h"
#include "router/protocol_adapter.h"
#include "router/retry_budget.h"
#include "router/upstream_client.h"
#include "router/upstream_queue.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/metrics.h>

#include <asio.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupseam::router {

struct dispatcher_options {
    std::string data_center; ///< of this entry
    retry_budget_options retries;
    /// Wait for a key that has no owner at the moment; a handover takes the length of a request.
    duration max_owner_wait = std::chrono::milliseconds(600);
    /// An owner that is new to this entry may not have its grant yet; after this time a refused key is on its
    /// way to another owner.
    duration grant_delay = std::chrono::milliseconds(100);
    duration shed_backoff = std::chrono::milliseconds(40); ///< before a request that was shed is sent again
    /// Told to callers that are refused; about the time of a handover or of some requests.
    duration retry_after = std::chrono::milliseconds(250);
    /// Upstreams of other data centres are taken when those of this one would answer late and have this many
    /// times their load: bytes between data centres are dear.
    double remote_cost_factor = 3;
    /// An attempt with less time left than this cannot succeed and is not sent.
    duration min_attempt_time = std::chrono::milliseconds(15);
    /// A request that has waited until less than this part of the upstream's service time is left is given
    /// up: most such requests would reach their limit at work, and the slot would be lost for others.
    double min_service_fraction = 0.6;
};

/// What an entry has seen since its last report, for the leader.
struct traffic_report {
    std::map<std::string, std::map<directory::key_number, int>> keys; ///< by service
    struct service_time {
        int answers = 0;
        duration total{};
    };
    std::map<std::string, service_time> upstreams; ///< by id, of requests that did not wait there
    std::vector<crash_report> crashed;
    std::set<request_digest> survived; ///< watched requests that an upstream answered
    bool empty() const { return keys.empty() && upstreams.empty() && crashed.empty() && survived.empty(); }
};

/// Takes callers' requests to the upstreams that may run them. Runs on the traffic thread.
class dispatcher {
public:
    dispatcher(asio::io_context& context, const protocol_adapter& protocol, dispatcher_options settings,
               metrics::registry& registry);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Other entries, to which requests are passed on; null when this one sends all of them.
    void set_gates(gate_network* gates) { gates_ = gates; }
    void handle(app::http_request received, app::http_reply reply);
    /// A request that another entry passed on.
    /// @param number of the request on that connection, for withdraw_routed()
    /// @returns false when it is not taken: @p reply is not called then
    bool handle_routed(routed_request received, std::uint64_t connection, std::uint64_t number,
                       app::http_reply reply);
    void withdraw_routed(std::uint64_t connection, std::uint64_t number);
    /// The caller has left: its requests are withdrawn.
    void on_connection_closed(std::uint64_t connection);
    void set_directory(directory::snapshot_ptr held);
    /// Requests that upstreams have ended with, as the leader names them.
    void set_poison_requests(const std::vector<poison_request>& listed) {
        poison_requests_.update(listed, steady_now());
    }
    void set_entries(int entries) { entries_ = entries < 1 ? 1 : entries; }
    /// From now on every answer closes its connection.
    void start_draining() { draining_ = true; }
    /// From now on new requests are refused, so that none is cut off by the end of the process.
    void refuse_new_requests() { refusing_new_requests_ = true; }
    std::size_t requests_in_flight() const noexcept { return requests_.size(); }
    traffic_report take_report();

private:
    struct in_flight_request;
    using request_ptr = std::shared_ptr<in_flight_request>;

    void admit(const request_ptr& it);
    /// Ends a request whose headers or body are longer than the configuration allows.
    bool reject_if_too_large(const request_ptr& it);
    void start_timer(const request_ptr& it, duration limit);
    void dispatch(const request_ptr& it);
    /// @returns false when the request is to be sent to the upstream from here
    bool forward_to_gate(const request_ptr& it, const upstream_queue& queue);
    void on_routed(const request_ptr& it, routed_result result);
    /// The caller, or the entry that passed it on, has left.
    void withdraw(const request_ptr& it);
    void wait_for_owner(const request_ptr& it);
    void enqueue(const request_ptr& it, upstream_queue& queue);
    /// Time below which a waiting request is not sent to the upstream any more.
    duration min_useful_time(const upstream_queue& queue) const;
    void start_queue_timer(const request_ptr& it, time_point end);
    void send_queued(upstream_queue& queue);
    /// Pumps a lane that opens by the passing of time alone.
    void schedule_send_queued(upstream_queue& queue);
    upstream_queue* select_upstream(const request_ptr& it);
    /// For a service without keys: an upstream of this data centre while that one can answer in time.
    upstream_queue* select_least_loaded(const request_ptr& it);
    void send(const request_ptr& it, upstream_queue& queue);
    void on_exchange(const request_ptr& it, exchange_result result);
    void on_answer(const request_ptr& it, upstream_queue* from, app::http_response answer);
    void on_failure(const request_ptr& it, exchange_end end);
    void on_wrong_owner(const request_ptr& it, time_point now);
    /// Sends it again at once where it may run twice, to another upstream, within the allowance.
    bool retry_immediately(const request_ptr& it, time_point now);
    /// Sends it again after @p delay, or ends it when there is no time or allowance left.
    void retry_or_end(const request_ptr& it, const char* reason, duration delay);
    /// Stops the work at the upstream by closing the connection.
    void cancel_attempt(const request_ptr& it);
    /// An upstream that is too slow to answer in time would otherwise look as fast as before.
    void record_overdue(const request_ptr& it, upstream_queue& at);
    void on_timeout(const request_ptr& it);
    /// Refuses a request that surely has not run; one that may have run fails with @p status_in_doubt.
    void refuse_or_fail(const request_ptr& it, int status_in_doubt, const char* reason);
    void refuse(const request_ptr& it, const char* reason);
    void fail(const request_ptr& it, int status, const char* reason);
    void finish(const request_ptr& it, app::http_response answer, const char* outcome);
    void remove(const request_ptr& it);
    /// True for a request that has ended too many upstreams.
    bool is_refused(const request_ptr& it) const;
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
    time_point directory_updated_at_; ///< when the last update came
    std::shared_ptr<const directory::route_index> routes_;
    int entries_ = 1;
    bool draining_ = false;
    bool refusing_new_requests_ = false;
    std::uint64_t next_request_id_ = 1;
    std::unordered_map<std::uint64_t, request_ptr> requests_;
    std::map<std::string, std::unique_ptr<upstream_queue>> queues_; ///< by upstream id
    std::map<std::string, asio::steady_timer> send_timers_;
    std::vector<request_ptr> waiting_for_owner_;
    std::map<std::string, retry_budget> retry_budgets_;
    std::map<std::string, std::map<std::string, double>>
        split_credits_; ///< smooth weighted round robin, by route
    traffic_report report_;
    interrupted_requests interrupted_;
    known_poison_requests poison_requests_;
};

} // namespace kingcupseam::router
