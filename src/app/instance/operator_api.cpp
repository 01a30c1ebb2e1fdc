#include "app/instance/operator_api.h"

#include "app/instance/replica_name.h"

#include <kingcupseam/error.h>
#include <kingcupseam/logging.h>
#include <kingcupseam/profile.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

constexpr std::string_view profiles_path = "/v1/profiles";

http_response json_response(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump(2) + "\n"};
}

http_response problem_response(int status, const std::string& text) {
    return json_response(status, {{"problem", text}});
}

json profile_json(const profile::accepted_profile& source, bool with_content) {
    json result{{"name", source.name}, {"version", source.version}, {"change_id", source.change_id}};
    if (with_content) {
        result["content"] = source.content;
    }
    return result;
}

std::uint64_t version_parameter(const http_request& request) {
    const auto text = request.query("base_version");
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw invalid_input("request", "base_version", "must be a decimal number; 0 for a new profile");
    }
    return value;
}

/// Compares without an early exit, so that the duration does not reveal how much of a token is correct.
bool equal_in_constant_time(std::string_view a, std::string_view b) {
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t n = 0; n < std::min(a.size(), b.size()); ++n) {
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    }
    return difference == 0;
}

std::string condition_name(ownership::upstream_status value) {
    switch (value) {
    case ownership::upstream_status::joining:
        return "joining";
    case ownership::upstream_status::active:
        return "active";
    case ownership::upstream_status::draining:
        return "draining";
    case ownership::upstream_status::lost:
        return "lost";
    }
    return "invalid";
}

json hot_keys_json(const ownership::table& rows) {
    const auto name_of = [&](std::uint32_t index) {
        return index < rows.upstreams.size() ? rows.upstreams[index].name : std::string();
    };
    json result = json::array();
    for (const auto& [service, it] : rows.services) {
        for (const auto& [key, row] : it.hot_keys) {
            result.push_back({{"service", service},
                              {"key", key},
                              {"owner", name_of(row.owner)},
                              {"next", name_of(row.next)}});
        }
    }
    return result;
}

json ledger_json(const ownership::table& rows) {
    std::set<std::string> replicas;
    std::size_t joining = 0;
    for (const auto& it : rows.ledger_groups) {
        replicas.insert(it.replicas.begin(), it.replicas.end());
        joining += it.joining.size();
    }
    return {{"groups", rows.ledger_groups.size()}, {"replicas", replicas}, {"joining", joining}};
}

json table_json(const ownership::table& rows) {
    std::vector<std::uint32_t> owned(rows.upstreams.size());
    std::uint32_t without_owner = 0;
    for (const auto& [name, service] : rows.services) {
        for (const auto& it : service.shards) {
            if (it.owner < owned.size()) {
                ++owned[it.owner];
            } else if (it.next != ownership::placed_elsewhere) {
                ++without_owner;
            }
        }
    }
    json upstreams = json::array();
    for (std::size_t n = 0; n < rows.upstreams.size(); ++n) {
        const auto& it = rows.upstreams[n];
        upstreams.push_back({{"name", it.name},
                             {"service", it.service},
                             {"address", it.address},
                             {"condition", condition_name(it.condition)},
                             {"shards", owned[n]},
                             {"gate", it.gate},
                             {"standby", it.standby},
                             {"epoch", it.epoch}});
    }
    return {{"data_center", rows.data_center},  {"generation", rows.generation},
            {"version", rows.version},          {"shards_without_owner", without_owner},
            {"hot_keys", hot_keys_json(rows)},  {"ledger", ledger_json(rows)},
            {"upstreams", std::move(upstreams)}};
}

json group_json(const replicated_group* group) {
    if (group == nullptr) {
        return nullptr;
    }
    const auto& node = group->node();
    json voters = json::array();
    json members = json::array();
    for (const auto& it : node.members().voters) {
        voters.push_back(it.name);
        members.push_back(replica_name(it));
    }
    const auto leader = node.leader();
    return {{"term", node.term()},
            {"commit_index", node.commit_index()},
            {"leader", leader ? leader->name : ""},
            {"leads", group->leads()},
            {"members", std::move(members)},
            {"voters", std::move(voters)}};
}

} // namespace

operator_api::operator_api(control_context& shared, global_tier& global, data_center_tier& data_center,
                           const routing_view& view)
    : shared_(shared), global_(global), data_center_(data_center), view_(view) {
    server_ = std::make_unique<http_server>(
        shared.io, http_server_options{.name = "operators", .listen = shared.settings.operator_listen},
        [this](const http_request& request, const http_reply& reply) { handle(request, reply); });
}

bool operator_api::authorized(const http_request& request) const {
    return equal_in_constant_time(request.header("Authorization"),
                                  "Bearer " + shared_.settings.operator_token);
}

bool operator_api::ready() const {
    return !stopping_ && global_.ready() && view_.rules && view_.local_table() != nullptr;
}

void operator_api::handle(const http_request& request, const http_reply& reply) {
    const auto path = request.path();
    if (path == "/live") {
        reply({200, {{"Content-Type", "text/plain"}}, "live\n"});
    } else if (path == "/ready") {
        reply({ready() ? 200 : 503, {{"Content-Type", "text/plain"}}, ready() ? "ready\n" : "not ready\n"});
    } else if (!authorized(request)) {
        reply(problem_response(401, "Authorization: Bearer TOKEN is missing or wrong"));
    } else if (path == "/metrics") {
        shared_.registry.gauge_of("log_lines_dropped", "log lines that the output did not take")
            .set(static_cast<std::int64_t>(logging::dropped_lines()));
        reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, shared_.registry.prometheus_text()});
    } else if (path == "/v1/status") {
        reply(status());
    } else if (path == profiles_path) {
        reply(list_profiles());
    } else if (path.rfind(std::string(profiles_path) + "/", 0) == 0) {
        const auto name = path.substr(profiles_path.size() + 1);
        if (request.method == "POST") {
            accept_profile(name, request, reply);
        } else {
            reply(show_profile(name));
        }
    } else {
        reply(problem_response(404, "no such path"));
    }
}

void operator_api::accept_profile(const std::string& name, const http_request& request,
                                  const http_reply& reply) {
    profile::change change;
    try {
        change = {name, version_parameter(request), request.query("change_id"), request.body.str()};
        if (change.change_id.empty()) {
            throw invalid_input("request", "change_id", "must be 1 to 64 characters");
        }
        profile::parse_profile(name, change.content);
    } catch (const invalid_input& e) {
        reply(json_response(400, {{"source", e.source()}, {"field", e.field()}, {"problem", e.what()}}));
        return;
    }
    global_.propose(encode_profile_change(change), [reply](const std::optional<std::string>& result) {
        if (!result) {
            // The change may still be committed, so it has to be resent under the same change_id.
            auto response = problem_response(
                503, "the global group did not confirm the change; resend it with the same change_id");
            response.headers.emplace_back("Retry-After", "1");
            reply(std::move(response));
            return;
        }
        const auto decided = decode_change_result(*result);
        switch (decided.status) {
        case profile::change_status::accepted:
            reply(json_response(200, profile_json(decided.in_force, false)));
            break;
        case profile::change_status::conflict:
            reply(json_response(409, profile_json(decided.in_force, true)));
            break;
        case profile::change_status::invalid:
            reply(json_response(
                400, {{"source", decided.in_force.name}, {"field", ""}, {"problem", decided.problem}}));
            break;
        }
    });
}

http_response operator_api::list_profiles() const {
    json result = json::array();
    if (!global_.state().profiles.empty()) {
        for (const auto& it : profile::store::decode(global_.state().profiles).all()) {
            result.push_back(profile_json(it, false));
        }
    }
    return json_response(200, result);
}

http_response operator_api::show_profile(const std::string& name) const {
    if (!global_.state().profiles.empty()) {
        if (const auto found = profile::store::decode(global_.state().profiles).find(name)) {
            return json_response(200, profile_json(*found, true));
        }
    }
    return problem_response(404, "no profile of this name has been accepted");
}

http_response operator_api::status() const {
    json instances = json::array();
    for (const auto& [name, it] : shared_.instances) {
        instances.push_back(
            {{"name", name}, {"data_center", it.data_center}, {"address", to_string(it.address)}});
    }
    json tables = json::array();
    for (const auto& [name, it] : view_.tables) {
        tables.push_back(table_json(*it));
    }
    return json_response(200, {{"instance", shared_.settings.name},
                               {"data_center", shared_.settings.data_center},
                               {"incarnation", std::to_string(shared_.incarnation)},
                               {"ready", ready()},
                               {"global_version", global_.state().version},
                               {"global_group", group_json(global_.group())},
                               {"data_center_leader", data_center_.leader()},
                               {"data_center_generation", data_center_.generation()},
                               {"data_center_group", group_json(data_center_.group())},
                               {"instances", std::move(instances)},
                               {"data_centers", std::move(tables)}});
}

void operator_api::stop() {
    server_->stop_accepting();
}

} // namespace kingcupseam::app
