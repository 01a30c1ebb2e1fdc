#include "router/gate_links.h"

#include "router/link_settings.h"
#include "router/routing_codec.h"

#include <routing_types.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupseam::router {

namespace {

using transport::frame_type;

// Links are numbered from here, so that they differ from callers' connections, which have low numbers.
constexpr std::uint64_t first_link_connection = std::uint64_t{1} << 62;
// The caller of a request that was held up for longer may have left without the gate knowing it.
constexpr duration max_link_delay = std::chrono::milliseconds(500);

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

gate_links::gate_links(asio::io_context& context, const transport::peer_identity& self,
                       const endpoint_address& listen, receiver callbacks, std::size_t max_answer_bytes)
    : context_(context), self_(self), callbacks_(std::move(callbacks)),
      next_connection_(first_link_connection), gathered_(max_answer_bytes),
      sender_(std::make_shared<answer_sender>(max_answer_bytes)),
      server_(context, listen, self, gate_link_settings(),
              [this](const connection_ptr& from, const transport::frame& received) {
                  on_frame(from, received);
              }) {
    server_.on_disconnect([this](const connection_ptr& ended) {
        sender_->drop_all(ended);
        const auto known = connections_.find(ended);
        if (known != connections_.end()) {
            callbacks_.on_disconnect(known->second.number);
            connections_.erase(known);
        }
    });
}

void gate_links::set_entries(std::vector<entry_instance> entries) {
    if (!assignment_.set_entries(std::move(entries))) {
        return;
    }
    std::erase_if(links_, [&](const auto& it) {
        const auto& listed = assignment_.entries();
        return std::none_of(listed.begin(), listed.end(),
                            [&](const entry_instance& known) { return known.name == it.first; }) &&
               !it.second->up() && !it.second->busy();
    });
}

bool gate_links::is_gate(const directory::upstream& target) {
    const auto& gates = assignment_.gates_of(target);
    return std::find(gates.begin(), gates.end(), self_.id.name) != gates.end();
}

std::string gate_links::gate_of(const directory::upstream& target) {
    for (const auto& name : assignment_.gates_of(target)) {
        if (name == self_.id.name) {
            return {};
        }
        if (link(name) != nullptr) {
            return name;
        }
    }
    return {};
}

transport::peer_link* gate_links::link(const std::string& name) {
    auto known = links_.find(name);
    if (known == links_.end()) {
        known = links_
                    .emplace(name, std::make_unique<transport::peer_link>(
                                       context_, parse_endpoint("entries", "name", name), self_,
                                       gate_link_settings(),
                                       [this, name](const connection_ptr&, const transport::frame& received) {
                                           on_answer_part(name, received);
                                       }))
                    .first;
        known->second->on_state_change([this, name](bool up) { on_link_state(name, up); });
    }
    return known->second->up() ? known->second.get() : nullptr;
}

void gate_links::on_link_state(const std::string& name, bool up) {
    spdlog::info("gate {} name={}", up ? "reached" : "lost", name);
    if (up) {
        cancel(*links_.at(name), 0);
    }
    if (!links_.at(name)->silent()) {
        return; // up, or closed, which ends the pending requests
    }
    const auto pending = repeatable_[name]; // a copy: the handlers withdraw requests
    for (const auto& [number, done] : pending) {
        done({routed_end::silent, {}, {}});
    }
}

std::uint64_t gate_links::forward(const std::string& gate, routed_request request, duration limit,
                                  on_end done) {
    const bool repeatable = request.runs == execution::idempotent;
    const auto number = std::make_shared<std::uint64_t>(0);
    request.stamp = link_delay::stamp(steady_now());
    *number =
        links_.at(gate)->request({frame_type::routed_request, 0, encode(request)}, limit,
                                 [this, gate, repeatable, number, done](const transport::reply& it) {
                                     if (repeatable) {
                                         repeatable_[gate].erase(*number);
                                     }
                                     auto before = gathered_.take(gate, *number);
                                     if (it.answer && it.answer->type == frame_type::routed_reply) {
                                         done(decode_routed_result(it.answer->payload, std::move(before)));
                                         return;
                                     }
                                     const bool not_sent =
                                         !it.answer && it.failure == transport::link_failure::not_sent;
                                     done({not_sent ? routed_end::not_accepted : routed_end::lost, {}, {}});
                                 });
    if (repeatable && *number != 0) {
        repeatable_[gate].emplace(*number, std::move(done));
    }
    return *number;
}

void gate_links::withdraw(const std::string& gate, std::uint64_t number) {
    const auto known = links_.find(gate);
    if (known == links_.end()) {
        return;
    }
    known->second->abandon(number);
    gathered_.take(gate, number);
    if (const auto pending = repeatable_.find(gate); pending != repeatable_.end()) {
        pending->second.erase(number);
    }
    cancel(*known->second, number);
}

void gate_links::on_answer_part(const std::string& gate, const transport::frame& received) {
    if (received.type != frame_type::routed_reply_part) {
        return;
    }
    const auto in = transport::decode<wire::RoutedReplyPart>(received.payload);
    const auto number = static_cast<std::uint64_t>(in.correlation);
    auto& from = *links_.at(gate);
    if (from.awaits(number) && !gathered_.add(gate, number, in.bytes)) {
        spdlog::warn("long answer dropped gate={} reason=memory", gate);
        cancel(from, number);
        from.fail(number);
    }
}

void gate_links::cancel(transport::peer_link& link, std::uint64_t number) {
    wire::RoutedCancel out;
    out.correlation = static_cast<std::int64_t>(number);
    out.__set_stamp(link_delay::stamp(steady_now()));
    link.notify({frame_type::routed_cancel, 0, transport::encode(out)});
}

gate_links::incoming& gate_links::incoming_of(const connection_ptr& from) {
    const auto [it, added] = connections_.try_emplace(from);
    if (added) {
        it->second.number = next_connection_++;
    }
    return it->second;
}

void gate_links::on_frame(const connection_ptr& from, const transport::frame& received) {
    if (received.type == frame_type::routed_request) {
        on_routed_request(from, received);
    } else if (received.type == frame_type::routed_cancel) {
        const auto in = transport::decode<wire::RoutedCancel>(received.payload);
        incoming& sender = incoming_of(from);
        if (in.__isset.stamp) {
            sender.delay.add(in.stamp, steady_now());
        }
        if (const auto number = static_cast<std::uint64_t>(in.correlation); number != 0) {
            sender_->drop(from, number);
            callbacks_.on_withdrawn(sender.number, number);
        }
    } else {
        spdlog::warn("frame ignored type={} peer={}", static_cast<int>(received.type), from->peer().id.name);
    }
}

void gate_links::on_routed_request(const connection_ptr& from, const transport::frame& received) {
    const std::uint64_t number = received.correlation;
    const auto reply = [from, number, sender = sender_, arrived = steady_now()](
                           app::http_response answer, const directory::upstream_incarnation& answered_by) {
        sender->send(from, number,
                     {routed_end::answered, std::move(answer), steady_now() - arrived, answered_by});
    };
    auto request = decode_routed_request(received.payload);
    incoming& sender = incoming_of(from);
    const duration delay = request.stamp ? sender.delay.add(*request.stamp, steady_now()) : duration::zero();
    if (!deduct_delay(request, delay) ||
        !callbacks_.on_request(std::move(request), sender.number, number, reply)) {
        from->send(
            {frame_type::routed_reply, number, encode(routed_result{routed_end::not_accepted, {}, {}})});
    }
}

bool gate_links::deduct_delay(routed_request& request, duration delay) {
    if (delay > max_link_delay || delay >= request.time_left) {
        spdlog::info("request held up on link id={} delay_ms={} left_ms={}", request.request.id,
                     milliseconds(delay), milliseconds(request.time_left - delay));
        return false;
    }
    request.time_left -= delay;
    request.answer_time = std::min(request.answer_time, request.time_left / 2);
    return true;
}

} // namespace kingcupseam::router
