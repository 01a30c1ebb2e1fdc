#include "router/control_node.h"

#include "app/instance/control_context.h"
#include "router/control_orders.h"
#include "router/instance_name.h"
#include "router/link_settings.h"
#include "router/load_decay.h"

#include <kingcupseam/error.h>
#include <kingcupseam/lifecycle.h>
#include <kingcupseam/storage.h>

#include <directory_types.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::router {

namespace {

using transport::decode;
using transport::encode;
using transport::frame_type;

constexpr std::uint64_t control_group_number = 1;
// Long intervals: a process that is limited to a tenth of a core runs only in a part of each 100 ms.
constexpr duration heartbeat_interval = std::chrono::milliseconds(120);
constexpr duration election_timeout = std::chrono::milliseconds(700);
constexpr duration tick_interval = std::chrono::milliseconds(40);
constexpr duration late_tick = std::chrono::milliseconds(300);
constexpr duration lease_manager_interval = std::chrono::milliseconds(80);
constexpr duration min_status_interval = std::chrono::milliseconds(200);
// Longer than outages of zones and machines.
constexpr duration max_upstream_silence = std::chrono::seconds(40);

/// Refuses what this member could not reply to, or would store and fail to apply.
/// @throws transport::malformed_frame
void check_message(const consensus::message& received) {
    parse_instance_name(received.from.name);
    try {
        if (received.state) {
            (void)directory::decode_snapshot(received.state->data);
        }
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
}

} // namespace

control_node::control_node(asio::io_context& context, process_settings settings, metrics::registry& registry,
                           call_sender send_call)
    : context_(context), settings_(std::move(settings)), registry_(registry),
      send_call_(std::move(send_call)), state_machine_([this] {
          publisher_.publish(state_machine_.state());
          receipts_.on_change(state_machine_.state()->index, steady_now());
      }),
      publisher_(context, task_times_), tick_timer_(context), leader_notices_(max_notice_age),
      entries_(context, task_times_, [this] { return status_payload(); }), order_failures_(registry) {
    open_group();
    const transport::peer_identity identity{self_, settings_.data_center};
    const auto handler = [this](const std::shared_ptr<transport::connection>& from,
                                const transport::frame& received) { on_frame(from, received); };
    mesh_ = std::make_unique<app::peer_mesh>(context_, identity, control_link_settings(), handler);
    server_ = std::make_unique<transport::peer_server>(context_,
                                                       endpoint_address{settings_.ip, settings_.peer_port},
                                                       identity, control_link_settings(), handler);
    set_seeds(settings_.seeds);
    tick();
}

control_node::~control_node() {
    group_->abandon_proposals();
}

std::string control_node::peer_name(const std::string& ip) const {
    return to_string(endpoint_address{ip, settings_.peer_port});
}

void control_node::open_group() {
    const std::filesystem::path folder = settings_.data_folder.value_or("data");
    auto opened = open_member_store(folder, settings_.bootstrap, peer_name(settings_.ip), [this] {
        std::vector<std::string> names;
        for (const auto& it : settings_.seeds) {
            names.push_back(peer_name(it));
        }
        return names;
    }());
    self_ = opened.self;
    consensus::options options;
    options.group = control_group_number;
    options.self = self_;
    options.heartbeat_interval = heartbeat_interval;
    options.election_timeout = election_timeout;
    // Safe because the lease manager waits for a former leader's calls, see on_leadership_change().
    options.elect_after_restart = true;
    options.seed = opened.store->identity();
    group_ =
        std::make_unique<app::replicated_group>(options, std::move(opened.store), state_machine_,
                                                [this](const consensus::message& it) { send_message(it); });
    spdlog::info("control group opened member={} incarnation={} voters={} index={}", self_.name,
                 self_.incarnation, group_->node().members().voters.size(), state_machine_.state()->index);
}

void control_node::send_message(const consensus::message& message) {
    if (message.to.name == self_.name) {
        return; // a former incarnation of this instance
    }
    dial(message.to.name);
    mesh_->link_to(message.to.name, parse_endpoint("control group", "member", message.to.name))
        .notify({frame_type::consensus_message, 0, encode(app::to_wire(message))});
}

void control_node::on_frame(const std::shared_ptr<transport::connection>& from,
                            const transport::frame& received) {
    switch (received.type) {
    case frame_type::consensus_message: {
        const task_times::scope measured(task_times_, control_task::consensus);
        const auto message = app::from_wire(decode<wire::ConsensusMessage>(received.payload));
        check_message(message);
        group_->receive(message);
        break;
    }
    case frame_type::join_request:
        on_join(from, decode<wire::JoinRequest>(received.payload));
        break;
    case frame_type::directory_subscribe:
        on_subscribe(from, decode<wire::DirectorySubscribe>(received.payload));
        break;
    case frame_type::load_report:
        on_load_report(from->peer().id.name, received.payload);
        break;
    case frame_type::control_order:
        on_order(from, received);
        break;
    default:
        spdlog::warn("frame ignored type={} peer={}", static_cast<int>(received.type), from->peer().id.name);
    }
}

void control_node::on_subscribe(const std::shared_ptr<transport::connection>& from,
                                const wire::DirectorySubscribe& request) {
    if (request.ends) {
        publisher_.unsubscribe(*from);
        return;
    }
    publisher_.subscribe(from, {static_cast<std::uint64_t>(request.known_index), request.expands,
                                static_cast<std::uint64_t>(request.subscription)});
}

void control_node::log_late_tick(time_point now) {
    const duration gap = now - std::exchange(last_tick_, now);
    if (gap > late_tick) {
        spdlog::warn("control thread late gap_ms={} subscribers={} processor_ms=\"{}\"",
                     std::chrono::duration_cast<std::chrono::milliseconds>(gap).count(),
                     publisher_.subscribers(), task_times_.take());
    }
}

void control_node::tick() {
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            // A lease manager whose step ended halfway may wait for calls that were never sent.
            lifecycle::run_or_end_process("control tick", [this] { tick(); });
        }
    });
    const time_point now = steady_now();
    log_late_tick(now);
    {
        const task_times::scope measured(task_times_, control_task::group);
        group_->tick();
    }
    const bool leading = group_->leads();
    if (leading != leading_) {
        on_leadership_change(leading, now);
    }
    if (leading) {
        tick_leader(now);
    }
    if (const bool follows = group_->node().leader().has_value(); follows != follows_) {
        follows_ = follows;
        status_due_ = true;
    }
    if (status_due_ && now - last_status_at_ >= min_status_interval) {
        broadcast_status();
    }
    if (now >= next_join_) {
        next_join_ = now + join_interval;
        task_times_.take();
        order_failures_.log();
        send_joins();
        broadcast_status();
    }
}

void control_node::on_leadership_change(bool leading, time_point now) {
    leading_ = leading;
    forget_receipts();
    const std::uint64_t term = group_->node().term();
    // A leader that was out of contact and still leads the same term: no other member has led meanwhile, so
    // its knowledge of the leases is complete.
    const bool resumes = leading && lease_manager_ && lease_manager_term_ == term;
    if (leading && !resumes) {
        ++lease_manager_generation_;
        lease_manager_term_ = term;
        key_ranges::lease_manager_options options;
        // Leaves a margin below the longest allowed lease for the clock error of upstreams.
        options.lease_time = std::min(settings_.max_hold, duration(std::chrono::seconds(9)));
        options.announce_timeout = settings_.announce_interval * 3;
        // Calls of a former leader to upstreams may still be in transit.
        lease_manager_ = std::make_unique<key_ranges::lease_manager>(options, now + election_timeout);
        conditions_.clear();
        last_announcements_.clear();
        key_loads_.clear();
        limits_.clear();
        poison_detector_ = poison_request_detector();
        for (const auto& [id, it] : state_machine_.state()->upstreams) {
            conditions_[id].last_announced = now;
        }
    }
    spdlog::info("control leadership leads={} resumes={} term={} index={}", leading, resumes, term,
                 state_machine_.state()->index);
    send_joins();
    broadcast_status();
}

void control_node::tick_leader(time_point now) {
    if (now >= next_decay_) {
        next_decay_ = now + load_decay_interval;
        for (auto& [service, it] : key_loads_) {
            it.decay(load_decay_factor);
        }
        poison_detector_.expire(now);
        check_receipts(now);
        replace_lost_members(now);
        remove_silent_upstreams(now);
    }
    // The leadership may have ended while the disk was written.
    if (now >= next_lease_manager_run_ && group_->leads()) {
        next_lease_manager_run_ = now + lease_manager_interval;
        run_lease_manager(steady_now());
    }
}

void control_node::run_lease_manager(time_point now) {
    const task_times::scope measured(task_times_, control_task::plan);
    update_speeds();
    update_limits(now);
    auto effects = lease_manager_->tick({*state_machine_.state(), conditions_, key_loads_}, now);
    const std::uint64_t generation = lease_manager_generation_;
    // Before the command, whose write may outlast the leadership under which the calls were planned.
    for (auto& it : effects.calls) {
        const std::uint64_t id = it.id;
        send_call_(std::move(it),
                   [this, generation, id](key_ranges::call_result result, const std::string& handover) {
                       if (generation == lease_manager_generation_ && lease_manager_) {
                           lifecycle::run_or_end_process("lease manager", [&] {
                               lease_manager_->on_result(id, result, handover, steady_now());
                           });
                       }
                   });
    }
    if (!effects.command.empty()) {
        for (const auto& it : effects.command.assignments) {
            spdlog::info("range assigned service={} first={} last={} upstream={}", it.service, it.first,
                         it.last, it.owner.id);
        }
        propose(effects.command, [this, generation](bool committed) {
            if (generation == lease_manager_generation_ && lease_manager_) {
                lease_manager_->on_command(committed);
            }
        });
    }
}

void control_node::remove_silent_upstreams(time_point now) {
    directory::command change;
    for (const auto& [id, it] : state_machine_.state()->upstreams) {
        const auto known = conditions_.find(id);
        if (known != conditions_.end() && now - known->second.last_announced > max_upstream_silence) {
            change.removed_upstreams.push_back(id);
            conditions_.erase(known);
        }
    }
    if (!change.empty()) {
        propose(change, [](bool) {});
    }
}

void control_node::propose(const directory::command& change, on_accepted done) {
    if (!group_->leads()) {
        order_failures_.add("commit", "lost-leadership");
        done(false);
        return;
    }
    group_->propose(directory::encode(change),
                    [this, done = std::move(done)](const std::optional<std::string>& result) {
                        if (!result) {
                            order_failures_.add("commit", "not-committed");
                        }
                        done(result.has_value());
                    });
}

} // namespace kingcupseam::router
