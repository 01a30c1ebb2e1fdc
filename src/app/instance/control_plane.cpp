#include "app/instance/control_plane.h"

#include "app/instance/announcement.h"
#include "app/instance/membership_codec.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

#include <vector>

namespace kingcupseam::app {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration gossip_interval = std::chrono::milliseconds(250);
// Typical probe interval of a load balancer; requests that arrive during it are still served.
constexpr duration unready_period = std::chrono::seconds(1);
constexpr duration gossip_timeout = std::chrono::milliseconds(500);

transport::link_options link_options_of(const settings::instance_settings& source) {
    transport::link_options options;
    options.heartbeat_interval = source.heartbeat_interval;
    options.heartbeat_timeout = source.heartbeat_timeout;
    return options;
}

membership::options membership_options_of(const settings::instance_settings& source,
                                          std::uint64_t incarnation) {
    membership::options options;
    options.self.id = {source.name, incarnation};
    options.self.address = source.peer_listen;
    for (const auto& it : source.seeds) {
        if (it.data_center == source.data_center && it.name != source.name) {
            options.seeds.push_back(it.address);
        }
    }
    options.seed = incarnation;
    return options;
}

} // namespace

control_plane::control_plane(asio::io_context& context, const settings::instance_settings& settings,
                             std::uint64_t incarnation, metrics::registry& registry, observer callbacks)
    : io_(context), settings_(settings), callbacks_(std::move(callbacks)),
      mesh_(context, {{settings.name, incarnation}, settings.data_center}, link_options_of(settings),
            [this](const auto& from, const transport::frame& received) { on_frame(from, received); }),
      shared_{context, settings, incarnation, mesh_, registry, {}},
      global_(shared_, [this](const auto& state) { on_global_state(state); }),
      data_center_(
          shared_, global_,
          {[this](auto rows) { on_table(settings_.data_center, std::move(rows)); }, callbacks_.on_lease}),
      detector_(membership_options_of(settings, incarnation), steady_now()), timer_(context),
      next_gossip_(steady_now()), random_(incarnation), usage_(registry) {
    view_.self = settings.name;
    view_.data_center = settings.data_center;
    for (const auto& it : settings.seeds) {
        shared_.update_instance({it.name, 0, it.data_center, it.address});
    }
    server_ = std::make_unique<transport::peer_server>(
        context, settings.peer_listen,
        transport::peer_identity{{settings.name, incarnation}, settings.data_center},
        link_options_of(settings),
        [this](const auto& from, const transport::frame& it) { on_frame(from, it); });
    datagrams_ = std::make_unique<transport::datagram_channel>(
        context, settings.peer_listen,
        [this](const endpoint_address& from, std::string_view payload) { on_datagram(from, payload); });
    upstream_listener_ = std::make_unique<http_server>(
        context, http_server_options{.name = "upstreams", .listen = settings.upstream_listen},
        [this](const http_request& request, const http_reply& reply) { on_announce(request, reply); });
    operator_api_ = std::make_unique<operator_api>(shared_, global_, data_center_, view_);
    schedule_tick();
}

void control_plane::schedule_tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec && !stopped_) {
            lifecycle::run_or_end_process("control tick", [this] { tick(steady_now()); });
            schedule_tick();
        }
    });
}

void control_plane::tick(time_point now) {
    global_.tick(now);
    data_center_.tick(now);
    apply_effects(detector_.tick(now));
    if (now >= next_gossip_) {
        next_gossip_ = now + gossip_interval;
        gossip(now);
        fetch_tables();
        usage_.update(mesh_, *server_, *datagrams_);
    }
    if (known_instances_ != shared_.instances.size()) {
        known_instances_ = shared_.instances.size();
        publish();
    }
}

std::string control_plane::pick_gossip_target() {
    // Only the leader of the global group forms data centre groups and can confirm to a starting instance
    // that its state is current, so an instance that waits for either asks the leader.
    if ((!global_.ready() || data_center_.ungrouped(steady_now())) &&
        shared_.link_to(global_.leader()) != nullptr) {
        return global_.leader();
    }
    if (shared_.instances.empty()) {
        return {};
    }
    auto it = shared_.instances.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % shared_.instances.size()));
    return it->first;
}

void control_plane::gossip(time_point now) {
    wire::StateRequest request;
    request.known_version = global_.state().version;
    request.sender = to_wire(shared_.self());
    request.known_instances = static_cast<std::int64_t>(shared_.instances.size() + 1);
    request.ungrouped = !stopping_ && data_center_.ungrouped(now);
    request.generation = static_cast<std::int64_t>(data_center_.generation());
    request.data_center_size = static_cast<std::int32_t>(settings_.data_center_size);
    if (global_.leads()) {
        global_.on_state_request(request, now);
        return;
    }
    if (auto* const link = shared_.link_to(pick_gossip_target())) {
        link->request({transport::frame_type::state_request, 0, transport::encode(request)}, gossip_timeout,
                      [this](const transport::reply& it) {
                          if (it.answer) {
                              global_.on_state_reply(transport::decode<wire::StateReply>(it.answer->payload),
                                                     steady_now());
                          }
                      });
    }
}

void control_plane::fetch_tables() {
    std::map<std::string, std::vector<std::string>> by_data_center;
    for (const auto& [name, it] : shared_.instances) {
        if (it.data_center != settings_.data_center) {
            by_data_center[it.data_center].push_back(name);
        }
    }
    for (const auto& [data_center, names] : by_data_center) {
        wire::TableRequest request;
        request.data_center = data_center;
        const auto known = view_.tables.find(data_center);
        if (known != view_.tables.end()) {
            request.known_generation = static_cast<std::int64_t>(known->second->generation);
            request.known_version = static_cast<std::int64_t>(known->second->version);
        }
        auto* const link = shared_.link_to(names[random_() % names.size()]);
        link->request({transport::frame_type::table_request, 0, transport::encode(request)}, gossip_timeout,
                      [this, name = data_center](const transport::reply& it) {
                          if (it.answer && !it.answer->payload.empty()) {
                              const auto update = transport::decode<wire::TableUpdate>(it.answer->payload);
                              on_table(name, std::make_shared<const ownership::table>(
                                                 ownership::decode_table(update.table)));
                          }
                      });
    }
}

std::optional<wire::TableUpdate> control_plane::table_for(const wire::TableRequest& request) const {
    if (request.data_center != settings_.data_center) {
        return std::nullopt;
    }
    return data_center_.newer_table(request.known_generation, request.known_version);
}

void control_plane::on_frame(const std::shared_ptr<transport::connection>& from,
                             const transport::frame& received) {
    using transport::decode;
    using transport::encode;
    using transport::frame_type;
    const time_point now = steady_now();
    usage_.count_frame(received);
    switch (received.type) {
    case frame_type::consensus_message: {
        const auto message = from_wire(decode<wire::ConsensusMessage>(received.payload));
        if (message.group == global_group_number) {
            global_.on_consensus_message(message);
        } else {
            data_center_.on_consensus_message(message);
        }
        break;
    }
    case frame_type::gate_lease_request: {
        const auto request = decode<wire::GateLeaseRequest>(received.payload);
        const auto reply = data_center_.on_lease_request(request, now);
        from->send({frame_type::gate_lease_reply, received.correlation, encode(reply)});
        if (const auto update = data_center_.newer_table(request.generation, request.table_version);
            update && reply.granted) {
            from->send({frame_type::table_update, 0, encode(*update)});
        }
        break;
    }
    case frame_type::table_update:
        data_center_.on_table_update(decode<wire::TableUpdate>(received.payload));
        break;
    case frame_type::table_request: {
        const auto update = table_for(decode<wire::TableRequest>(received.payload));
        from->send({frame_type::table_update, received.correlation, update ? encode(*update) : ""});
        break;
    }
    case frame_type::state_request:
        from->send({frame_type::state_reply, received.correlation,
                    encode(global_.on_state_request(decode<wire::StateRequest>(received.payload), now))});
        break;
    case frame_type::voter_status_request:
        from->send({frame_type::voter_status_reply, received.correlation,
                    encode(global_.on_voter_status_request())});
        break;
    case frame_type::command_request:
        global_.on_command(decode<wire::CommandRequest>(received.payload),
                           [from, correlation = received.correlation](const wire::CommandReply& reply) {
                               from->send({frame_type::command_reply, correlation, encode(reply)});
                           });
        break;
    case frame_type::announce:
        data_center_.on_announce(decode<wire::Announce>(received.payload),
                                 [from, correlation = received.correlation](bool accepted) {
                                     wire::CommandReply reply;
                                     reply.committed = accepted;
                                     from->send({frame_type::command_reply, correlation, encode(reply)});
                                 });
        break;
    default:
        throw transport::malformed_frame("unexpected frame type on the control listener");
    }
}

void control_plane::on_datagram(const endpoint_address& from, std::string_view payload) {
    usage_.count_datagram();
    try {
        apply_effects(detector_.receive(decode_membership_message(payload), from, steady_now()));
    } catch (const transport::malformed_frame&) {
        shared_.registry
            .counter_of("kingcupseam_malformed_datagrams_total", "Membership datagrams that did not decode")
            .add();
    }
}

void control_plane::apply_effects(const membership::effects& effects) {
    for (const auto& it : effects.messages) {
        datagrams_->send(it.to, encode_membership_message(it.body));
    }
    for (const auto& it : effects.changed) {
        if (it.condition == membership::status::alive) {
            shared_.update_instance({it.id.name, it.id.incarnation, settings_.data_center, it.address});
        }
        spdlog::info("instance changed name={} incarnation={} status={}", it.id.name, it.id.incarnation,
                     static_cast<int>(it.condition));
    }
}

void control_plane::on_global_state(const wire::GlobalState& state) {
    data_center_.on_global_state(state);
    view_.placements.clear();
    for (const auto& [service, placement] : state.homes) {
        view_.placements[service] = {placement.data_centers, placement.homes};
    }
    if (!state.profiles.empty()) {
        const auto accepted = profile::store::decode(state.profiles).all();
        view_.rules = std::make_shared<const profile::rule_index>(accepted);
        for (const auto& it : accepted) {
            spdlog::info("profile in force name={} version={}", it.name, it.version);
        }
    }
    publish();
}

void control_plane::on_table(const std::string& data_center, std::shared_ptr<const ownership::table> rows) {
    auto& current = view_.tables[data_center];
    if (current && (current->generation > rows->generation ||
                    (current->generation == rows->generation && current->version >= rows->version))) {
        return;
    }
    current = std::move(rows);
    publish();
}

void control_plane::publish() {
    view_.instances = shared_.instances;
    auto next = std::make_shared<routing_view>(view_);
    if (!global_.ready()) {
        // The known profile may be older than the one in force before a restart, so it is not used until the
        // global state is confirmed or the wait for it has ended.
        next->rules = nullptr;
    }
    callbacks_.on_view(std::move(next));
}

void control_plane::on_announce(const http_request& request, const http_reply& reply) {
    try {
        const auto announced = parse_announcement(request);
        data_center_.on_announce(announced, [this, reply](bool accepted) {
            reply(accepted ? announcement_accepted(settings_.data_center, settings_.name)
                           : announcement_unavailable());
        });
    } catch (const invalid_input& e) {
        reply(announcement_refused(e));
    }
}

void control_plane::begin_shutdown() {
    stopping_ = true;
    stopping_since_ = steady_now();
    operator_api_->set_stopping();
    data_center_.begin_shutdown();
    apply_effects(detector_.leave(steady_now()));
}

bool control_plane::unready_period_elapsed() const {
    return steady_now() - stopping_since_ > unready_period;
}

bool control_plane::handed_over() const {
    const auto* rows = view_.local_table();
    return rows == nullptr ||
           std::none_of(rows->upstreams.begin(), rows->upstreams.end(), [this](const auto& it) {
               return it.gate == settings_.name && it.condition != ownership::upstream_status::lost;
           });
}

void control_plane::stop() {
    stopped_ = true;
    timer_.cancel();
    server_->stop();
    upstream_listener_->stop_accepting();
    operator_api_->stop();
}

} // namespace kingcupseam::app
