#include "router/answer_parts.h"

#include "router/in_flight_request.h"
#include "router/routing_codec.h"

#include <routing_types.h>
#include <spdlog/spdlog.h>

namespace kingcupseam::router {

namespace {

using transport::frame_type;

// A quarter of a second on a link of 2 Mbit/s, for which other frames wait.
constexpr std::size_t part_bytes = std::size_t{64} * 1024;

/// The end of a request that has run and whose answer cannot be sent.
routed_result lost_answer() {
    return {routed_end::lost, {status_bad_gateway, {}, {}, false}, {}, {}};
}

void send_reply(const answer_sender::connection_ptr& to, std::uint64_t number, const routed_result& result,
                std::size_t body_bytes_before) {
    auto payload = encode(result, body_bytes_before);
    if (payload.size() > transport::max_payload_bytes) {
        payload = encode(lost_answer());
    }
    to->send({frame_type::routed_reply, number, std::move(payload)});
}

} // namespace

void answer_sender::send(const connection_ptr& to, std::uint64_t number, routed_result result) {
    const std::size_t n = result.answer.body.size();
    if (n <= part_bytes) {
        send_reply(to, number, result, 0);
        return;
    }
    if (!to->open()) {
        return;
    }
    if (unsent_bytes_ + n > max_unsent_bytes_) {
        spdlog::warn("long answer dropped peer={} reason=memory", to->peer().id.name);
        send_reply(to, number, lost_answer(), 0);
        return;
    }
    unsent_bytes_ += n;
    unsent_.emplace(std::pair(to, number), long_answer{std::move(result), steady_now()});
    send_next(to, number);
}

void answer_sender::send_next(const connection_ptr& to, std::uint64_t number) {
    const auto found = unsent_.find({to, number});
    if (found == unsent_.end()) {
        return; // withdrawn
    }
    auto& answer = found->second;
    const std::string& body = answer.result.answer.body;
    if (body.size() - answer.sent <= part_bytes) {
        send_last(to, number, remove(found));
        return;
    }
    wire::RoutedReplyPart part;
    part.correlation = static_cast<std::int64_t>(number);
    part.bytes = body.substr(answer.sent, part_bytes);
    answer.sent += part_bytes;
    // Sending can close the connection, which drops the answer.
    to->send({frame_type::routed_reply_part, 0, transport::encode(part)});
    to->after_written([sender = weak_from_this(), receiver = std::weak_ptr(to), number] {
        const auto self = sender.lock();
        const auto open = receiver.lock();
        if (self && open) {
            self->send_next(open, number);
        }
    });
}

void answer_sender::send_last(const connection_ptr& to, std::uint64_t number, long_answer answer) {
    auto& result = answer.result;
    result.answer.body.erase(0, answer.sent);
    // Else an entry would take the time of the transfer for the latency of the link.
    result.handled += steady_now() - answer.begun;
    send_reply(to, number, result, answer.sent);
}

void answer_sender::drop(const connection_ptr& to, std::uint64_t number) {
    if (const auto found = unsent_.find({to, number}); found != unsent_.end()) {
        remove(found);
    }
}

void answer_sender::drop_all(const connection_ptr& to) {
    for (auto it = unsent_.lower_bound({to, 0}); it != unsent_.end() && it->first.first == to;) {
        remove(it++);
    }
}

answer_sender::long_answer answer_sender::remove(answer_map::iterator it) {
    long_answer result = std::move(it->second);
    unsent_bytes_ -= result.result.answer.body.size();
    unsent_.erase(it);
    return result;
}

bool answer_gatherer::add(const std::string& gate, std::uint64_t number, std::string_view bytes) {
    if (bytes_ + bytes.size() > max_bytes_) {
        return false;
    }
    bytes_ += bytes.size();
    parts_[{gate, number}].append(bytes);
    return true;
}

std::string answer_gatherer::take(const std::string& gate, std::uint64_t number) {
    const auto found = parts_.find({gate, number});
    if (found == parts_.end()) {
        return {};
    }
    std::string result = std::move(found->second);
    bytes_ -= result.size();
    parts_.erase(found);
    return result;
}

} // namespace kingcupseam::router
