// Duties of a data centre group's leader: granting gate leases, registering upstreams, planning, and
// mirroring and publishing the routing table.
#include "app/instance/data_center_tier.h"

#include <kingcupseam/profile.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr duration gate_lease = std::chrono::milliseconds(600);
// Covers a clock that runs 0.5% fast, and rounding.
constexpr duration drift_margin = std::chrono::milliseconds(5);
constexpr duration plan_interval = std::chrono::milliseconds(40);
// Tolerates two missed renewals, which are due every 150 ms, before another instance takes over the gates.
constexpr duration instance_lost_after = std::chrono::milliseconds(400);
constexpr duration mirror_retry = std::chrono::seconds(1);
// Long enough for many round trips between data centres and disk syncs; short enough to serve keys again
// within 1 s if the leader of the global group is lost together with an owner or a gate.
constexpr duration mirror_wait = std::chrono::milliseconds(100);

} // namespace

void data_center_tier::run_leader_duties(time_point now) {
    const bool leading = leads();
    if (leading && !was_leader_) {
        become_leader(now);
    }
    was_leader_ = leading;
    if (!leading) {
        return;
    }
    leader_ = shared_.settings.name;
    if (now >= next_plan_) {
        next_plan_ = now + plan_interval;
        mirror_and_publish(now);
        plan(now);
        replace_voters(now);
    }
}

void data_center_tier::become_leader(time_point now) {
    spdlog::info("leading data centre group generation={} term={}", generation_, group_->node().term());
    leader_since_ = now;
    instances_.clear();
    upstreams_.clear();
    proposed_placements_.clear();
    pending_proposals_ = 0;
    active_mirror_ = 0;
    mirrored_version_ = 0;
    next_mirror_ = now;
    planner_ = ownership::make_fewest_moves_planner({});
}

bool data_center_tier::majority_requested_lease(time_point now) const {
    // An instance requests leases in one generation at a time. As each generation needs a majority, no two
    // generations can grant leases at once, however the data centre is partitioned.
    const std::size_t size = std::max<std::size_t>(shared_.settings.data_center_size, 1);
    const std::size_t needed = size / 2 + 1;
    const auto recent = std::count_if(instances_.begin(), instances_.end(), [now](const auto& it) {
        return now - it.second.last_lease_request < gate_lease;
    });
    return static_cast<std::size_t>(recent) >= needed;
}

wire::GateLeaseReply data_center_tier::on_lease_request(const wire::GateLeaseRequest& request,
                                                        time_point now) {
    wire::GateLeaseReply reply;
    reply.sequence = request.sequence;
    reply.generation = static_cast<std::int64_t>(generation_);
    reply.leader = known_leader();
    const auto info = from_wire(request.gate);
    shared_.update_instance(info);
    if (!leads() || static_cast<std::uint64_t>(request.generation) != generation_) {
        return reply;
    }
    auto& tracked = instances_[info.name];
    tracked.info = info;
    tracked.last_lease_request = now;
    tracked.stopping = request.stopping;
    tracked.table_version = request.table_version;
    record_reports(request, now);
    if (majority_requested_lease(now)) {
        reply.granted = true;
        reply.lease_us = gate_lease.count();
        tracked.lease_until = now + gate_lease + drift_margin;
    }
    return reply;
}

void data_center_tier::record_reports(const wire::GateLeaseRequest& request, time_point now) {
    auto& gate = instances_[request.gate.name];
    if (gate.applied_epoch != static_cast<ownership::epoch_number>(request.applied_epoch)) {
        next_plan_ = now; // a shard move may be waiting for this gate
    }
    gate.applied_epoch = static_cast<ownership::epoch_number>(request.applied_epoch);
    gate.grants_live_until.clear();
    gate.hot_keys.clear();
    gate.installed_ledger_groups = {request.installed_ledger_groups.begin(),
                                    request.installed_ledger_groups.end()};
    for (const auto& it : request.hot_keys) {
        gate.hot_keys.push_back({it.service_name, it.key, it.requests_per_second});
    }
    for (const auto& it : request.reports) {
        if (it.lease_left_us > 0) {
            gate.grants_live_until[{it.name, static_cast<std::uint64_t>(it.incarnation)}] =
                now + duration(it.lease_left_us) + drift_margin;
        }
        const auto* row = machine_->current()->latest_row(it.name);
        if (row == nullptr || row->gate != request.gate.name ||
            row->incarnation != static_cast<std::uint64_t>(it.incarnation)) {
            continue;
        }
        auto& tracked = upstreams_[it.name];
        tracked.reporting_gate = request.gate.name;
        tracked.incarnation = row->incarnation;
        next_plan_ = tracked.health == it.health ? next_plan_ : now;
        tracked.health = it.health;
        tracked.acknowledged = static_cast<ownership::epoch_number>(it.granted_version);
    }
}

time_point data_center_tier::latest_grant_end(const ownership::upstream_row& row) const {
    // The former leader may have renewed gate leases until it lost its quorum, and a grant ends no later than
    // the gate lease.
    time_point bound = leader_since_ + gate_lease + drift_margin;
    if (generation_ > 1) {
        // The leader of the former generation counts an instance towards its majority for one lease period
        // after the instance's last request, and may grant leases until the end of that period. So its gates
        // can dispatch for two lease periods after this generation first had a majority.
        bound = std::max(bound, first_granted_ + 2 * gate_lease + 2 * drift_margin);
    }
    for (const auto& [name, it] : instances_) {
        const bool renews = row.gate == name && row.condition != ownership::upstream_status::lost;
        if (renews || it.applied_epoch < row.epoch) {
            // It may renew the grant, or may have done so since its last report, but not past its own lease.
            bound = std::max(bound, it.lease_until);
        } else if (const auto grant = it.grants_live_until.find({row.name, row.incarnation});
                   grant != it.grants_live_until.end()) {
            bound = std::max(bound, grant->second);
        }
    }
    return bound;
}

namespace {

bool owns_shards(const ownership::table& rows, const ownership::upstream_row& row) {
    const auto index = static_cast<std::uint32_t>(&row - rows.upstreams.data());
    const auto service = rows.services.find(row.service);
    if (service == rows.services.end()) {
        return false;
    }
    const auto owned = [index](const ownership::shard_row& it) { return it.owner == index; };
    return std::any_of(service->second.shards.begin(), service->second.shards.end(), owned) ||
           std::any_of(service->second.hot_keys.begin(), service->second.hot_keys.end(),
                       [&](const auto& it) { return owned(it.second); });
}

/// True if another, lost incarnation of the upstream still owns shards. The planner then waits for the end of
/// that incarnation's grants.
bool lost_incarnation_owns_shards(const ownership::table& rows, const ownership::upstream_row& row) {
    return std::any_of(rows.upstreams.begin(), rows.upstreams.end(), [&](const ownership::upstream_row& it) {
        return &it != &row && it.name == row.name && it.condition == ownership::upstream_status::lost &&
               owns_shards(rows, it);
    });
}

} // namespace

ownership::cluster_view data_center_tier::make_cluster_view(const ownership::table& rows,
                                                            time_point now) const {
    ownership::cluster_view view;
    view.live_replicas = live_replicas(now);
    for (const auto& [name, it] : instances_) {
        if (!it.stopping && now - it.last_lease_request < instance_lost_after) {
            view.live_instances.insert(name);
            view.hot_keys.insert(view.hot_keys.end(), it.hot_keys.begin(), it.hot_keys.end());
        }
    }
    for (const auto& row : rows.upstreams) {
        if (lost_incarnation_owns_shards(rows, row)) {
            continue;
        }
        view.grant_may_live_until[row.name] = latest_grant_end(row);
        const auto it = upstreams_.find(row.name);
        if (it != upstreams_.end() && it->second.incarnation == row.incarnation) {
            view.acknowledged_version[row.name] = it->second.acknowledged;
            view.joined_at[row.name] = it->second.joined_at;
        }
    }
    return view;
}

void data_center_tier::plan(time_point now) {
    if (pending_proposals_ > 0 || !majority_requested_lease(now) || first_granted_ == time_point{}) {
        return;
    }
    const auto rows = machine_->current();
    propose_placements(*rows);
    plan_ledger_groups(*rows, now);
    propose_lost_upstreams(*rows, now);
    if (pending_proposals_ > 0) {
        return;
    }
    for (const auto& it : planner_->plan(*rows, make_cluster_view(*rows, now), now)) {
        propose(it);
    }
}

void data_center_tier::propose_lost_upstreams(const ownership::table& rows, time_point now) {
    for (const auto& row : rows.upstreams) {
        const auto it = upstreams_.find(row.name);
        if (rows.latest_row(row.name) != &row || it == upstreams_.end() ||
            it->second.incarnation != row.incarnation || it->second.reporting_gate != row.gate) {
            continue;
        }
        const auto health = it->second.health;
        if (row.condition == ownership::upstream_status::joining) {
            it->second.joined_at = now; // the cold-start ramp begins when it becomes active
        }
        if (row.condition != ownership::upstream_status::lost && health == 2) { // reported_health::failed
            spdlog::warn("upstream lost upstream={} gate={}", row.name, row.gate);
            propose(ownership::set_condition{row.name, row.incarnation, ownership::upstream_status::lost});
        }
    }
}

void data_center_tier::propose_placements(const ownership::table& rows) {
    for (const auto& [service, placement] : global_.state().homes) {
        const auto it = proposed_placements_.find(service);
        if (rows.services.count(service) == 0 ||
            (it != proposed_placements_.end() && it->second == placement)) {
            continue;
        }
        ownership::set_placement change{service, {}};
        for (std::uint32_t shard = 0; shard < placement.homes.size(); ++shard) {
            const auto index = static_cast<std::size_t>(placement.homes[shard]);
            if (placement.data_centers.at(index) == shared_.settings.data_center) {
                change.shards.push_back(shard);
            }
        }
        proposed_placements_[service] = placement;
        propose(change);
    }
}

void data_center_tier::propose(const ownership::command& change) {
    ++pending_proposals_;
    const auto term = group_->node().term();
    group_->propose(ownership::encode(change), [this, term](const auto&) {
        if (pending_proposals_ > 0 && group_->node().term() == term) {
            --pending_proposals_;
        }
    });
}

void data_center_tier::on_announce(const wire::Announce& announced, std::function<void(bool)> done) {
    if (!leads()) {
        auto* const link = shared_.link_to(known_leader());
        if (link == nullptr) {
            done(false);
            return;
        }
        link->request({transport::frame_type::announce, 0, transport::encode(announced)}, gate_lease,
                      [done = std::move(done)](const transport::reply& it) {
                          done(it.answer &&
                               transport::decode<wire::CommandReply>(it.answer->payload).committed);
                      });
        return;
    }
    const auto rows = machine_->current();
    const auto* row = rows->latest_row(announced.name);
    ownership::register_upstream change;
    change.row.name = announced.name;
    change.row.incarnation = static_cast<std::uint64_t>(announced.incarnation);
    change.row.service = announced.service_name;
    change.row.address = announced.address;
    change.row.slots = static_cast<std::uint32_t>(announced.slots);
    change.row.connections = static_cast<std::uint32_t>(announced.connections);
    change.row.checks_grants = announced.checks_grants;
    change.row.condition =
        announced.draining ? ownership::upstream_status::draining : ownership::upstream_status::joining;
    const bool known = row != nullptr && row->incarnation == change.row.incarnation &&
                       row->condition != ownership::upstream_status::lost &&
                       row->address == change.row.address &&
                       announced.draining == (row->condition == ownership::upstream_status::draining);
    const auto shards = shard_count_of(announced.service_name);
    if (known || shards == 0) {
        done(known);
        return;
    }
    // No shard is placed in this data centre until the global group decides so. An empty set would mean all
    // shards, so the set holds only the index after the last shard.
    change.shards = shards;
    change.placed_shards = {shards};
    group_->propose(ownership::encode(ownership::command(change)),
                    [done = std::move(done)](const auto& result) { done(result.has_value()); });
}

std::uint32_t data_center_tier::shard_count_of(const std::string& service) const {
    if (global_.state().profiles.empty()) {
        return 0;
    }
    for (const auto& accepted : profile::store::decode(global_.state().profiles).all()) {
        for (const auto& it : profile::parse_profile(accepted.name, accepted.content).services) {
            if (it.name == service) {
                return it.shards;
            }
        }
    }
    return 0;
}

bool data_center_tier::newer_than_published(const ownership::table& rows) const {
    return !published_ || published_->generation != rows.generation || published_->version < rows.version;
}

void data_center_tier::mirror_and_publish(time_point now) {
    const auto rows = machine_->current();
    if (active_mirror_ == 0 && now >= next_mirror_ && mirrored_version_ < rows->version) {
        start_mirror(rows, now);
    }
    // Without an answer in time, the data centre counts as cut off from the global group and continues with
    // its own group alone. The mirror write is retried until it succeeds.
    if (newer_than_published(*rows) && (active_mirror_ == 0 || now - mirror_since_ > mirror_wait)) {
        publish(rows);
    }
}

void data_center_tier::start_mirror(const std::shared_ptr<const ownership::table>& rows, time_point now) {
    active_mirror_ = ++mirror_serial_;
    mirror_since_ = now;
    wire::TableMirror mirror;
    mirror.data_center = shared_.settings.data_center;
    mirror.generation = static_cast<std::int64_t>(generation_);
    mirror.version = static_cast<std::int64_t>(rows->version);
    mirror.table = ownership::encode(*rows);
    global_.propose(encode_mirror(mirror), [this, rows, serial = active_mirror_](const auto& result) {
        if (active_mirror_ != serial) {
            return; // started during an earlier leadership
        }
        active_mirror_ = 0;
        if (!result) {
            next_mirror_ = steady_now() + mirror_retry;
            return;
        }
        mirrored_version_ = rows->version;
        if (leads() && newer_than_published(*rows)) {
            publish(rows);
        }
    });
}

void data_center_tier::publish(std::shared_ptr<const ownership::table> rows) {
    published_ = rows;
    callbacks_.on_table(std::move(rows));
    push_table();
}

void data_center_tier::push_table() {
    const auto update = newer_table(0, 0);
    const auto payload = transport::encode(*update);
    for (const auto& [name, it] : instances_) {
        if (auto* const link = shared_.link_to(name)) {
            link->notify({transport::frame_type::table_update, 0, payload});
        }
    }
}

void data_center_tier::replace_voters(time_point now) {
    consensus::replacement_options options;
    options.voters = std::min<std::size_t>(3, std::max<std::uint32_t>(shared_.settings.data_center_size, 1));
    std::vector<consensus::member_id> spares;
    for (const auto& [name, it] : instances_) {
        if (!it.stopping && now - it.last_lease_request < instance_lost_after) {
            spares.push_back({name, it.info.incarnation});
        }
    }
    const auto view = consensus::replacement_view_of(group_->node(), group_->self(), std::move(spares), now);
    if (const auto change = consensus::replacement_policy(options).next(view, now)) {
        spdlog::info("changing voters member={} change={}", change->member.name,
                     static_cast<int>(change->kind));
        group_->change_membership(*change);
    }
}

} // namespace kingcupseam::app
