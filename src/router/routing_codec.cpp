#include "router/routing_codec.h"

#include <kingcupseam/transport.h>

#include <routing_types.h>

#include <algorithm>

namespace kingcupseam::router {

namespace {

constexpr std::int32_t no_key = -1;
// Sums with a clock must not overflow.
constexpr duration max_time_left = std::chrono::hours(24 * 365);

std::vector<wire::RoutedHeader> to_wire(const app::header_list& headers) {
    std::vector<wire::RoutedHeader> result;
    result.reserve(headers.size());
    for (const auto& [name, value] : headers) {
        wire::RoutedHeader it;
        it.name = name;
        it.value = value;
        result.push_back(std::move(it));
    }
    return result;
}

app::header_list from_wire(std::vector<wire::RoutedHeader> headers) {
    app::header_list result;
    result.reserve(headers.size());
    for (auto& it : headers) {
        result.emplace_back(std::move(it.name), std::move(it.value));
    }
    return result;
}

} // namespace

std::string encode(const routed_request& source) {
    wire::RoutedRequest out;
    out.service_name = source.service;
    out.at_most_once = source.runs == execution::at_most_once;
    out.priority = source.priority;
    out.attempts = source.attempts;
    out.hops = source.hops;
    out.left_us = source.time_left.count();
    out.target_left_us = source.target_time_left.count();
    out.answer_ms = static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(source.answer_time).count());
    if (source.stamp) {
        out.__set_stamp(*source.stamp);
    }
    out.request_id = source.request.id;
    out.method = source.request.method;
    out.target = source.request.target;
    out.host = source.request.host;
    out.key = source.request.key ? static_cast<std::int32_t>(*source.request.key) : no_key;
    out.headers = to_wire(source.request.headers);
    out.body = source.request.body.str();
    return transport::encode(out);
}

routed_request decode_routed_request(const std::string& bytes) {
    auto in = transport::decode<wire::RoutedRequest>(bytes);
    if (in.key < no_key || in.key > static_cast<std::int32_t>(directory::last_key) || in.left_us < 0 ||
        in.left_us > max_time_left.count() || in.target_left_us > max_time_left.count() ||
        in.target_left_us < -max_time_left.count() || in.answer_ms < 0) {
        throw transport::malformed_frame("routed request has a key or a time out of range");
    }
    routed_request result;
    result.service = std::move(in.service_name);
    result.runs = in.at_most_once ? execution::at_most_once : execution::idempotent;
    result.priority = in.priority;
    result.attempts = in.attempts;
    result.hops = in.hops;
    result.time_left = duration(in.left_us);
    result.target_time_left = duration(in.target_left_us);
    result.answer_time = std::chrono::milliseconds(in.answer_ms);
    if (in.__isset.stamp) {
        result.stamp = in.stamp;
    }
    result.request.id = std::move(in.request_id);
    result.request.method = std::move(in.method);
    result.request.target = std::move(in.target);
    result.request.host = std::move(in.host);
    if (in.key != no_key) {
        result.request.key = static_cast<directory::key_number>(in.key);
    }
    result.request.headers = from_wire(std::move(in.headers));
    result.request.body = std::move(in.body);
    return result;
}

std::string encode(const routed_result& source, std::size_t body_bytes_before) {
    wire::RoutedReply out;
    out.taken = source.end != routed_end::not_accepted;
    if (source.end == routed_end::lost) {
        out.__set_lost(true);
    }
    if (body_bytes_before > 0) {
        out.__set_body_bytes_before(static_cast<std::int64_t>(body_bytes_before));
    }
    out.status = source.answer.status;
    out.headers = to_wire(source.answer.headers);
    out.body = source.answer.body;
    out.handled_us = source.handled.count();
    out.upstream_id = source.answered_by.id;
    out.upstream_started_ms = source.answered_by.started_ms;
    return transport::encode(out);
}

routed_result decode_routed_result(const std::string& bytes, std::string body_before) {
    auto in = transport::decode<wire::RoutedReply>(bytes);
    if (in.lost || in.body_bytes_before != static_cast<std::int64_t>(body_before.size())) {
        return {routed_end::lost, {}, {}, {}};
    }
    routed_result result;
    result.end = in.taken ? routed_end::answered : routed_end::not_accepted;
    std::string body = body_before.empty() ? std::move(in.body) : std::move(body_before) + in.body;
    result.answer = {in.status, from_wire(std::move(in.headers)), std::move(body), false};
    result.handled = duration(std::clamp<std::int64_t>(in.handled_us, 0, max_time_left.count()));
    result.answered_by = {std::move(in.upstream_id), in.upstream_started_ms};
    return result;
}

} // namespace kingcupseam::router
