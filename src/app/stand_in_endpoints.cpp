#include "app/stand_in_endpoints.h"

#include "app/option_parser.h"

#include <kingcupseam/error.h>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <charconv>
#include <cmath>
#include <thread>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

http_response json_response(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t parse_unsigned(const std::string& field, const std::string& text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || at != end) {
        throw invalid_input("request", field, "'" + text + "' is not an unsigned number");
    }
    return value;
}

std::uint64_t unsigned_header(const http_request& request, const std::string& name,
                              std::uint64_t default_value) {
    const auto text = request.header(name);
    return text.empty() ? default_value : parse_unsigned(name, text);
}

std::optional<grant_scope> parse_scope(const json& body) {
    if (!body.contains("shards")) {
        return std::nullopt;
    }
    grant_scope scope;
    scope.shards = body.at("shards").get<decltype(scope.shards)>();
    scope.hot_keys = body.value("hot_keys", scope.hot_keys);
    scope.moved_keys = body.value("moved_keys", scope.moved_keys);
    return scope;
}

} // namespace

stand_in_endpoints::stand_in_endpoints(asio::io_context& context, const stand_in_options& settings)
    : context_(context), settings_(settings), worker_(context, settings),
      server_(context, settings.listen, settings.max_connections,
              [this](const http_request& request, const auto& connection) {
                  try {
                      handle(request, connection);
                  } catch (const invalid_input& e) {
                      const json body{{"source", e.source()}, {"field", e.field()}, {"problem", e.what()}};
                      connection->answer(json_response(400, body), answer_damage::none);
                  } catch (const json::exception& e) {
                      const json body{{"source", "request"}, {"field", "body"}, {"problem", e.what()}};
                      connection->answer(json_response(400, body), answer_damage::none);
                  }
              }) {}

void stand_in_endpoints::handle(const http_request& request, const stand_in_connection_ptr& connection) {
    sample_load();
    const auto path = request.path();
    if (path == "/kcs/grant") {
        handle_grant(request, connection);
    } else if (path.compare(0, 5, "/kcs/") == 0 || path.compare(0, 10, "/stand-in/") == 0) {
        connection->answer(handle_control(request), answer_damage::none);
    } else {
        submit_request(request, connection);
    }
}

http_response stand_in_endpoints::handle_control(const http_request& request) {
    const auto path = request.path();
    if (path == "/kcs/cancel") {
        return handle_cancel(request);
    }
    if (path == "/kcs/health") {
        return handle_health();
    }
    if (path == "/kcs/load") {
        return handle_load();
    }
    if (path == "/stand-in/fault") {
        return handle_fault(request);
    }
    if (path == "/stand-in/report") {
        return handle_report();
    }
    return json_response(404, {{"problem", "no such endpoint"}});
}

void stand_in_endpoints::submit_request(const http_request& request,
                                        const stand_in_connection_ptr& connection) {
    stand_in_task task;
    task.connection = connection;
    task.id = request.header("Kingcupseam-Request-Id");
    task.key = request.header("Kingcupseam-Key");
    task.service = request.header("Kingcupseam-Service");
    task.idempotency_key = request.header("Idempotency-Key");
    task.shard = static_cast<std::uint32_t>(unsigned_header(request, "Kingcupseam-Shard", 0));
    task.epoch = unsigned_header(request, "Kingcupseam-Epoch", 0);
    constexpr std::uint64_t max_deadline_ms = 86'400'000;
    const auto remaining_ms =
        std::min(unsigned_header(request, "Kingcupseam-Deadline-Ms", max_deadline_ms), max_deadline_ms);
    task.deadline = steady_now() + std::chrono::milliseconds(remaining_ms);
    renew_grant(request, task.epoch);
    task.request = request;
    worker_.submit(std::move(task));
}

void stand_in_endpoints::renew_grant(const http_request& request, std::uint64_t epoch) {
    const auto token = request.header("Kingcupseam-Token");
    // The headers of a request name no grant version, so they can only renew the grant that is held.
    if (token.empty() || epoch != worker_.holder().epoch()) {
        return;
    }
    const std::chrono::milliseconds lease(unsigned_header(request, "Kingcupseam-Lease-Ms", 0));
    worker_.receive_grant(epoch, worker_.holder().version(), lease, token, std::nullopt);
}

void stand_in_endpoints::handle_grant(const http_request& request,
                                      const stand_in_connection_ptr& connection) {
    const auto body = json::parse(request.body.str());
    const auto epoch = parse_unsigned("epoch", body.at("epoch"));
    const auto version = parse_unsigned("version", body.at("version"));
    const std::chrono::milliseconds lease(body.at("lease_ms").get<std::int64_t>());
    const auto reply = worker_.receive_grant(epoch, version, lease, body.at("token"), parse_scope(body));
    using holder_reply = ownership::grant_holder::reply;
    auto& holder = worker_.holder();
    json answer{{"token", holder.issue_token(steady_now())}};
    if (reply == holder_reply::lower_epoch) {
        answer["epoch"] = std::to_string(holder.epoch());
        connection->answer(json_response(409, answer), answer_damage::none);
        return;
    }
    answer["version"] = std::to_string(holder.version());
    if (reply == holder_reply::shards_missing) {
        connection->answer(json_response(428, answer), answer_damage::none);
        return;
    }
    answer["epoch"] = std::to_string(holder.epoch());
    const auto load = reported_load();
    answer["load"] = {{"in_flight", load.in_flight}, {"slots", settings_.slots}};
    worker_.wait_for_revoked_runs(
        [connection, answer] { connection->answer(json_response(200, answer), answer_damage::none); });
}

http_response stand_in_endpoints::handle_cancel(const http_request& request) {
    return json_response(200, {{"state", worker_.cancel(json::parse(request.body.str()).at("request_id"))}});
}

http_response stand_in_endpoints::handle_health() const {
    const char* const active_state = worker_.counts().started == 0 && !holds_live_grant() ? "starting" : "ok";
    return json_response(200, {{"state", draining_ ? "draining" : active_state}});
}

http_response stand_in_endpoints::handle_load() {
    const auto it = reported_load();
    return json_response(200,
                         {{"in_flight", it.in_flight}, {"slots", settings_.slots}, {"waiting", it.waiting}});
}

http_response stand_in_endpoints::handle_fault(const http_request& request) {
    if (request.method != "POST") {
        return json_response(405, {{"problem", "use POST"}});
    }
    const auto kind = request.query("kind");
    if (kind == "none") {
        worker_.faults().clear();
        return json_response(200, {{"kind", kind}});
    }
    const auto for_ms =
        parse_unsigned("for_ms", request.query("for_ms").empty() ? "0" : request.query("for_ms"));
    const auto fraction =
        request.query("fraction").empty() ? 1 : parse_number("fraction", request.query("fraction"));
    const auto parsed = parse_fault_kind("fault", kind);
    // The delay lets this answer be sent before the fault starts.
    auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(5));
    timer->async_wait([this, timer, parsed, for_ms, fraction](const asio::error_code& ec) {
        if (!ec) {
            start_fault(parsed, std::chrono::milliseconds(for_ms), fraction);
        }
    });
    return json_response(200, {{"kind", kind}, {"for_ms", for_ms}, {"fraction", fraction}});
}

void stand_in_endpoints::start_fault(fault_kind kind, duration length, double fraction) {
    spdlog::info("{}: fault {} begins", settings_.name, fault_names.at(static_cast<std::size_t>(kind)));
    switch (kind) {
    case fault_kind::freeze:
        // Blocks the only thread: nothing is read or answered, and no timer fires.
        std::this_thread::sleep_for(length);
        spdlog::info("{}: continues after a freeze", settings_.name);
        break;
    case fault_kind::silent:
        server_.silence_connections();
        break;
    case fault_kind::crash:
        ::_exit(70);
    default:
        worker_.faults().activate(kind, steady_now() + length, fraction);
    }
}

http_response stand_in_endpoints::handle_report() const {
    const auto& totals = worker_.counts();
    return json_response(200, {{"name", settings_.name},
                               {"service", settings_.service},
                               {"started", totals.started},
                               {"finished", totals.finished},
                               {"running", worker_.running()},
                               {"waiting", worker_.waiting()},
                               {"keys", worker_.executed_keys()},
                               {"refused_grant", totals.refused_grant},
                               {"refused_deadline", totals.refused_deadline},
                               {"refused_cancelled", totals.refused_cancelled},
                               {"shed", totals.shed},
                               {"reset", totals.reset},
                               {"cancelled", totals.cancelled},
                               {"late", totals.late},
                               {"crossed", totals.crossed},
                               {"cut_off", totals.cut_off},
                               {"connections", server_.connections()},
                               {"rejected_connections", server_.rejected_connections()},
                               {"live_grant", holds_live_grant()},
                               {"draining", draining_}});
}

void stand_in_endpoints::sample_load() {
    const auto now = steady_now();
    load_samples_.push_back({now, worker_.running(), worker_.waiting()});
    // Drops outdated samples, so that the first one, which is reported, is the newest that is at least as old
    // as the lag.
    while (load_samples_.size() > 1 && load_samples_[1].at + settings_.load_lag <= now) {
        load_samples_.pop_front();
    }
}

stand_in_endpoints::load_sample stand_in_endpoints::reported_load() {
    sample_load();
    load_sample it = load_samples_.front();
    const auto scale = [this](std::size_t n) {
        return static_cast<std::size_t>(std::llround(static_cast<double>(n) * settings_.load_misreport));
    };
    return {it.at, scale(it.in_flight), scale(it.waiting)};
}

bool stand_in_endpoints::holds_live_grant() const {
    return steady_now() < worker_.holder().live_until();
}

bool stand_in_endpoints::drained() const {
    const bool idle = worker_.running() == 0 && worker_.waiting() == 0;
    return idle && (!worker_.grant_covers_keys() || !holds_live_grant());
}

} // namespace kingcupseam::app
