#include "app/instance/announcement.h"

#include <kingcupseam/types.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

constexpr const char* source_name = "announcement";
constexpr std::size_t max_name_length = 64;
constexpr std::int64_t max_slots = 1024;
constexpr std::int64_t max_connections = 65535;

template <class T>
T field(const json& body, const char* name) {
    try {
        return body.at(name).get<T>();
    } catch (const json::exception&) {
        throw invalid_input(source_name, name, "is missing or has the wrong type");
    }
}

std::string name_field(const json& body, const char* name) {
    auto value = field<std::string>(body, name);
    const bool valid =
        !value.empty() && value.size() <= max_name_length &&
        std::all_of(value.begin(), value.end(), [](char it) {
            return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '.' || it == '_' || it == '-';
        });
    if (!valid) {
        throw invalid_input(source_name, name, "must be 1 to 64 characters of [A-Za-z0-9._-]");
    }
    return value;
}

std::int32_t count_field(const json& body, const char* name, std::int64_t max) {
    const auto value = field<std::int64_t>(body, name);
    if (value < 1 || value > max) {
        throw invalid_input(source_name, name, "must be 1 to " + std::to_string(max));
    }
    return static_cast<std::int32_t>(value);
}

std::int64_t incarnation_field(const json& body) {
    const auto text = field<std::string>(body, "incarnation");
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw invalid_input(source_name, "incarnation",
                            "must be a string with a decimal unsigned 64-bit number");
    }
    return static_cast<std::int64_t>(value);
}

bool draining_field(const json& body) {
    const auto state = field<std::string>(body, "state");
    if (state != "active" && state != "draining") {
        throw invalid_input(source_name, "state", "must be active or draining");
    }
    return state == "draining";
}

http_response json_response(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

wire::Announce parse_announcement(const http_request& request) {
    if (request.method != "POST" || request.path() != "/v1/announce") {
        throw invalid_input(source_name, "target", "must be POST /v1/announce");
    }
    const json body = json::parse(request.body.str(), nullptr, false);
    if (!body.is_object()) {
        throw invalid_input(source_name, "body", "must be a JSON object");
    }
    wire::Announce result;
    result.name = name_field(body, "name");
    result.service_name = name_field(body, "service");
    result.address = field<std::string>(body, "address");
    parse_endpoint(source_name, "address", result.address);
    result.slots = count_field(body, "slots", max_slots);
    result.connections = count_field(body, "connections", max_connections);
    result.checks_grants = field<bool>(body, "checks_grants");
    result.incarnation = incarnation_field(body);
    result.draining = draining_field(body);
    return result;
}

http_response announcement_accepted(const std::string& data_center, const std::string& instance) {
    return json_response(202, {{"data_center", data_center}, {"instance", instance}});
}

http_response announcement_refused(const invalid_input& problem) {
    return json_response(
        400, {{"source", problem.source()}, {"field", problem.field()}, {"problem", problem.what()}});
}

http_response announcement_unavailable() {
    auto response = json_response(
        503, {{"problem", "the data centre group has no leader, or no profile defines the service"}});
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

} // namespace kingcupseam::app
