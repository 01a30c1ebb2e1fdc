#include "router/control_node.h"
#include "router/control_orders.h"

#include <kingcupseam/error.h>

#include <directory_types.h>
#include <spdlog/spdlog.h>

// Orders of upstreams and operators: executed by the leader, forwarded to it by the other members.

namespace kingcupseam::router {

namespace {

using transport::decode;
using transport::encode;
using transport::frame_type;

constexpr duration forward_timeout =
    std::chrono::milliseconds(800); ///< upstreams and operators give up after 1 s

/// @throws transport::malformed_frame
directory::command decode_order(const std::string& payload) {
    try {
        return directory::decode_command(payload);
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
}

std::string name_of(int kind) {
    switch (kind) {
    case order_announce:
        return "announce";
    case order_depart:
        return "depart";
    case order_configure:
        return "configure";
    case order_read:
        return "read";
    default:
        return "unknown";
    }
}

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

bool control_node::is_stale(const announcement& report) const {
    const auto& state = *state_machine_.state();
    const auto& reported = report.upstream.incarnation;
    const auto known = state.upstreams.find(reported.id);
    if (known != state.upstreams.end() && known->second.incarnation.started_ms > reported.started_ms) {
        return true;
    }
    const auto* same_address = state.find_by_address(report.upstream.address);
    if (same_address != nullptr && same_address->incarnation.id != reported.id &&
        same_address->incarnation.started_ms > reported.started_ms && is_configured(same_address->service)) {
        return true;
    }
    const auto last = last_announcements_.find(reported.id);
    return last != last_announcements_.end() && last->second.upstream == reported &&
           report.sequence < last->second.sequence;
}

bool control_node::is_configured(const std::string& service) const {
    const auto& config = state_machine_.state()->config;
    return !config || config->services.contains(service);
}

bool control_node::names_upstream(const announcement& report) const {
    const auto& reported = report.upstream;
    if (const auto* known = state_machine_.state()->find(reported.incarnation)) {
        return reported.service == known->service && reported.address == known->address;
    }
    return is_configured(reported.service);
}

void control_node::announce(announcement report, on_accepted done) {
    const task_times::scope measured(task_times_, control_task::announce);
    if (!group_->leads()) {
        forward_to_leader(
            order_announce, write_announcement(report),
            [done = std::move(done)](const std::optional<std::string>& answer) { done(answer.has_value()); });
        return;
    }
    if (is_stale(report)) {
        done(true);
        return;
    }
    if (!names_upstream(report)) {
        // An upstream that starts before its service is configured reports again.
        spdlog::warn("announcement ignored id={} started_ms={} service={} address={}",
                     report.upstream.incarnation.id, report.upstream.incarnation.started_ms,
                     report.upstream.service, to_string(report.upstream.address));
        done(true);
        return;
    }
    last_announcements_[report.upstream.incarnation.id] = {report.upstream.incarnation, report.sequence};
    const auto& state = *state_machine_.state();
    const auto known = state.upstreams.find(report.upstream.incarnation.id);
    conditions_[report.upstream.incarnation.id].last_announced = steady_now();
    directory::command change;
    if (known != state.upstreams.end() && known->second.incarnation == report.upstream.incarnation) {
        // A delayed report does not undo a departure or draining.
        report.upstream.left = known->second.left;
        report.upstream.draining = report.upstream.draining || known->second.draining;
        if (known->second == report.upstream) {
            done(true);
            return;
        }
    }
    const auto* same_address = state.find_by_address(report.upstream.address);
    if (same_address != nullptr && same_address->incarnation.id != report.upstream.incarnation.id) {
        change.removed_upstreams.push_back(same_address->incarnation.id);
    }
    spdlog::info("upstream registered id={} started_ms={} service={} address={} draining={}",
                 report.upstream.incarnation.id, report.upstream.incarnation.started_ms,
                 report.upstream.service, to_string(report.upstream.address), report.upstream.draining);
    change.upstreams.push_back(std::move(report.upstream));
    propose(change, std::move(done));
}

void control_node::depart(std::string upstream_id, on_accepted done) {
    if (!group_->leads()) {
        forward_to_leader(
            order_depart, std::move(upstream_id),
            [done = std::move(done)](const std::optional<std::string>& answer) { done(answer.has_value()); });
        return;
    }
    const auto& state = *state_machine_.state();
    const auto known = state.upstreams.find(upstream_id);
    if (known == state.upstreams.end() || known->second.left) {
        done(true);
        return;
    }
    directory::command change;
    change.upstreams.push_back(known->second);
    change.upstreams.back().left = true;
    spdlog::info("upstream departs id={} address={}", upstream_id, to_string(known->second.address));
    propose(change, std::move(done));
}

void control_node::accept_configuration(directory::configuration wanted, on_accepted done) {
    directory::command change;
    change.config = std::move(wanted);
    if (!group_->leads()) {
        forward_to_leader(
            order_configure, directory::encode(change),
            [done = std::move(done)](const std::optional<std::string>& answer) { done(answer.has_value()); });
        return;
    }
    const auto& held = state_machine_.state()->config;
    if (held && held->version >= change.config->version) {
        done(true);
        return;
    }
    const std::uint64_t version = change.config->version;
    spdlog::info("configuration proposed version={} routes={}", version, change.config->routes.size());
    propose(change, [version, done = std::move(done), since = steady_now()](bool committed) {
        spdlog::info("configuration {} version={} after_ms={}", committed ? "committed" : "not committed",
                     version, milliseconds(steady_now() - since));
        done(committed);
    });
}

void control_node::read_configuration(on_document done) {
    if (!group_->leads()) {
        forward_to_leader(order_read, {}, std::move(done));
        return;
    }
    const auto& held = state_machine_.state()->config;
    done(held ? std::optional(held->document) : std::nullopt);
}

void control_node::forward_to_leader(int kind, std::string payload,
                                     std::function<void(std::optional<std::string>)> done) {
    const auto leader = find_leader(steady_now());
    if (!leader || leader->name == self_.name) {
        order_failures_.add(name_of(kind), "no-leader");
        done(std::nullopt);
        return;
    }
    if (!mesh_->up(leader->name)) {
        order_failures_.add(name_of(kind), "no-link");
        done(std::nullopt);
        return;
    }
    wire::ControlOrder order;
    order.kind = static_cast<std::int8_t>(kind);
    order.payload = std::move(payload);
    mesh_->link_to(leader->name, parse_endpoint("control group", "leader", leader->name))
        .request({frame_type::control_order, 0, encode(order)}, forward_timeout,
                 [this, kind, done = std::move(done)](const transport::reply& it) {
                     if (!it.answer || it.answer->type != frame_type::control_order_reply) {
                         order_failures_.add(name_of(kind), "no-answer");
                         done(std::nullopt);
                         return;
                     }
                     wire::ControlOrderReply reply;
                     try {
                         reply = decode<wire::ControlOrderReply>(it.answer->payload);
                     } catch (const transport::malformed_frame&) {
                         done(std::nullopt);
                         throw; // closes the link
                     }
                     if (!reply.accepted) {
                         order_failures_.add(name_of(kind), "refused-by-leader");
                     }
                     done(reply.accepted ? std::optional(std::move(reply.payload)) : std::nullopt);
                 });
}

void control_node::on_order(const std::shared_ptr<transport::connection>& from,
                            const transport::frame& received) {
    const task_times::scope measured(task_times_, control_task::order);
    const auto order = decode<wire::ControlOrder>(received.payload);
    const auto answer = [from,
                         correlation = received.correlation](const std::optional<std::string>& payload) {
        wire::ControlOrderReply reply;
        reply.accepted = payload.has_value();
        if (payload) {
            reply.payload = *payload;
        }
        from->send({frame_type::control_order_reply, correlation, encode(reply)});
    };
    const on_accepted accepted = [answer](bool ok) {
        answer(ok ? std::optional(std::string()) : std::nullopt);
    };
    if (!group_->leads()) {
        answer(std::nullopt); // never forwarded twice
        return;
    }
    switch (order.kind) {
    case order_announce:
        announce(read_announcement(order.payload), accepted);
        break;
    case order_depart:
        depart(order.payload, accepted);
        break;
    case order_configure:
        if (auto change = decode_order(order.payload); change.config) {
            accept_configuration(std::move(*change.config), accepted);
        } else {
            accepted(false);
        }
        break;
    case order_read:
        read_configuration(answer);
        break;
    default:
        accepted(false);
    }
}

} // namespace kingcupseam::router
