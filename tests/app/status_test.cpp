#include <doctest/doctest.h>

#include "app/operator_commands.h"
#include "app/raw_http_responder.h"

#include <nlohmann/json.hpp>

#include <sstream>

using namespace kingcupseam;
using test::raw_http_responder;
using test::raw_request;

namespace {

struct run {
    int code = 0;
    std::string out;
    std::string err;
};

run status(const raw_http_responder& instance, const app::arguments& more = {}) {
    std::ostringstream out;
    std::ostringstream err;
    app::arguments args{"--operator", instance.address(), "--token", "0123456789abcdef", "--timeout-s", "1"};
    args.insert(args.end(), more.begin(), more.end());
    const int code = app::status_command(args, out, err);
    return {code, out.str(), err.str()};
}

raw_http_responder::handler always(int code, const std::string& body) {
    return [code, body](const raw_request& /*request*/) {
        return raw_http_responder::json_response(code, body);
    };
}

const std::string body = R"({"instance":"a1","leader":null,"upstreams":[{"name":"u1","epoch":7},
    {"name":"upstream-2","gate":"a2"}],"groups":[]})";

} // namespace

TEST_CASE("an operator looks at the state of the system") {
    const raw_http_responder instance(always(200, body));

    SUBCASE("as a table with one column per field, also for fields that only some rows have") {
        const auto it = status(instance);
        CHECK(it.code == app::exit_success);
        CHECK(it.out == "instance: a1\nleader: -\nupstreams:\n"
                        "  name        epoch  gate\n"
                        "  u1          7      -\n"
                        "  upstream-2  -      a2\n"
                        "groups: []\n");
        CHECK(instance.received().at(0).line() == "GET /v1/status HTTP/1.1");
    }
    SUBCASE("as JSON for other programs") {
        const auto it = status(instance, {"--json"});
        CHECK(nlohmann::json::parse(it.out) == nlohmann::json::parse(body));
    }
}

TEST_CASE("a status that cannot be had is a failure and prints nothing that looks like one") {
    SUBCASE("answers that are not a status") {
        for (const char* text : {"", "[]", "ok", "{"}) {
            const raw_http_responder instance(always(200, text));
            const auto it = status(instance);
            CHECK(it.code == app::exit_failure);
            CHECK(it.out.empty());
        }
    }
    SUBCASE("an error status, also one that lasts") {
        const raw_http_responder broken(always(500, "{}"));
        CHECK(status(broken).code == app::exit_failure);
        const raw_http_responder leaderless(always(503, "{}"));
        const auto it = status(leaderless);
        CHECK(it.code == app::exit_failure);
        CHECK(it.err.find(leaderless.address() + ": answered 503") != std::string::npos);
    }
    SUBCASE("no listener at all ends within the timeout") {
        const raw_http_responder silent([](const raw_request& /*request*/) { return std::string(); });
        const auto start = steady_now();
        CHECK(status(silent).code == app::exit_failure);
        CHECK(steady_now() - start < std::chrono::seconds(3));
    }
}
