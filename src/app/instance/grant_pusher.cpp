#include "app/instance/grant_pusher.h"

#include <kingcupseam/error.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

json shards_json(const ownership::grant_holder::scope& granted) {
    json ranges = json::array();
    for (const auto& [first, last] : granted.shards) {
        ranges.push_back({first, last});
    }
    return ranges;
}

/// A number that the upstream writes as text.
std::uint64_t number_field(const json& body, const char* name) {
    const auto text = body.at(name).get<std::string>();
    std::uint64_t result = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), result);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        throw invalid_input("answer to a grant", name, "must be a whole number of 64 bits");
    }
    return result;
}

} // namespace

grant_pusher::grant_pusher(asio::io_context& context, std::string address, duration lease, duration interval,
                           observer callbacks)
    : address_(std::move(address)), interval_(interval), callbacks_(std::move(callbacks)),
      client_(context, {.max_connections_per_host = 4}), issuer_(lease, interval) {}

grant_pusher::~grant_pusher() {
    *alive_ = false;
}

void grant_pusher::assign(ownership::epoch_number epoch, ownership::epoch_number version,
                          ownership::grant_holder::scope granted) {
    scope_ = std::move(granted);
    issuer_.assign(epoch, version);
}

void grant_pusher::push_if_due(time_point now, time_point gate_lease_end) {
    if (const auto due = issuer_.poll(now, gate_lease_end)) {
        push(*due);
    }
}

void grant_pusher::push(const ownership::grant_issuer::grant& granted) {
    json body{{"epoch", std::to_string(granted.epoch)},
              {"version", std::to_string(granted.version)},
              {"lease_ms", std::chrono::duration_cast<std::chrono::milliseconds>(granted.lease).count()},
              {"token", granted.token}};
    if (granted.with_shards || granted.revoke) {
        body["shards"] = granted.revoke ? json::array() : shards_json(scope_);
        body["hot_keys"] = granted.revoke ? json::array() : json(scope_.hot_keys);
        body["moved_keys"] = json(scope_.moved_keys);
    }
    http_call call;
    call.method = "POST";
    call.url = "http://" + address_ + "/kcs/grant";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    // A push without an answer within one interval is repeated on another connection.
    call.timeout = interval_;
    call.connect_timeout = interval_;
    client_.send(std::move(call), [this, alive = alive_, sent = steady_now()](const http_result& result) {
        if (*alive) {
            on_result(result, sent);
        }
    });
}

void grant_pusher::on_result(const http_result& result, time_point sent) {
    const time_point now = steady_now();
    if (result.failure != http_failure::none) {
        issuer_.on_failure(now);
        if (result.failure == http_failure::not_connected) {
            callbacks_.on_refused(now);
        }
        return;
    }
    try {
        on_answer(result.answer, sent, now);
    } catch (const json::exception&) {
        issuer_.on_failure(now);
    } catch (const invalid_input&) {
        issuer_.on_failure(now);
    }
}

void grant_pusher::on_answer(const http_response& answer, time_point sent, time_point now) {
    const json body = json::parse(answer.body);
    contacted_ = true;
    if (body.contains("token")) {
        issuer_.on_token(body.at("token").get<std::string>(), now, sent);
    }
    if (answer.status == 200) {
        const auto version = number_field(body, "version");
        const auto epoch = number_field(body, "epoch");
        acknowledged_ = version;
        issuer_.on_accepted(epoch, version, now);
    } else if (answer.status == 428) {
        issuer_.on_shards_missing(now);
    } else if (answer.status == 409) {
        issuer_.on_higher_epoch(number_field(body, "epoch"), now);
    } else {
        issuer_.on_failure(now);
        return;
    }
    callbacks_.on_answered(now);
    if (body.contains("load")) {
        callbacks_.on_load({body["load"].value("in_flight", 0U), body["load"].value("slots", 0U)});
    }
}

} // namespace kingcupseam::app
