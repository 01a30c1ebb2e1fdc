#pragma once

#include "app/instance/control_context.h"
#include "app/instance/global_state.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::app {

/// This instance's part in the global group. Instances with a disk can be voters and leader; every instance
/// keeps the newest global state it has received and forwards commands to the leader.
class global_tier {
public:
    using state_observer = std::function<void(const wire::GlobalState&)>;

    global_tier(control_context& shared, state_observer observer);

    void tick(time_point now);
    void on_consensus_message(const consensus::message& received);
    wire::VoterStatusReply on_voter_status_request() const;
    wire::StateReply on_state_request(const wire::StateRequest& request, time_point now);
    /// Applies the reply of another instance unless its state is older than the known one.
    void on_state_reply(const wire::StateReply& reply, time_point now);

    /// Commits a command through the leader, on this or another instance.
    void propose(const std::string& command, replicated_group::on_result done);
    /// Handles a command of another instance; only the leader commits it.
    void on_command(const wire::CommandRequest& request, std::function<void(wire::CommandReply)> done);

    const wire::GlobalState& state() const noexcept { return known_; }
    const std::string& leader() const noexcept { return leader_; }
    bool leads() const { return group_ && group_->leads(); }
    /// True once the leader has confirmed the state as current, or the wait for its answer has ended.
    bool ready() const noexcept { return ready_; }
    const replicated_group* group() const noexcept { return group_.get(); }

private:
    /// Report of an instance that gets no lease from its data centre's group.
    struct ungrouped_report {
        instance_info instance;
        std::uint64_t generation = 0; ///< latest generation of the group that the instance knows
        std::size_t data_center_size = 0;
        time_point since; ///< first report of this incarnation and generation
        time_point last;  ///< latest report
    };

    void open_group(const std::optional<consensus::membership>& initial);
    void form_group_if_all_empty();
    void poll_initial_voters();
    void run_leader_duties(time_point now);
    void form_groups(time_point now);
    std::optional<wire::GroupFormation> formation_for(const std::string& data_center, time_point now) const;
    void propose_placements(time_point now);
    void replace_voters(time_point now);
    bool voter_missing(const consensus::replacement_view& view, std::size_t wanted, time_point now) const;
    void poll_durable_instances(time_point now);
    std::vector<consensus::member_id> durable_spares(time_point now) const;
    void publish();
    void record_ungrouped(const wire::StateRequest& request, time_point now);

    control_context& shared_;
    state_observer observer_;
    global_state machine_;
    std::unique_ptr<replicated_group> group_;
    wire::GlobalState known_;
    std::string leader_;
    /// Identities of initial voters that reported an empty data folder.
    std::map<std::string, std::int64_t> empty_voters_;
    std::map<std::string, ungrouped_report> ungrouped_;
    std::map<std::string, time_point> service_first_seen_;
    /// Instances that reported a data folder, and the time of the report.
    std::map<std::string, std::pair<consensus::member_id, time_point>> durable_instances_;
    time_point next_durable_poll_;
    time_point started_;
    time_point next_leader_duties_;
    time_point next_voter_poll_;
    bool proposal_in_progress_ = false;
    bool ready_ = false;
};

} // namespace kingcupseam::app
