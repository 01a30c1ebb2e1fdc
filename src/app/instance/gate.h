#pragma once

#include "app/instance/data_center_tier.h"
#include "app/instance/upstream_gate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// The gate role of an instance: the upstreams to which it dispatches, its ledger replicas and the traffic
/// listener. Runs on the gate thread.
class gate {
public:
    gate(asio::io_context& context, const settings::instance_settings& settings, std::uint64_t incarnation,
         const view_holder& views, metrics::registry& registry);

    /// Queues a request from this instance's entry or from another instance at its upstream's gate.
    void submit(const wire::ForwardRequest& request, gate_reply reply);
    void on_view_changed();
    /// Sets the end of this instance's gate lease; called by the control thread.
    void set_lease_end(time_point end) noexcept { lease_end_.store(end.time_since_epoch().count()); }
    /// Sets the observer of the reports on the upstreams of this instance's gates, made on every tick and
    /// after a new view.
    void set_report_observer(std::function<void(gate_report)> observer) { observer_ = std::move(observer); }
    /// True if no request is queued or in flight.
    bool idle() const;
    void stop();

private:
    void schedule_tick();
    void tick();
    void report(time_point now);
    void on_frame(const std::shared_ptr<transport::connection>& from, const transport::frame& received);
    void on_forward(const std::shared_ptr<transport::connection>& from, const transport::frame& received);
    /// Updates the rows of upstreams to which this instance dispatches without being their gate (direct
    /// routing).
    void refresh_direct_gates(const routing_view& view);
    void connect_ledger_replicas(const routing_view& view);
    /// Sends changed entries of the list of poison requests to all instances of this data centre.
    void broadcast_poison_requests(const std::vector<admission::poison_request_list::record>& changed);
    upstream_gate* find(const std::string& upstream);
    upstream_gate* create_direct_gate(const std::string& upstream);
    time_point lease_end() const noexcept { return time_point(duration(lease_end_.load())); }

    asio::io_context& context_;
    const settings::instance_settings& settings_;
    const view_holder& views_;
    metrics::registry& registry_;
    peer_mesh mesh_;
    ledger_host ledger_;
    admission::poison_request_list poison_requests_;
    hot_keys::tracker hot_keys_{{}};
    gate_context shared_;
    std::map<std::string, std::unique_ptr<upstream_gate>> upstreams_;
    /// Gates that were handed over, kept while a request is in flight or a grant may be live.
    std::vector<std::unique_ptr<upstream_gate>> retiring_;
    asio::steady_timer timer_;
    std::unique_ptr<transport::peer_server> server_;
    std::function<void(gate_report)> observer_;
    ownership::epoch_number applied_epoch_ = 0;
    std::atomic<std::int64_t> lease_end_{0};
    bool stopped_ = false;
};

} // namespace kingcupseam::app
