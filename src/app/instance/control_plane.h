#pragma once

#include "app/instance/control_context.h"
#include "app/instance/control_usage.h"
#include "app/instance/data_center_tier.h"
#include "app/instance/global_tier.h"
#include "app/instance/operator_api.h"

#include <kingcupseam/membership.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace kingcupseam::app {

/// All state of the control thread: both consensus groups, the membership detector, the latest routing view,
/// and the listeners for other instances, upstreams and operators.
class control_plane {
public:
    struct observer {
        /// Called with each new routing view.
        std::function<void(std::shared_ptr<const routing_view>)> on_view;
        /// Called with the end of this instance's gate lease.
        std::function<void(time_point)> on_lease;
    };

    control_plane(asio::io_context& context, const settings::instance_settings& settings,
                  std::uint64_t incarnation, metrics::registry& registry, observer callbacks);

    void on_gate_report(gate_report report) { data_center_.on_gate_report(std::move(report)); }
    /// Fails the readiness check, leaves the membership, and asks the leader to assign this instance's gates
    /// to other instances.
    void begin_shutdown();
    /// True once the routing table has no live upstream with this instance as its gate.
    bool handed_over() const;
    /// True once the platform's load balancer has had time to see the failed readiness check.
    bool unready_period_elapsed() const;
    void stop();

private:
    void schedule_tick();
    void tick(time_point now);
    void gossip(time_point now);
    std::string pick_gossip_target();
    void fetch_tables();
    void on_frame(const std::shared_ptr<transport::connection>& from, const transport::frame& received);
    void on_datagram(const endpoint_address& from, std::string_view payload);
    void apply_effects(const membership::effects& effects);
    void on_global_state(const wire::GlobalState& state);
    void on_table(const std::string& data_center, std::shared_ptr<const ownership::table> rows);
    void publish();
    void on_announce(const http_request& request, const http_reply& reply);
    std::optional<wire::TableUpdate> table_for(const wire::TableRequest& request) const;

    asio::io_context& io_;
    const settings::instance_settings& settings_;
    observer callbacks_;
    peer_mesh mesh_;
    control_context shared_;
    global_tier global_;
    data_center_tier data_center_;
    membership::detector detector_;
    routing_view view_;
    std::unique_ptr<transport::peer_server> server_;
    std::unique_ptr<transport::datagram_channel> datagrams_;
    std::unique_ptr<http_server> upstream_listener_;
    std::unique_ptr<operator_api> operator_api_;
    asio::steady_timer timer_;
    time_point next_gossip_;
    std::mt19937_64 random_;
    control_usage usage_;
    std::size_t known_instances_ = 0;
    bool stopping_ = false;
    time_point stopping_since_;
    bool stopped_ = false;
};

} // namespace kingcupseam::app
