#pragma once

#include "app/instance/control_context.h"
#include "app/instance/global_tier.h"
#include "app/instance/replicated_group.h"

#include <kingcupseam/hot_keys.h>
#include <kingcupseam/ownership.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// State of this instance's gates, sent from the gate thread to the control thread.
struct gate_report {
    std::vector<wire::UpstreamReport> upstreams;
    ownership::epoch_number applied_epoch = 0; ///< epoch of the routing table that the gates use
    std::vector<hot_keys::key_rate> hot_keys;
    std::set<std::uint32_t> installed_ledger_groups; ///< ledger groups that this instance joins and whose
                                                     ///< windows it has installed
};

/// Replicated state machine of a data centre group: its routing table.
class assignment_machine final : public state_machine {
public:
    assignment_machine(const std::string& data_center, std::uint64_t generation,
                       const std::string& mirrored_table);
    std::string apply(const std::string& command, std::uint64_t index) override;
    std::string save() const override;
    void restore(const std::string& saved) override;
    std::shared_ptr<const ownership::table> current() const { return state_->current(); }

private:
    std::unique_ptr<ownership::assignment_state> state_;
};

/// What the leader of a data centre group knows about one instance; not replicated.
struct tracked_instance {
    instance_info info;
    time_point last_lease_request;
    time_point lease_until; ///< upper bound, by the leader's clock, of the end of the instance's lease
    bool stopping = false;
    std::int64_t table_version = 0;
    ownership::epoch_number applied_epoch = 0; ///< epoch of the routing table that its gates use
    /// Last reported end of each live grant, by name and incarnation of the upstream.
    std::map<std::pair<std::string, std::uint64_t>, time_point> grants_live_until;
    std::vector<ownership::key_load> hot_keys;
    std::set<std::uint32_t> installed_ledger_groups;
};

/// What the leader of a data centre group knows about one upstream; not replicated.
struct tracked_upstream {
    std::string reporting_gate;
    std::int8_t health = 0; ///< a value of reported_health (upstream_gate.h)
    std::uint64_t incarnation = 0;
    ownership::epoch_number acknowledged = 0; ///< version of the last grant that it accepted
    time_point joined_at;                     ///< when it was last seen in the state joining
};

/// This instance's part in the group of its data centre: membership in the consensus group, the leader's
/// duties while it is elected, and the gate lease that every instance renews with the leader.
class data_center_tier {
public:
    struct observer {
        /// Called with each published table.
        std::function<void(std::shared_ptr<const ownership::table>)> on_table;
        /// Called with the end of this instance's gate lease.
        std::function<void(time_point)> on_lease;
    };

    data_center_tier(control_context& shared, global_tier& global, observer callbacks);

    void tick(time_point now);
    void on_global_state(const wire::GlobalState& state);
    void on_consensus_message(const consensus::message& received);
    wire::GateLeaseReply on_lease_request(const wire::GateLeaseRequest& request, time_point now);
    /// Published table if it is newer than the given generation and version, else empty.
    std::optional<wire::TableUpdate> newer_table(std::int64_t generation, std::int64_t version) const;
    void on_table_update(const wire::TableUpdate& update);
    /// Stores the state of this instance's gates for the next lease request. A change of health, of the
    /// applied table or of the installed ledger groups triggers a request at once.
    void on_gate_report(gate_report report);
    /// Registers or refreshes an upstream, through the leader if this instance is not it. @p done is called
    /// with false if that failed.
    void on_announce(const wire::Announce& announced, std::function<void(bool)> done);
    std::uint32_t shard_count_of(const std::string& service) const;
    void begin_shutdown() { stopping_ = true; }

    bool leads() const { return group_ && group_->leads(); }
    const std::string& leader() const noexcept { return leader_; }
    /// True if this instance has had no lease from a leader of the current generation for some time.
    bool ungrouped(time_point now) const;
    std::uint64_t generation() const noexcept { return generation_; }
    const replicated_group* group() const noexcept { return group_.get(); }
    std::shared_ptr<const ownership::table> published() const { return published_; }
    const std::map<std::string, tracked_instance>& instances() const noexcept { return instances_; }

private:
    void join(const wire::GroupFormation& formation);
    void request_lease(time_point now);
    void on_lease_reply(const std::string& from, const wire::GateLeaseReply& reply, time_point sent);
    std::string pick_lease_target();
    /// Empty if none is known.
    std::string known_leader() const;

    void run_leader_duties(time_point now);
    void become_leader(time_point now);
    /// True if a majority of the data centre's instances requested a lease within the last lease period.
    bool majority_requested_lease(time_point now) const;
    void record_reports(const wire::GateLeaseRequest& request, time_point now);
    ownership::cluster_view make_cluster_view(const ownership::table& rows, time_point now) const;
    /// Latest time at which a grant for the upstream may still be in force.
    time_point latest_grant_end(const ownership::upstream_row& row) const;
    void plan(time_point now);
    /// Proposes the state lost for upstreams that their gate reported as failed.
    void propose_lost_upstreams(const ownership::table& rows, time_point now);
    void propose_placements(const ownership::table& rows);
    void plan_ledger_groups(const ownership::table& rows, time_point now);
    /// New composition of a ledger group; empty if it stays as it is.
    std::optional<ownership::ledger_group> repair_ledger_group(const ownership::ledger_group& group,
                                                               const std::set<std::string>& live,
                                                               std::uint32_t number, time_point now) const;
    std::set<std::string> live_replicas(time_point now) const;
    void propose(const ownership::command& change);
    /// Stores a new table in the global group, from which the next generation of this group restores it, and
    /// publishes it to the instances once the global group has confirmed it or takes too long.
    void mirror_and_publish(time_point now);
    void start_mirror(const std::shared_ptr<const ownership::table>& rows, time_point now);
    bool newer_than_published(const ownership::table& rows) const;
    void publish(std::shared_ptr<const ownership::table> rows);
    void push_table();
    void replace_voters(time_point now);

    control_context& shared_;
    global_tier& global_;
    observer callbacks_;
    std::uint64_t generation_ = 0;
    std::unique_ptr<assignment_machine> machine_;
    std::unique_ptr<replicated_group> group_;
    std::unique_ptr<ownership::planner> planner_;
    std::vector<std::string> voters_; ///< voters at the group's formation; tried in turn to find the leader
    std::string leader_;
    std::string candidate_; ///< recipient of the last lease request
    std::size_t next_candidate_ = 0;
    time_point lease_end_;
    time_point last_granted_;
    time_point first_granted_; ///< first lease of this generation, from any leader
    time_point next_lease_request_;
    time_point next_plan_;
    time_point leader_since_;
    time_point next_mirror_;
    time_point mirror_since_;
    std::int64_t lease_sequence_ = 0;
    std::shared_ptr<const ownership::table> published_;
    gate_report report_;
    std::map<std::string, tracked_instance> instances_;
    std::map<std::string, tracked_upstream> upstreams_;
    std::map<std::string, wire::ServiceHomes> proposed_placements_;
    std::size_t pending_proposals_ = 0; ///< number of proposals without a result
    std::uint64_t mirror_serial_ = 0;
    std::uint64_t active_mirror_ = 0; ///< serial number of the mirror write in progress; 0 if none
    ownership::epoch_number mirrored_version_ = 0; ///< table version that the global group confirmed
    bool was_leader_ = false;
    bool stopping_ = false;
};

} // namespace kingcupseam::app
