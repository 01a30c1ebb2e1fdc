#include "router/control_node.h"
#include "router/instance_name.h"

#include <directory_types.h>
#include <spdlog/spdlog.h>

#include <algorithm>

// The other control instances: links to them, who leads, who votes; and the entries that join.

namespace kingcupseam::router {

namespace {

using transport::encode;
using transport::frame_type;

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

void control_node::set_seeds(const std::vector<std::string>& ips) {
    for (const auto& it : ips) {
        if (is_usable_seed(it)) {
            dial(peer_name(it));
        }
    }
}

void control_node::dial(const std::string& name) {
    if (name == peer_name(settings_.ip) || !dialled_.insert(name).second) {
        return;
    }
    auto& link = mesh_->link_to(name, parse_endpoint("control group", "member", name));
    link.on_state_change([this, name, &link](bool up) {
        spdlog::info("control instance {} name={}", up ? "reached" : "lost", name);
        if (up) {
            link.notify({frame_type::join_request, 0, encode(own_join())});
        }
    });
}

void control_node::on_join(const std::shared_ptr<transport::connection>& from,
                           const wire::JoinRequest& request) {
    const std::string& name = from->peer().id.name;
    parse_instance_name(name); // entries connect to the instances that the status names
    if (request.wants_vote) {
        spares_[from->peer().id] = steady_now();
        dial(name);
        on_leader_notice(request);
    } else if (request.leaving) {
        spdlog::info("entry leaves name={}", name);
        entries_.remove(*from);
        status_due_ = true;
    } else {
        receipts_.forget(name); // what a former process reported
        entries_.add(from, request.expands);
    }
}

std::optional<leader_notice> control_node::find_leader(time_point now) const {
    const auto& node = group_->node();
    auto told = leader_notices_.current(now);
    if (const auto leader = node.leader(); leader && (!told || told->term <= node.term())) {
        return leader_notice{leader->name, node.term(), now};
    }
    return told;
}

wire::JoinRequest control_node::own_join() const {
    wire::JoinRequest result;
    result.wants_vote = true;
    const time_point now = steady_now();
    if (const auto leader = find_leader(now)) {
        result.leader = leader->name;
        result.leader_term = static_cast<std::int64_t>(leader->term);
        result.leader_age_ms = milliseconds(now - leader->heard);
    }
    return result;
}

void control_node::send_joins() {
    const std::string payload = encode(own_join());
    for (const auto& name : dialled_) {
        if (mesh_->up(name)) {
            mesh_->link_to(name, parse_endpoint("control group", "member", name))
                .notify({frame_type::join_request, 0, payload});
        }
    }
}

void control_node::on_leader_notice(const wire::JoinRequest& request) {
    if (request.leader.empty()) {
        return;
    }
    parse_instance_name(request.leader);
    const auto age =
        std::chrono::milliseconds(std::clamp<std::int64_t>(request.leader_age_ms, 0, max_notice_age.count()));
    if (leader_notices_.add(
            {request.leader, static_cast<std::uint64_t>(request.leader_term), steady_now() - age})) {
        dial(request.leader);
        send_joins(); // members other than the leader may not know all instances
    }
}

void control_node::replace_lost_members(time_point now) {
    std::erase_if(spares_, [&](const auto& it) { return now - it.second > 3 * join_interval; });
    consensus::replacement_options options;
    options.voters = 2 * settings_.tolerated_losses + 1;
    std::vector<consensus::member_id> spares;
    for (const auto& [id, seen] : spares_) {
        spares.push_back(id);
    }
    const auto view = consensus::replacement_view_of(group_->node(), self_, std::move(spares), now);
    if (const auto change = consensus::replacement_policy(options).next(view, now)) {
        spdlog::info("control group changes kind={} member={} incarnation={}", static_cast<int>(change->kind),
                     change->member.name, change->member.incarnation);
        group_->change_membership(*change);
    }
}

} // namespace kingcupseam::router
