#include "app/instance/global_tier.h"

#include "app/instance/storage_wait.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr duration leader_duty_interval = std::chrono::milliseconds(100);
constexpr duration voter_poll_interval = std::chrono::milliseconds(200);
constexpr duration command_timeout = std::chrono::milliseconds(800);
// An instance that finds no leader in this time serves with the newest state it has received, so that a data
// centre without contact to the others can serve after a restart.
constexpr duration authoritative_wait = std::chrono::seconds(3);

} // namespace

global_tier::global_tier(control_context& shared, state_observer observer)
    : shared_(shared), observer_(std::move(observer)), started_(steady_now()), next_leader_duties_(started_),
      next_voter_poll_(started_) {
    if (shared_.settings.data_folder) {
        open_group(std::nullopt);
    }
}

void global_tier::open_group(const std::optional<consensus::membership>& initial) {
    auto store =
        storage::open_file_log_store(*shared_.settings.data_folder, std::make_shared<storage_wait>());
    if (initial) {
        consensus::node::bootstrap(*store, *initial);
    }
    consensus::options options;
    options.group = global_group_number;
    options.self = {shared_.settings.name, store->identity()};
    options.seed = store->identity() ^ shared_.incarnation;
    group_ = std::make_unique<
        replicated_group>(options, std::move(store), machine_, [this](const auto& message) {
        if (auto* const link = shared_.link_to(message.to.name)) {
            link->notify({transport::frame_type::consensus_message, 0, transport::encode(to_wire(message))});
        }
    });
}

void global_tier::tick(time_point now) {
    if (group_) {
        group_->tick();
        if (const auto known = group_->node().leader()) {
            leader_ = known->name;
        }
        if (group_->store().last_index() == 0 && now >= next_voter_poll_) {
            next_voter_poll_ = now + voter_poll_interval;
            poll_initial_voters();
        }
        publish();
        if (leads() && now >= next_leader_duties_) {
            next_leader_duties_ = now + leader_duty_interval;
            run_leader_duties(now);
        }
    }
    ready_ = ready_ || leads() || (now - started_ > authoritative_wait && known_.version > 0);
}

void global_tier::on_consensus_message(const consensus::message& received) {
    if (group_) {
        group_->receive(received);
        publish();
    }
}

void global_tier::publish() {
    if (machine_.version() > static_cast<std::uint64_t>(known_.version)) {
        known_ = machine_.visible();
        observer_(known_);
    }
}

wire::VoterStatusReply global_tier::on_voter_status_request() const {
    wire::VoterStatusReply reply;
    reply.formed = group_ && group_->store().last_index() > 0;
    reply.identity = group_ ? static_cast<std::int64_t>(group_->self().incarnation) : 0;
    return reply;
}

void global_tier::poll_initial_voters() {
    for (const auto& name : shared_.settings.global_voters) {
        if (name == shared_.settings.name) {
            empty_voters_[name] = static_cast<std::int64_t>(group_->self().incarnation);
        } else if (auto* const link = shared_.link_to(name)) {
            wire::VoterStatusRequest request;
            request.sender = shared_.settings.name;
            link->request({transport::frame_type::voter_status_request, 0, transport::encode(request)},
                          voter_poll_interval, [this, name](const transport::reply& it) {
                              empty_voters_.erase(name);
                              if (it.answer) {
                                  const auto reply =
                                      transport::decode<wire::VoterStatusReply>(it.answer->payload);
                                  if (!reply.formed && reply.identity != 0) {
                                      empty_voters_[name] = reply.identity;
                                  }
                                  form_group_if_all_empty();
                              }
                          });
        }
    }
    form_group_if_all_empty();
}

void global_tier::form_group_if_all_empty() {
    const auto& voters = shared_.settings.global_voters;
    const bool first =
        !voters.empty() && *std::min_element(voters.begin(), voters.end()) == shared_.settings.name;
    // A voter that lost its disk also reports an empty folder, but then another voter reports a formed group.
    if (!first || empty_voters_.size() != voters.size() || group_->store().last_index() != 0) {
        return;
    }
    consensus::membership members;
    for (const auto& [name, identity] : empty_voters_) {
        members.voters.push_back({name, static_cast<std::uint64_t>(identity)});
    }
    spdlog::info("global group formed voters={}", members.voters.size());
    group_->abandon_proposals();
    group_.reset(); // releases the data folder
    open_group(members);
}

wire::StateReply global_tier::on_state_request(const wire::StateRequest& request, time_point now) {
    shared_.update_instance(from_wire(request.sender));
    if (request.ungrouped) {
        record_ungrouped(request, now);
    }
    wire::StateReply reply;
    reply.version = known_.version;
    reply.leader = leader_;
    reply.authoritative = leads();
    if (known_.version > request.known_version) {
        reply.state = transport::encode(known_);
    }
    if (static_cast<std::size_t>(request.known_instances) < shared_.instances.size() + 1) {
        for (const auto& [name, it] : shared_.instances) {
            reply.instances.push_back(to_wire(it));
        }
        reply.instances.push_back(to_wire(shared_.self()));
    }
    return reply;
}

void global_tier::on_state_reply(const wire::StateReply& reply, time_point /*now*/) {
    for (const auto& it : reply.instances) {
        shared_.update_instance(from_wire(it));
    }
    // An instance with a disk has a group even while it is not a member; that group does not know the leader.
    const bool group_knows_leader = group_ && group_->node().leader().has_value();
    if (!reply.leader.empty() && !group_knows_leader) {
        leader_ = reply.leader;
    }
    if (!reply.state.empty() && reply.version > known_.version) {
        known_ = transport::decode<wire::GlobalState>(reply.state);
        observer_(known_);
    }
    ready_ = ready_ || (reply.authoritative && known_.version >= reply.version);
}

void global_tier::propose(const std::string& command, replicated_group::on_result done) {
    if (leads()) {
        group_->propose(command, std::move(done));
        return;
    }
    auto* const link = shared_.link_to(leader_);
    if (link == nullptr) {
        done(std::nullopt);
        return;
    }
    wire::CommandRequest request;
    request.command = command;
    link->request({transport::frame_type::command_request, 0, transport::encode(request)}, command_timeout,
                  [done = std::move(done)](const transport::reply& it) {
                      if (!it.answer) {
                          done(std::nullopt);
                          return;
                      }
                      auto reply = transport::decode<wire::CommandReply>(it.answer->payload);
                      done(reply.committed ? std::optional(std::move(reply.result)) : std::nullopt);
                  });
}

void global_tier::on_command(const wire::CommandRequest& request,
                             std::function<void(wire::CommandReply)> done) {
    if (!leads()) {
        wire::CommandReply reply;
        reply.leader = leader_;
        done(reply);
        return;
    }
    group_->propose(request.command,
                    [this, done = std::move(done)](const std::optional<std::string>& result) {
                        wire::CommandReply reply;
                        reply.committed = result.has_value();
                        reply.result = result.value_or("");
                        reply.leader = leader_;
                        done(reply);
                    });
}

} // namespace kingcupseam::app
