#include <doctest/doctest.h>

#include "app/line_diff.h"
#include "app/operator_commands.h"
#include "app/raw_http_responder.h"
#include "support/temporary_folder.h"

#include <kingcupseam/config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <set>
#include <sstream>

using namespace kingcupseam;
using test::raw_http_responder;
using test::raw_request;

namespace {

const std::string token = "0123456789abcdef";
const std::string file = KINGCUPSEAM_SOURCE_DIR "/profiles/navalsig.toml";

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result profile(app::arguments args) {
    std::ostringstream out;
    std::ostringstream err;
    args.insert(args.end(), {"--timeout-s", "3"});
    const int code = app::profile_command(args, out, err);
    return {code, out.str(), err.str()};
}

app::arguments accept_arguments(const std::vector<std::string>& operators) {
    app::arguments args{"accept", file, "--base-version", "4", "--token", token};
    for (const auto& it : operators) {
        args.insert(args.end(), {"--operator", it});
    }
    return args;
}

std::string change_id_of(const raw_request& request) {
    const std::string line = request.line();
    const auto start = line.find("change_id=") + 10;
    return line.substr(start, line.find(' ', start) - start);
}

std::string accepted(const raw_request& /*request*/) {
    return raw_http_responder::json_response(200, R"({"name":"navalsig","version":5,"change_id":"x"})");
}

std::string profile_json(const std::string& content) {
    const nlohmann::json value{{"name", "navalsig"}, {"version", 4}, {"content", content}};
    return raw_http_responder::json_response(200, value.dump());
}

} // namespace

// Guards against a change that is made twice or reported wrongly when answers are lost, malformed or refused.
TEST_CASE("profile accept sends the profile and reports the result") {
    SUBCASE("the request carries name, base version, a fresh change id, the token and the content") {
        const raw_http_responder instance(accepted);
        const auto it = profile(accept_arguments({instance.address()}));
        CHECK(it.code == app::exit_success);
        CHECK(it.out.rfind("accepted navalsig version 5 change ", 0) == 0);
        const auto request = instance.received().at(0);
        CHECK(request.line().rfind("POST /v1/profiles/navalsig?base_version=4&change_id=", 0) == 0);
        CHECK(request.head.find("\r\nAuthorization: Bearer " + token + "\r\n") != std::string::npos);
        CHECK(request.body == config::read_file(file));
        CHECK(change_id_of(request).size() == 32);
        profile(accept_arguments({instance.address()}));
        CHECK(change_id_of(instance.received().at(1)) != change_id_of(request));
    }
    SUBCASE("a lost answer is followed by a repeat with the same change id, so the change is made once") {
        std::atomic<int> calls{0};
        const raw_http_responder instance(
            [&](const raw_request& request) { return ++calls == 1 ? std::string() : accepted(request); });
        CHECK(profile(accept_arguments({instance.address()})).code == app::exit_success);
        const auto requests = instance.received();
        REQUIRE(requests.size() == 2);
        CHECK(change_id_of(requests[0]) == change_id_of(requests[1]));
    }
    SUBCASE("the next listener is tried if one is unreachable, cuts its answer off, or answers 503") {
        std::string dead;
        {
            const raw_http_responder gone(accepted);
            dead = gone.address();
        }
        const raw_http_responder cut_off(
            [](const raw_request& /*request*/) { return "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"; });
        const raw_http_responder leaderless(
            [](const raw_request& /*request*/) { return raw_http_responder::json_response(503, "{}"); });
        const raw_http_responder working(accepted);
        const auto it =
            profile(accept_arguments({dead, cut_off.address(), leaderless.address(), working.address()}));
        CHECK(it.code == app::exit_success);
        std::set<std::string> ids;
        for (const auto* instance : {&cut_off, &leaderless, &working}) {
            for (const auto& request : instance->received()) {
                ids.insert(change_id_of(request));
            }
        }
        CHECK(ids.size() == 1);
    }
    SUBCASE("without an answer, the message names the change id to repeat the command with") {
        const raw_http_responder silent([](const raw_request& /*request*/) { return std::string(); });
        auto args = accept_arguments({silent.address()});
        args.insert(args.end(), {"--change-id", "my-id"});
        const auto it = profile(args);
        CHECK(it.code == app::exit_failure);
        CHECK(it.err.find("--change-id my-id\n") != std::string::npos);
        CHECK(change_id_of(silent.received().at(0)) == "my-id");
    }
    SUBCASE("a conflict names the version in force and exits with 1") {
        const raw_http_responder instance([](const raw_request& /*request*/) {
            return raw_http_responder::json_response(409, R"({"name":"navalsig","version":6,"content":"x"})");
        });
        const auto it = profile(accept_arguments({instance.address()}));
        CHECK(it.code == app::exit_failure);
        CHECK(it.out.empty());
        CHECK(it.err.find("conflict: navalsig version 6 is in force") != std::string::npos);
    }
    SUBCASE("for refused content, the message names source and field and the exit code is 2") {
        const raw_http_responder instance([](const raw_request& /*request*/) {
            return raw_http_responder::json_response(400, R"({"source":"s","field":"f","problem":"p"})");
        });
        const auto it = profile(accept_arguments({instance.address()}));
        CHECK(it.code == app::exit_invalid_input);
        CHECK(it.err == "kingcupseam: s: f: p\n");
    }
    SUBCASE("source and field are not repeated if the problem already names them") {
        const raw_http_responder instance([](const raw_request& /*request*/) {
            return raw_http_responder::json_response(400,
                                                     R"({"source":"s","field":"f","problem":"s: f: p"})");
        });
        CHECK(profile(accept_arguments({instance.address()})).err == "kingcupseam: s: f: p\n");
    }
    SUBCASE("a refused token is not sent to further listeners") {
        const raw_http_responder instance(
            [](const raw_request& /*request*/) { return raw_http_responder::json_response(401, "{}"); });
        const raw_http_responder other(accepted);
        const auto it = profile(accept_arguments({instance.address(), other.address()}));
        CHECK(it.code == app::exit_failure);
        CHECK(it.err.find("refused the operator token") != std::string::npos);
        CHECK(other.received().empty());
    }
    SUBCASE("an answer that the protocol does not allow is a failure, not an acceptance") {
        for (const char* body : {"", "ok", "{}", R"({"version":"5"})", "[]"}) {
            const raw_http_responder instance(
                [&](const raw_request& /*request*/) { return raw_http_responder::json_response(200, body); });
            const auto it = profile(accept_arguments({instance.address()}));
            CHECK(it.code == app::exit_failure);
            CHECK(it.out.empty());
        }
    }
}

// Guards against a request that is sent although the command line or the file is invalid.
TEST_CASE("an invalid command line or profile is refused before a request is sent") {
    const test::temporary_folder folder;
    const raw_http_responder instance(accepted);
    const std::string bad = folder.write("bad.toml", "name = 1\n");
    const app::arguments connection{"--operator", instance.address(), "--token", token};
    const auto profile_at_instance = [&](app::arguments args) {
        args.insert(args.end(), connection.begin(), connection.end());
        return profile(args);
    };
    CHECK(profile_at_instance({"accept", bad, "--base-version", "0"}).err.find(bad + ": name: ") !=
          std::string::npos);
    CHECK(profile_at_instance({"accept", file}).code == app::exit_invalid_input);
    CHECK(profile_at_instance({"accept"}).code == app::exit_invalid_input);
    CHECK(profile_at_instance({"approve", file}).code == app::exit_invalid_input);
    CHECK(profile_at_instance({}).code == app::exit_invalid_input);
    CHECK(profile({"list", "--token", token}).code == app::exit_invalid_input);
    CHECK(profile({"list", "--operator", instance.address()}).code == app::exit_invalid_input);
    CHECK(profile({"list", "--operator", "nowhere", "--token", token}).code == app::exit_invalid_input);
    CHECK(profile({"list", "--operator", instance.address(), "--token", "a b"}).code ==
          app::exit_invalid_input);
    CHECK(instance.received().empty());
    CHECK(profile({"--help"}).code == app::exit_success);
}

// Guards against output that differs from the profiles in force.
TEST_CASE("profile list, show and diff read the profiles in force") {
    const std::string content = config::read_file(file);
    const test::temporary_folder folder;
    const std::string token_file = folder.write("token", token + "\n");
    const raw_http_responder instance([&](const raw_request& request) {
        const std::string line = request.line();
        if (line.rfind("GET /v1/profiles HTTP", 0) == 0) {
            return raw_http_responder::json_response(200, R"([{"name":"cairnmark","version":1},
                {"name":"navalsig","version":4}])");
        }
        return line.rfind("GET /v1/profiles/navalsig HTTP", 0) == 0
                   ? profile_json(content)
                   : raw_http_responder::json_response(404, "{}");
    });
    const app::arguments connection{"--operator", instance.address(), "--token-file", token_file};
    const auto profile_at_instance = [&](app::arguments args) {
        args.insert(args.end(), connection.begin(), connection.end());
        return profile(args);
    };

    SUBCASE("list prints names and versions") {
        CHECK(profile_at_instance({"list"}).out == "cairnmark version 1\nnavalsig version 4\n");
        CHECK(instance.received().at(0).head.find("Bearer " + token + "\r\n") != std::string::npos);
    }
    SUBCASE("show prints the exact content, so that it can be edited and accepted") {
        const auto it = profile_at_instance({"show", "navalsig"});
        CHECK(it.out == content);
        CHECK(it.err == "navalsig version 4\n");
    }
    SUBCASE("a profile that does not exist is a failure") {
        CHECK(profile_at_instance({"show", "../status"}).code == app::exit_failure);
        CHECK(instance.received().at(0).line().find("/v1/profiles/..%2Fstatus ") != std::string::npos);
    }
    SUBCASE("diff prints nothing for equal content, and changed lines with exit code 1") {
        CHECK(profile_at_instance({"diff", file}).code == app::exit_success);
        std::string edited = content;
        edited.replace(edited.find("home_hold_s = 7200"), 18, "home_hold_s = 3600");
        const auto it = profile_at_instance({"diff", folder.write("edited.toml", edited)});
        CHECK(it.code == app::exit_failure);
        CHECK(it.out.rfind("--- navalsig version 4\n", 0) == 0);
        CHECK(it.out.find("@@ -4 +4 @@\n-home_hold_s = 7200\n+home_hold_s = 3600\n") != std::string::npos);
    }
}

// Guards against changes that a diff leaves out, and against quadratic memory use for large texts.
TEST_CASE("a line diff shows every change and nothing else") {
    CHECK(app::line_diff("a\nb\nc\n", "a\nb\nc\n").empty());
    CHECK(app::line_diff("", "a\n") == "@@ -1 +1 @@\n+a\n");
    CHECK(app::line_diff("a\nb\nc\n", "a\nc\n") == "@@ -2 +2 @@\n-b\n");
    CHECK(app::line_diff("a\nb\nc\nd\ne\n", "a\nx\nc\nd\ny\ne\n") ==
          "@@ -2 +2 @@\n-b\n+x\n@@ -5 +5 @@\n+y\n");
    SUBCASE("two large texts without common lines are shown as one block, without quadratic memory") {
        std::string left;
        std::string right;
        for (int n = 0; n < 30'000; ++n) {
            left += std::to_string(n) + "l\n";
            right += std::to_string(n) + "r\n";
        }
        const auto changes = app::line_diff(left, right);
        CHECK(std::count(changes.begin(), changes.end(), '\n') == 60'001);
    }
}
