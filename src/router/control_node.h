#pragma once

#include "app/instance/peer_mesh.h"
#include "app/instance/replicated_group.h"
#include "router/directory_publisher.h"
#include "router/directory_receipts.h"
#include "router/directory_state_machine.h"
#include "router/leader_notices.h"
#include "router/order_failures.h"
#include "router/poison_requests.h"
#include "router/protocol_adapter.h"
#include "router/settings.h"
#include "router/status_publisher.h"
#include "router/task_times.h"
#include "router/upstream_limits.h"

#include <kingcupseam/consensus.h>
#include <kingcupseam/key_ranges.h>
#include <kingcupseam/metrics.h>
#include <kingcupseam/transport.h>

#include <asio.hpp>
#include <directory_types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcupseam::router {

/// Between two messages of a control instance to the others, which name the leader.
inline constexpr std::chrono::seconds join_interval(1);
/// Of the leader's name on its way over several control instances.
inline constexpr std::chrono::milliseconds max_notice_age = 3 * join_interval;

/// One member of the control group. Holds the replicated directory and, while it leads, manages the leases of
/// key ranges. Runs on the control thread.
class control_node : public control_api {
public:
    /// Sends a grant or release to an upstream; @p done is called on the control thread.
    using call_sender = std::function<void(
        key_ranges::call call, std::function<void(key_ranges::call_result, std::string handover)> done)>;

    control_node(asio::io_context& context, process_settings settings, metrics::registry& registry,
                 call_sender send_call);
    ~control_node() override;

    void announce(announcement report, on_accepted done) override;
    void depart(std::string upstream_id, on_accepted done) override;
    void accept_configuration(directory::configuration wanted, on_accepted done) override;
    void read_configuration(on_document done) override;

    /// Connects to seeds that were added to the settings.
    void set_seeds(const std::vector<std::string>& ips);

private:
    /// The newest report of an upstream, to detect reports that arrive out of order.
    struct last_announcement {
        directory::upstream_incarnation upstream;
        std::int64_t sequence = 0;
    };

    void open_group();
    void tick();
    /// Logs what the thread did when a tick came late: a late leader loses its leadership.
    void log_late_tick(time_point now);
    void tick_leader(time_point now);
    void on_leadership_change(bool leading, time_point now);
    void run_lease_manager(time_point now);
    void replace_lost_members(time_point now);
    void remove_silent_upstreams(time_point now);
    void dial(const std::string& name);
    void send_message(const consensus::message& message);
    void on_frame(const std::shared_ptr<transport::connection>& from, const transport::frame& received);
    void on_join(const std::shared_ptr<transport::connection>& from, const wire::JoinRequest& request);
    void on_subscribe(const std::shared_ptr<transport::connection>& from,
                      const wire::DirectorySubscribe& request);
    void on_order(const std::shared_ptr<transport::connection>& from, const transport::frame& received);
    void on_load_report(const std::string& entry, const std::string& payload);
    /// Logs the entries that begin or cease to serve by an outdated directory.
    void check_receipts(time_point now);
    /// Entries report to the leader alone.
    void forget_receipts();
    /// Upstreams that have told entries that they are about to stop are treated as if they had reported it
    /// here.
    void on_leaving_reports(const wire::LoadReport& report);
    void on_crash_reports(const wire::LoadReport& report);
    void update_speeds();
    /// Passes the limits that upstreams have stated on to the planner.
    void update_limits(time_point now);
    void broadcast_status();
    std::string status_payload();
    void add_lists(wire::ControlStatus& status);
    /// The leader by the group's messages, or by what other control instances tell if this one gets none.
    std::optional<leader_notice> find_leader(time_point now) const;
    wire::JoinRequest own_join() const;
    /// Tells the other control instances of this one and of the leader.
    void send_joins();
    void on_leader_notice(const wire::JoinRequest& request);
    void propose(const directory::command& change, on_accepted done);
    /// Forwards an order of an upstream or operator to the leader; @p done gets its answer, or nullopt when
    /// there is none.
    void forward_to_leader(int kind, std::string payload,
                           std::function<void(std::optional<std::string>)> done);
    /// Whether a newer report of the upstream or of its address is known.
    bool is_stale(const announcement& report) const;
    /// Whether the configuration has the service; true before the first configuration.
    bool is_configured(const std::string& service) const;
    /// False for a report that cannot come from an upstream of the configuration, or that contradicts what
    /// the same incarnation has reported. It must not change the directory.
    bool names_upstream(const announcement& report) const;
    std::string peer_name(const std::string& ip) const;

    asio::io_context& context_;
    process_settings settings_;
    metrics::registry& registry_;
    call_sender send_call_;
    task_times task_times_;
    directory_state_machine state_machine_;
    directory_publisher publisher_;
    directory_receipts receipts_;  ///< of the entries that report to this leader
    std::set<std::string> behind_; ///< entries that serve by an outdated directory
    asio::steady_timer tick_timer_;
    consensus::member_id self_;
    std::unique_ptr<app::replicated_group> group_;
    std::unique_ptr<app::peer_mesh> mesh_;
    std::unique_ptr<transport::peer_server> server_;
    std::set<std::string> dialled_;
    std::map<consensus::member_id, time_point> spares_; ///< control instances that may become voters
    leader_notices leader_notices_;
    status_publisher entries_; ///< entries that accept requests
    std::unique_ptr<key_ranges::lease_manager> lease_manager_;
    std::uint64_t lease_manager_term_ = 0;       ///< term in which the lease manager was created
    std::uint64_t lease_manager_generation_ = 0; ///< results for an earlier lease manager are dropped
    std::map<std::string, key_ranges::upstream_condition> conditions_;
    std::map<std::string, last_announcement> last_announcements_;
    std::map<std::string, key_ranges::key_loads> key_loads_;
    std::map<std::string, double> service_times_; ///< moving average in microseconds, by upstream id
    upstream_limits limits_;                      ///< as reported by entries
    std::set<directory::upstream_incarnation> drains_proposed_;
    poison_request_detector poison_detector_;
    bool leading_ = false;
    bool follows_ = false; ///< gets the group's changes
    time_point next_lease_manager_run_;
    time_point next_decay_;
    time_point next_join_;
    time_point last_status_at_;
    bool status_due_ = false; ///< the status has changed in a way that entries need soon
    time_point last_tick_ = steady_now();
    order_failures order_failures_;
};

} // namespace kingcupseam::router
