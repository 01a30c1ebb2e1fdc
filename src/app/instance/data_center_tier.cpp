#include "app/instance/data_center_tier.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

// Tolerates the loss of two renewals before an instance asks the global group for a new generation.
constexpr duration ungrouped_after = std::chrono::milliseconds(1500);
// Short, so that a new leader is found before the next renewal is due; a refused request is cheap.
constexpr duration lease_retry = std::chrono::milliseconds(25);

// Lower than every version; 0 is the version of a table that a new generation restored from the mirror.
constexpr std::int64_t no_table_version = -1;

} // namespace

assignment_machine::assignment_machine(const std::string& data_center, std::uint64_t generation,
                                       const std::string& mirrored_table) {
    if (mirrored_table.empty()) {
        state_ = std::make_unique<ownership::assignment_state>(data_center, generation);
        return;
    }
    auto rows = ownership::decode_table(mirrored_table);
    rows.generation = generation;
    rows.version = 0; // versions are log indexes, and the log of a new generation is empty
    state_ = std::make_unique<ownership::assignment_state>(std::move(rows));
}

std::string assignment_machine::apply(const std::string& command, std::uint64_t index) {
    return state_->apply(ownership::decode_command(command), index) ? "changed" : "";
}

std::string assignment_machine::save() const {
    return ownership::encode(*state_->current());
}

void assignment_machine::restore(const std::string& saved) {
    state_ = std::make_unique<ownership::assignment_state>(ownership::decode_table(saved));
}

data_center_tier::data_center_tier(control_context& shared, global_tier& global, observer callbacks)
    : shared_(shared), global_(global), callbacks_(std::move(callbacks)) {}

void data_center_tier::on_global_state(const wire::GlobalState& state) {
    const auto it = state.formations.find(shared_.settings.data_center);
    if (it != state.formations.end() && static_cast<std::uint64_t>(it->second.generation) > generation_) {
        join(it->second);
    }
}

void data_center_tier::join(const wire::GroupFormation& formation) {
    generation_ = static_cast<std::uint64_t>(formation.generation);
    voters_.clear();
    consensus::membership members;
    for (const auto& it : formation.voters) {
        voters_.push_back(it.name);
        members.voters.push_back({it.name, static_cast<std::uint64_t>(it.incarnation)});
    }
    leader_.clear();
    first_granted_ = {};
    last_granted_ = steady_now(); // allows time for the new group's first election
    was_leader_ = false;
    if (group_) {
        group_->abandon_proposals();
    }
    group_.reset();
    machine_ =
        std::make_unique<assignment_machine>(shared_.settings.data_center, generation_, formation.table);
    consensus::options options;
    options.group = group_number(shared_.settings.data_center, generation_);
    options.self = {shared_.settings.name, shared_.incarnation};
    options.seed = shared_.incarnation;
    auto store = storage::make_memory_log_store(shared_.incarnation);
    const bool initial_voter =
        std::find(members.voters.begin(), members.voters.end(), options.self) != members.voters.end();
    if (initial_voter) {
        consensus::node::bootstrap(*store, members);
    }
    spdlog::info("joined data centre group generation={} voter={}", generation_, initial_voter);
    group_ = std::make_unique<
        replicated_group>(options, std::move(store), *machine_, [this](const auto& message) {
        if (auto* const link = shared_.link_to(message.to.name)) {
            link->notify({transport::frame_type::consensus_message, 0, transport::encode(to_wire(message))});
        }
    });
}

void data_center_tier::on_consensus_message(const consensus::message& received) {
    if (group_) {
        group_->receive(received);
    }
}

void data_center_tier::on_gate_report(gate_report report) {
    const auto health_of = [](const gate_report& source) {
        std::map<std::string, std::int8_t> result;
        for (const auto& it : source.upstreams) {
            result[it.name] = it.health;
        }
        return result;
    };
    if (report.applied_epoch != report_.applied_epoch ||
        report.installed_ledger_groups != report_.installed_ledger_groups ||
        health_of(report) != health_of(report_)) {
        next_lease_request_ = steady_now();
    }
    report_ = std::move(report);
}

bool data_center_tier::ungrouped(time_point now) const {
    return now - last_granted_ > ungrouped_after;
}

void data_center_tier::tick(time_point now) {
    if (group_) {
        group_->tick();
        if (const auto known = group_->node().leader()) {
            leader_ = known->name;
        }
        run_leader_duties(now);
    }
    if (generation_ > 0 && now >= next_lease_request_) {
        next_lease_request_ = now + shared_.settings.grant_interval;
        request_lease(now);
    }
}

std::string data_center_tier::pick_lease_target() {
    if (leads()) {
        return shared_.settings.name;
    }
    leader_ = known_leader();
    if (!leader_.empty() && (leader_ == shared_.settings.name || shared_.link_to(leader_) != nullptr)) {
        return leader_;
    }
    // All voters of the formation may have been replaced since, so the other instances are asked as well.
    auto candidates = voters_;
    for (const auto& [name, it] : shared_.instances) {
        if (it.data_center == shared_.settings.data_center &&
            std::find(candidates.begin(), candidates.end(), name) == candidates.end()) {
            candidates.push_back(name);
        }
    }
    return candidates.empty() ? "" : candidates[next_candidate_++ % candidates.size()];
}

std::string data_center_tier::known_leader() const {
    // A voter learns of a new leader from the consensus group before the first lease is granted.
    const auto elected = group_ ? group_->node().leader() : std::nullopt;
    return elected ? elected->name : leader_;
}

void data_center_tier::request_lease(time_point now) {
    wire::GateLeaseRequest request;
    request.gate = to_wire(shared_.self());
    request.sequence = ++lease_sequence_;
    request.generation = static_cast<std::int64_t>(generation_);
    request.table_version = published_ && published_->generation == generation_
                                ? static_cast<std::int64_t>(published_->version)
                                : no_table_version;
    request.reports = report_.upstreams;
    request.applied_epoch = static_cast<std::int64_t>(report_.applied_epoch);
    request.stopping = stopping_;
    request.installed_ledger_groups.assign(report_.installed_ledger_groups.begin(),
                                           report_.installed_ledger_groups.end());
    for (const auto& it : report_.hot_keys) {
        wire::KeyLoad load;
        load.service_name = it.service;
        load.key = it.key;
        load.requests_per_second = it.requests_per_second;
        request.hot_keys.push_back(load);
    }
    const auto target = pick_lease_target();
    if (target == shared_.settings.name) {
        on_lease_reply(target, on_lease_request(request, now), now);
        return;
    }
    auto* const link = shared_.link_to(target);
    if (link == nullptr) {
        leader_.clear();
        next_lease_request_ = now + lease_retry;
        return;
    }
    link->request({transport::frame_type::gate_lease_request, 0, transport::encode(request)},
                  shared_.settings.grant_interval, [this, target, now](const transport::reply& it) {
                      if (it.answer) {
                          on_lease_reply(target, transport::decode<wire::GateLeaseReply>(it.answer->payload),
                                         now);
                      } else {
                          if (leader_ == target) {
                              leader_.clear();
                          }
                          next_lease_request_ = std::min(next_lease_request_, steady_now() + lease_retry);
                      }
                  });
}

void data_center_tier::on_lease_reply(const std::string& from, const wire::GateLeaseReply& reply,
                                      time_point sent) {
    if (static_cast<std::uint64_t>(reply.generation) != generation_) {
        return;
    }
    if (!reply.granted) {
        // A leader that names itself has not had lease requests from a majority yet, so it is asked again.
        leader_ = reply.leader;
        next_lease_request_ = std::min(next_lease_request_, steady_now() + lease_retry);
        return;
    }
    leader_ = from;
    last_granted_ = steady_now();
    if (first_granted_ == time_point{}) {
        first_granted_ = last_granted_;
    }
    // Counted from the sending of the request, so the lease ends here before the leader considers it ended.
    lease_end_ = std::max(lease_end_, sent + duration(reply.lease_us));
    callbacks_.on_lease(lease_end_);
}

std::optional<wire::TableUpdate> data_center_tier::newer_table(std::int64_t generation,
                                                               std::int64_t version) const {
    if (!published_ ||
        (static_cast<std::int64_t>(published_->generation) == generation &&
         static_cast<std::int64_t>(published_->version) <= version) ||
        static_cast<std::int64_t>(published_->generation) < generation) {
        return std::nullopt;
    }
    wire::TableUpdate update;
    update.data_center = shared_.settings.data_center;
    update.generation = static_cast<std::int64_t>(published_->generation);
    update.version = static_cast<std::int64_t>(published_->version);
    update.table = ownership::encode(*published_);
    return update;
}

void data_center_tier::on_table_update(const wire::TableUpdate& update) {
    if (update.data_center != shared_.settings.data_center || leads()) {
        return;
    }
    auto rows = std::make_shared<const ownership::table>(ownership::decode_table(update.table));
    const bool newer = !published_ || rows->generation > published_->generation ||
                       (rows->generation == published_->generation && rows->version > published_->version);
    if (newer) {
        published_ = rows;
        callbacks_.on_table(std::move(rows));
    }
}

} // namespace kingcupseam::app
