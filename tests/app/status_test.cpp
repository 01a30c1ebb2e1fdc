#include <doctest/doctest.h>

#include "app/operator_commands.h"
#include "app/raw_http_responder.h"

#include <nlohmann/json.hpp>

#include <sstream>

using namespace kingcupseam;
using test::raw_http_responder;
using test::raw_request;

namespace {

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result status(const raw_http_responder& instance, const app::arguments& more = {}) {
    std::ostringstream out;
    std::ostringstream err;
    app::arguments args{"--operator", instance.address(), "--token", "0123456789abcdef", "--timeout-s", "1"};
    args.insert(args.end(), more.begin(), more.end());
    const int code = app::status_command(args, out, err);
    return {code, out.str(), err.str()};
}

raw_http_responder::handler respond_always(int code, const std::string& body) {
    return [code, body](const raw_request& /*request*/) {
        return raw_http_responder::json_response(code, body);
    };
}

const std::string body = R"({"instance":"a1","leader":null,"upstreams":[{"name":"u1","epoch":7},
    {"name":"upstream-2","gate":"a2"}],"groups":[]})";

} // namespace

// Guards against fields of the answer that are left out, such as those that only some rows have.
TEST_CASE("status prints the state of the system as tables or as JSON") {
    const raw_http_responder instance(respond_always(200, body));

    SUBCASE("each array of objects becomes a table with a column for every field of any row") {
        const auto it = status(instance);
        CHECK(it.code == app::exit_success);
        CHECK(it.out == "instance: a1\nleader: -\nupstreams:\n"
                        "  name        epoch  gate\n"
                        "  u1          7      -\n"
                        "  upstream-2  -      a2\n"
                        "groups: []\n");
        CHECK(instance.received().at(0).line() == "GET /v1/status HTTP/1.1");
    }
    SUBCASE("--json prints the answer as JSON") {
        const auto it = status(instance, {"--json"});
        CHECK(nlohmann::json::parse(it.out) == nlohmann::json::parse(body));
    }
}

// Guards against an exit code of 0, or output that looks like a status, without a valid answer.
TEST_CASE("status fails and prints no status without a valid answer") {
    SUBCASE("answers that are not a status") {
        for (const char* text : {"", "[]", "ok", "{"}) {
            const raw_http_responder instance(respond_always(200, text));
            const auto it = status(instance);
            CHECK(it.code == app::exit_failure);
            CHECK(it.out.empty());
        }
    }
    SUBCASE("an HTTP error, and a 503 that lasts until the timeout") {
        const raw_http_responder broken(respond_always(500, "{}"));
        CHECK(status(broken).code == app::exit_failure);
        const raw_http_responder leaderless(respond_always(503, "{}"));
        const auto it = status(leaderless);
        CHECK(it.code == app::exit_failure);
        CHECK(it.err.find(leaderless.address() + ": answered 503") != std::string::npos);
    }
    SUBCASE("if no listener answers, the command ends at its timeout") {
        const raw_http_responder silent([](const raw_request& /*request*/) { return std::string(); });
        const auto start = steady_now();
        CHECK(status(silent).code == app::exit_failure);
        CHECK(steady_now() - start < std::chrono::seconds(3));
    }
}
