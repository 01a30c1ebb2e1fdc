#pragma once

#include "app/instance/peer_mesh.h"
#include "router/dispatcher.h"
#include "router/gate_links.h"
#include "router/settings.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/metrics.h>
#include <kingcupseam/transport.h>

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::router {

/// An entry's links to the control instances. Subscribes to the directory at one of them, preferably the
/// leader. Runs on the control thread.
class control_links {
public:
    struct observer {
        std::function<void(directory::snapshot_ptr)> on_directory;
        std::function<void(std::vector<entry_instance>)> on_entries; ///< entries that accept requests
        std::function<void(std::vector<poison_request>)> on_poison_requests;
        std::function<void(std::vector<limit_statement>)> on_limits;
    };

    control_links(asio::io_context& context, const process_settings& settings, metrics::registry& registry,
                  observer callbacks);

    void set_seeds(const std::vector<std::string>& ips);
    void send_report(const traffic_report& report);
    /// Tells the control instances that this entry does not accept requests from other entries any more.
    void leave();
    const transport::peer_identity& self() const noexcept { return self_; }

private:
    struct control_instance {
        /// How far its directory can be relied on: by the term that it leads in, then by whether it follows a
        /// leader.
        auto rank() const { return std::pair(leads ? term + 1 : 0, follows); }

        bool leads = false;
        bool follows = false;
        std::int64_t term = 0;
        bool up = false; ///< connected, and its status is known
        bool confirms_subscriptions = false;
        bool has_subscription = false;
    };

    void dial(const std::string& name);
    transport::peer_link& link(const std::string& name);
    /// Tells a control instance whether this entry accepts requests.
    void send_join(transport::peer_link& to) const;
    void on_link_state(const std::string& name, bool up);
    void on_frame(const std::string& name, const transport::frame& received);
    void on_status(const std::string& name, const std::string& payload);
    void on_subscribed(const std::string& name, const std::string& payload);
    void on_update(const std::string& name, const std::string& payload);
    /// Whether another control instance is known to lead in a later term.
    bool has_later_leader(std::int64_t term) const;
    void choose_source();
    void subscribe(const std::string& name);
    /// Ends the subscriptions at all control instances but @p source.
    void end_former_subscriptions(const std::string& source);
    /// Passes the directory on unless the source is about to send the rest of a newer one. The first one must
    /// be that of the leader: another control instance may lag by any time.
    void serve_if_current();
    void serve();
    bool source_leads() const;
    /// Passes on the directory of another control instance if there is no leader for some time.
    void wait_for_leader();
    /// @param result applied, refused, or former for one of a former subscription
    void count_update(const char* result);

    asio::io_context& context_;
    process_settings settings_;
    metrics::registry& registry_;
    observer callbacks_;
    transport::peer_identity self_;
    directory::snapshot_ptr directory_ = std::make_shared<const directory::snapshot>();
    std::map<std::string, control_instance> control_instances_;
    std::map<std::string, std::unique_ptr<transport::peer_link>> links_;
    bool leaving_ = false;
    std::string source_;             ///< control instance whose directory updates are subscribed to
    std::int64_t subscription_ = 0;  ///< number of the newest subscription
    std::uint64_t source_index_ = 0; ///< of the source's directory when the subscription began
    bool subscribed_ = false;        ///< updates of the source belong to the newest subscription
    std::uint64_t served_index_ = 0; ///< of the directory that was passed on last; 0: none
    bool waits_for_leader_ = false;
    asio::steady_timer retry_timer_;
    asio::steady_timer leader_wait_timer_;
};

} // namespace kingcupseam::router
