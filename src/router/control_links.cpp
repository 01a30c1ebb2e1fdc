#include "router/control_links.h"

#include "router/instance_name.h"
#include "router/limit_codec.h"
#include "router/link_settings.h"

#include <kingcupseam/error.h>

#include <directory_types.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcupseam::router {

namespace {

using transport::decode;
using transport::encode;
using transport::frame_type;

constexpr duration retry_interval = std::chrono::milliseconds(200);
// Longer than an election takes. A data centre that is cut off from the leader then serves by what its own
// control instances hold.
constexpr duration max_leader_wait = std::chrono::milliseconds(1500);

std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(steady_now().time_since_epoch().count());
}

} // namespace

control_links::control_links(asio::io_context& context, const process_settings& settings,
                             metrics::registry& registry, observer callbacks)
    : context_(context), settings_(settings), registry_(registry),
      callbacks_(std::move(callbacks)), self_{{to_string(endpoint_address{settings.ip, settings.peer_port}),
                                               new_incarnation()},
                                              settings.data_center},
      retry_timer_(context), leader_wait_timer_(context) {
    set_seeds(settings_.seeds);
}

void control_links::set_seeds(const std::vector<std::string>& ips) {
    for (const auto& it : ips) {
        if (is_usable_seed(it)) {
            dial(to_string(endpoint_address{it, settings_.peer_port}));
        }
    }
}

void control_links::dial(const std::string& name) {
    if (links_.contains(name)) {
        return;
    }
    auto created = std::make_unique<transport::peer_link>(
        context_, parse_endpoint("control", "instance", name), self_, control_link_settings(),
        [this, name](const std::shared_ptr<transport::connection>&, const transport::frame& received) {
            on_frame(name, received);
        });
    created->on_state_change([this, name](bool up) { on_link_state(name, up); });
    links_.emplace(name, std::move(created));
}

transport::peer_link& control_links::link(const std::string& name) {
    return *links_.at(name);
}

void control_links::on_link_state(const std::string& name, bool up) {
    spdlog::info("control instance {} name={}", up ? "reached" : "lost", name);
    control_instances_[name] = {};
    if (up) {
        send_join(link(name)); // answered with a status
        return;
    }
    if (source_ == name) {
        source_.clear();
    }
    choose_source();
}

void control_links::on_frame(const std::string& name, const transport::frame& received) {
    if (received.type == frame_type::control_status) {
        on_status(name, received.payload);
    } else if (received.type == frame_type::control_status_compressed) {
        on_status(name, transport::expand(received.payload));
    } else if (received.type == frame_type::directory_subscribed) {
        on_subscribed(name, received.payload);
    } else if (received.type == frame_type::directory_update) {
        on_update(name, received.payload);
    } else if (received.type == frame_type::directory_update_compressed) {
        on_update(name, transport::expand(received.payload));
    }
}

void control_links::on_status(const std::string& name, const std::string& payload) {
    const auto status = decode<wire::ControlStatus>(payload);
    for (const auto& it : status.control_instances) {
        parse_instance_name(it);
    }
    for (const auto& it : status.entries) {
        parse_instance_name(it.name);
    }
    control_instance& sender = control_instances_[name];
    const bool begins_to_lead = status.leads && !sender.leads;
    sender.leads = status.leads;
    sender.follows = status.follows;
    sender.term = status.term;
    sender.up = true;
    sender.confirms_subscriptions = status.confirms_subscriptions;
    for (const auto& it : status.control_instances) {
        dial(it);
    }
    if (status.leads && !has_later_leader(status.term)) {
        std::vector<entry_instance> entries;
        for (const auto& it : status.entries) {
            entries.push_back({it.name, it.data_center});
        }
        callbacks_.on_entries(std::move(entries));
        std::vector<poison_request> listed;
        for (const auto& it : status.watched) {
            listed.push_back({static_cast<request_digest>(it.digest), it.refused});
        }
        callbacks_.on_poison_requests(std::move(listed));
        callbacks_.on_limits(from_wire(status.limits));
    }
    if (begins_to_lead && name == source_ && served_index_ == 0) {
        subscribe(name); // to learn up to which index its directory goes now
    } else {
        choose_source();
    }
}

bool control_links::has_later_leader(std::int64_t term) const {
    return std::any_of(control_instances_.begin(), control_instances_.end(),
                       [&](const auto& it) { return it.second.leads && it.second.term > term; });
}

void control_links::choose_source() {
    std::string best = source_;
    for (const auto& [name, it] : control_instances_) {
        if (!it.up) {
            continue;
        }
        if (best.empty() || it.rank() > control_instances_.at(best).rank()) {
            best = name;
        }
    }
    if (best != source_) {
        subscribe(best);
    }
}

void control_links::subscribe(const std::string& name) {
    end_former_subscriptions(name);
    source_ = name;
    control_instance& source = control_instances_.at(name);
    source.has_subscription = true;
    spdlog::info("directory source name={} leads={} follows={} term={} held={}", name, source.leads,
                 source.follows, source.term, directory_->index);
    // A control instance of an earlier release does not confirm.
    subscribed_ = !source.confirms_subscriptions;
    source_index_ = 0;
    wire::DirectorySubscribe request;
    request.known_index = static_cast<std::int64_t>(directory_->index);
    request.expands = true;
    request.subscription = ++subscription_;
    link(name).notify({frame_type::directory_subscribe, 0, encode(request)});
}

void control_links::end_former_subscriptions(const std::string& source) {
    for (auto& [name, it] : control_instances_) {
        if (name != source && std::exchange(it.has_subscription, false)) {
            wire::DirectorySubscribe end;
            end.known_index = std::numeric_limits<std::int64_t>::max();
            end.ends = true;
            link(name).notify({frame_type::directory_subscribe, 0, encode(end)});
        }
    }
}

void control_links::on_subscribed(const std::string& name, const std::string& payload) {
    const auto confirmed = decode<wire::DirectorySubscribe>(payload);
    if (name == source_ && confirmed.subscription == subscription_) {
        subscribed_ = true;
        source_index_ = static_cast<std::uint64_t>(confirmed.known_index);
        spdlog::info("directory subscribed source={} index={} held={}", name, source_index_,
                     directory_->index);
        serve_if_current(); // no update follows if the directory is the newest already
    }
}

void control_links::on_update(const std::string& name, const std::string& payload) {
    if (name != source_ || !subscribed_) {
        count_update("former");
        return;
    }
    try {
        auto next =
            std::make_shared<const directory::snapshot>(directory::apply_difference(*directory_, payload));
        if (next->index < directory_->index) {
            // The control instance lags behind.
            throw invalid_input("directory", "index", "is lower than that of the current directory");
        }
        if (directory_->config && !next->config) {
            throw invalid_input("directory", "configuration", "is missing, and one is held here");
        }
        if (!directory_->config || next->config->version != directory_->config->version) {
            spdlog::info("configuration in force version={} index={}",
                         next->config ? next->config->version : 0, next->index);
        }
        directory_ = std::move(next);
        count_update("applied");
        serve_if_current();
    } catch (const invalid_input& e) {
        count_update("refused");
        spdlog::warn("directory update refused from={} held={} problem=\"{}\"", name, directory_->index,
                     e.what());
        source_.clear();
        retry_timer_.expires_after(retry_interval);
        retry_timer_.async_wait([this](const asio::error_code& ec) {
            if (!ec) {
                choose_source();
            }
        });
    }
}

void control_links::serve_if_current() {
    if (directory_->index == served_index_ || directory_->index < source_index_) {
        return;
    }
    if (served_index_ == 0 && !source_leads()) {
        wait_for_leader();
        return;
    }
    serve();
}

void control_links::serve() {
    served_index_ = directory_->index;
    callbacks_.on_directory(directory_);
}

bool control_links::source_leads() const {
    const auto found = control_instances_.find(source_);
    return found != control_instances_.end() && found->second.leads;
}

void control_links::wait_for_leader() {
    if (!directory_->config || std::exchange(waits_for_leader_, true)) {
        return;
    }
    leader_wait_timer_.expires_after(max_leader_wait);
    leader_wait_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec && served_index_ == 0) {
            spdlog::warn("no leader within reach: the directory may be outdated source={} index={}", source_,
                         directory_->index);
            serve();
        }
    });
}

void control_links::count_update(const char* result) {
    registry_
        .counter_of("directory_updates_total", "updates of the directory by result", {{"result", result}})
        .add();
}

void control_links::leave() {
    leaving_ = true;
    for (const auto& [name, it] : links_) {
        send_join(*it);
    }
}

void control_links::send_join(transport::peer_link& to) const {
    wire::JoinRequest join;
    join.wants_vote = false;
    join.leaving = leaving_;
    join.expands = true;
    to.notify({frame_type::join_request, 0, encode(join)});
}

void control_links::send_report(const traffic_report& report) {
    if (!source_leads()) {
        return;
    }
    wire::LoadReport out;
    for (const auto& [service, keys] : report.keys) {
        for (const auto& [key, n] : keys) {
            wire::KeyDemand it;
            it.service_name = service;
            it.key = static_cast<std::int32_t>(key);
            it.requests = n;
            out.keys.push_back(std::move(it));
        }
    }
    for (const auto& [id, measured] : report.upstreams) {
        wire::UpstreamLoad it;
        it.upstream = id;
        it.answers = measured.answers;
        it.service_time_us = measured.total.count();
        out.upstreams.push_back(std::move(it));
    }
    for (const auto& crash : report.crashed) {
        wire::CrashedRequest it;
        it.digest = static_cast<std::int64_t>(crash.digest);
        it.upstream = crash.upstream.id;
        it.upstream_started_ms = crash.upstream.started_ms;
        out.crashed.push_back(std::move(it));
    }
    for (const auto digest : report.survived) {
        out.survived.push_back(static_cast<std::int64_t>(digest));
    }
    out.limits = to_wire(report.limits);
    for (const auto& it : report.leaving) {
        wire::LeavingUpstream leaving;
        leaving.upstream = it.id;
        leaving.upstream_started_ms = it.started_ms;
        out.leaving.push_back(std::move(leaving));
    }
    out.held_index = static_cast<std::int64_t>(report.directory_index);
    link(source_).notify({frame_type::load_report, 0, encode(out)});
}

} // namespace kingcupseam::router
