#include "app/instance/gate.h"

#include <spdlog/spdlog.h>

#include <xxhash.h>

namespace kingcupseam::app {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);

std::string digest_of(const wire::ForwardRequest& request) {
    const auto hash = XXH3_64bits_withSeed(request.body.data(), request.body.size(),
                                           XXH3_64bits(request.target.data(), request.target.size()));
    return request.method + ":" + std::to_string(hash);
}

transport::link_options link_options_of(const settings::instance_settings& source) {
    transport::link_options options;
    options.heartbeat_interval = source.heartbeat_interval;
    options.heartbeat_timeout = source.heartbeat_timeout;
    return options;
}

} // namespace

gate::gate(asio::io_context& context, const settings::instance_settings& settings, std::uint64_t incarnation,
           const view_holder& views, metrics::registry& registry)
    : context_(context), settings_(settings), views_(views), registry_(registry),
      mesh_(context, {{settings.name, incarnation}, settings.data_center}, link_options_of(settings),
            [](const auto&, const auto&) {}),
      ledger_({settings.name, incarnation}, mesh_, views), shared_{context,
                                                                   settings,
                                                                   views,
                                                                   ledger_,
                                                                   poison_requests_,
                                                                   registry,
                                                                   [this] { return lease_end(); },
                                                                   [this](const auto& changed) {
                                                                       broadcast_poison_requests(changed);
                                                                   }},
      timer_(context) {
    server_ = std::make_unique<transport::peer_server>(
        context, traffic_address(settings.peer_listen),
        transport::peer_identity{{settings.name, incarnation}, settings.data_center},
        link_options_of(settings),
        [this](const auto& from, const transport::frame& received) { on_frame(from, received); });
    schedule_tick();
}

void gate::schedule_tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec && !stopped_) {
            tick();
            schedule_tick();
        }
    });
}

void gate::tick() {
    const time_point now = steady_now();
    ledger_.tick(now);
    for (const auto& [name, it] : upstreams_) {
        it->tick(now);
    }
    std::erase_if(retiring_,
                  [now](const auto& it) { return it->idle() && it->report(now).lease_left_us == 0; });
    report(now);
}

void gate::report(time_point now) {
    if (!observer_) {
        return;
    }
    gate_report result;
    result.applied_epoch = applied_epoch_;
    result.hot_keys = hot_keys_.hottest(now);
    result.installed_ledger_groups = ledger_.installed_groups();
    for (const auto& [name, it] : upstreams_) {
        if (it->row().gate == settings_.name) {
            result.upstreams.push_back(it->report(now));
        }
    }
    // Grants that this instance no longer renews: the leader waits for their end before it assigns the keys
    // to another owner.
    for (const auto& it : retiring_) {
        result.upstreams.push_back(it->report(now));
    }
    observer_(std::move(result));
}

void gate::on_view_changed() {
    const auto view = views_.load();
    connect_ledger_replicas(*view);
    ledger_.update_retention(*view, steady_now());
    ledger_.on_view_changed(*view);
    const auto* rows = view->local_table();
    if (rows == nullptr) {
        return;
    }
    for (const auto& row : rows->upstreams) {
        if (rows->latest_row(row.name) != &row) {
            continue; // an earlier incarnation
        }
        const bool wanted = row.gate == settings_.name && row.condition != ownership::upstream_status::lost;
        const auto it = upstreams_.find(row.name);
        if (wanted && (it == upstreams_.end() || it->second->row().incarnation != row.incarnation)) {
            if (it != upstreams_.end()) {
                it->second->hand_over();
                retiring_.push_back(std::move(it->second));
            }
            auto added = std::make_unique<upstream_gate>(shared_, row);
            added->update(*rows, row);
            upstreams_[row.name] = std::move(added);
        } else if (wanted) {
            it->second->update(*rows, row);
        } else if (it != upstreams_.end() && settings_.routing == settings::routing_mode::gate) {
            it->second->hand_over();
            retiring_.push_back(std::move(it->second));
            upstreams_.erase(it);
        }
    }
    if (settings_.routing == settings::routing_mode::direct) {
        refresh_direct_gates(*view);
    }
    applied_epoch_ = ownership::make_epoch(rows->generation, rows->version);
    report(steady_now());
}

void gate::refresh_direct_gates(const routing_view& view) {
    for (const auto& [data_center, rows] : view.tables) {
        for (const auto& [name, it] : upstreams_) {
            const auto* row = rows->latest_row(name);
            if (row != nullptr && row->gate != settings_.name) {
                it->update(*rows, *row);
            }
        }
    }
}

void gate::connect_ledger_replicas(const routing_view& view) {
    // Without open links, the first request of a shard would not reach a majority of its ledger replicas.
    for (const auto& [name, it] : view.instances) {
        if (name != settings_.name && it.data_center == settings_.data_center) {
            mesh_.link_to(name, traffic_address(it.address));
        }
    }
}

upstream_gate* gate::find(const std::string& upstream) {
    const auto it = upstreams_.find(upstream);
    if (it != upstreams_.end()) {
        return it->second.get();
    }
    return settings_.routing == settings::routing_mode::direct ? create_direct_gate(upstream) : nullptr;
}

upstream_gate* gate::create_direct_gate(const std::string& upstream) {
    const auto view = views_.load();
    for (const auto& [data_center, rows] : view->tables) {
        if (const auto* row = rows->latest_row(upstream)) {
            auto& added = upstreams_[upstream];
            added = std::make_unique<upstream_gate>(shared_, *row);
            return added.get();
        }
    }
    return nullptr;
}

void gate::submit(const wire::ForwardRequest& request, gate_reply reply) {
    auto* const target = find(request.upstream);
    if (target == nullptr) {
        // This instance cannot read the ledger of a key whose gate it is not.
        const auto claim = request.at_most_once ? outcome::unknown : outcome::not_run;
        reply(refusal_response(claim, refusal::stale_route));
        return;
    }
    hot_keys_.record(request.service_name, request.key, steady_now());
    auto queued = std::make_shared<gate_request>();
    queued->arrived = steady_now();
    queued->deadline = queued->arrived + duration(request.deadline_us);
    queued->digest = digest_of(request);
    queued->wire = request;
    queued->waiters.push_back(std::move(reply));
    target->submit(queued);
}

void gate::on_frame(const std::shared_ptr<transport::connection>& from, const transport::frame& received) {
    using transport::frame_type;
    switch (received.type) {
    case frame_type::forward_request:
        on_forward(from, received);
        break;
    case frame_type::ledger_record:
        from->send(
            {frame_type::ledger_record_reply, received.correlation,
             transport::encode(ledger_.on_record(transport::decode<wire::LedgerRecord>(received.payload)))});
        break;
    case frame_type::ledger_seal:
        from->send(
            {frame_type::ledger_seal_reply, received.correlation,
             transport::encode(ledger_.on_fence(transport::decode<wire::LedgerSeal>(received.payload)))});
        break;
    case frame_type::suspect_update: {
        const auto update = transport::decode<wire::SuspectUpdate>(received.payload);
        const time_point now = steady_now();
        poison_requests_.merge({update.request_digest, static_cast<std::uint32_t>(update.crashes),
                                update.survived, now + std::chrono::milliseconds(update.remaining_ms)},
                               now);
        break;
    }
    default:
        throw transport::malformed_frame("unexpected frame type on the traffic listener");
    }
}

void gate::on_forward(const std::shared_ptr<transport::connection>& from, const transport::frame& received) {
    const std::weak_ptr<transport::connection> weak = from;
    submit(transport::decode<wire::ForwardRequest>(received.payload), [weak,
                                                                       correlation = received.correlation](
                                                                          const wire::ForwardResponse&
                                                                              response) {
        if (const auto open = weak.lock()) {
            open->send({transport::frame_type::forward_response, correlation, transport::encode(response)});
        }
    });
}

void gate::broadcast_poison_requests(const std::vector<admission::poison_request_list::record>& changed) {
    const auto view = views_.load();
    const time_point now = steady_now();
    for (const auto& it : changed) {
        wire::SuspectUpdate update;
        update.request_digest = it.digest;
        update.crashes = static_cast<std::int32_t>(it.crashes);
        update.survived = it.survived;
        update.remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(it.expires - now).count();
        const auto payload = transport::encode(update);
        for (const auto& [name, instance] : view->instances) {
            if (name != settings_.name && instance.data_center == settings_.data_center) {
                mesh_.link_to(name, traffic_address(instance.address))
                    .notify({transport::frame_type::suspect_update, 0, payload});
            }
        }
    }
}

bool gate::idle() const {
    return std::all_of(upstreams_.begin(), upstreams_.end(),
                       [](const auto& it) { return it.second->idle(); }) &&
           std::all_of(retiring_.begin(), retiring_.end(), [](const auto& it) { return it->idle(); });
}

void gate::stop() {
    stopped_ = true;
    timer_.cancel();
    server_->stop();
}

} // namespace kingcupseam::app
