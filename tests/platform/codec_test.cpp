#include "announcement_codec.h"
#include "configuration_codec.h"
#include "json_fields.h"
#include "process_settings.h"
#include "provider_protocol.h"

#include <kingcupseam/error.h>

#include <doctest/doctest.h>

#include <cerrno>

namespace kingcupseam::platform {

namespace {

const std::string desired_state =
    R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","route_type","timeout","target_latency",)"
    R"("priority","traffic_split","attempts","service"],"rows":[["r1","h.example","/a/","safe","1200ms","400ms",1,)"
    R"([{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],["r2","h.example","/b/","unsafe","1.5s",)"
    R"("1000ms",2,null,2,"s1"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls",)"
    R"("sharded","warm","grants"],"rows":[["s1","/healthz",120,"h1",false,true,"5s","request"],)"
    R"(["s2","/healthz",120,"h1",false,null,null,null]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

const std::string report =
    R"({"address":"10.128.0.9:8080","born":1700000000000,"info":{"service":"s1","version":"v1",)"
    R"("zone":"z1","capacity":6},"status":{"state":"ready","sequence":4,"warmup_left":"0ms"}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

app::http_request request_of(app::header_list headers) {
    app::http_request result;
    result.method = "GET";
    result.target = "/a/1?x=2";
    result.headers = std::move(headers);
    return result;
}

} // namespace

TEST_CASE("a desired state is parsed completely or refused") {
    SUBCASE("routes, services and limits") {
        const auto config = parse_configuration(desired_state);
        CHECK(config.version == 7);
        CHECK(config.document == desired_state);
        const auto& split = config.routes.at("r1");
        CHECK(split.targets == std::vector<directory::weighted_service>{{"s1", 90}, {"s2", 10}});
        CHECK(split.runs == execution::idempotent);
        CHECK(split.timeout == std::chrono::milliseconds(1200));
        const auto& single = config.routes.at("r2");
        CHECK(single.runs == execution::at_most_once);
        CHECK(single.timeout == std::chrono::milliseconds(1500));
        CHECK(single.targets.size() == 1);
        CHECK(config.services.at("s1").key_ranges);
        CHECK(config.services.at("s1").warm_up == std::chrono::seconds(5));
        CHECK_FALSE(config.services.at("s2").key_ranges);
        CHECK(config.limits.idle_timeout == std::chrono::seconds(15));
    }
    SUBCASE("a truncated document") {
        for (std::size_t n = 0; n < desired_state.size(); n += 7) {
            CHECK_THROWS_AS(parse_configuration(desired_state.substr(0, n)), error);
        }
    }
    SUBCASE("invalid content") {
        std::string text;
        SUBCASE("unknown service") {
            text = replaced(desired_state, "2,\"s1\"]", "2,\"s9\"]");
        }
        SUBCASE("negative weight") {
            text = replaced(desired_state, "\"weight\":10", "\"weight\":-10");
        }
        SUBCASE("zero attempts") {
            text = replaced(desired_state, "null,2,\"s1\"", "null,0,\"s1\"");
        }
        SUBCASE("a route without a service") {
            text = replaced(desired_state, "2,\"s1\"]", "2,null]");
        }
        // Guards against a route that cannot answer any request: a configuration that was sent as invalid
        // came into force with it.
        SUBCASE("a timeout of zero") {
            text = replaced(desired_state, "\"1200ms\"", "\"0ms\"");
        }
        SUBCASE("two routes with the same name") {
            text = replaced(desired_state, "\"r2\"", "\"r1\"");
        }
        SUBCASE("a version that is not a number") {
            text = replaced(desired_state, "00000007", "0000000g");
        }
        SUBCASE("a row that is too short") {
            text = replaced(desired_state, ",2,\"s1\"]", ",2]");
        }
        CHECK_THROWS_AS(parse_configuration(text), error);
    }
    SUBCASE("unknown fields are ignored") {
        CHECK_NOTHROW(
            parse_configuration(replaced(desired_state, "{\"version\"", "{\"later\":1,\"version\"")));
    }
}

TEST_CASE("an invalid liveness report is refused") {
    const auto read = parse_announcement("i-1", report);
    CHECK(read.upstream.incarnation == directory::upstream_incarnation{"i-1", 1700000000000});
    CHECK(read.upstream.slots == 6);
    CHECK(read.sequence == 4);
    CHECK(parse_announcement("i-1", replaced(report, "\"ready\"", "\"draining\"")).upstream.draining);
    for (const auto& change :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"asleep\""},
                                                          {"\"sequence\":4", "\"sequence\":\"4\""},
                                                          {"\"capacity\":6", "\"capacity\":0"},
                                                          {"\"capacity\":6", "\"capacity\":1.5"},
                                                          {"1700000000000", "1700000000000.5"},
                                                          {"\"born\":1700000000000,", ""},
                                                          {"10.128.0.9:8080", "10.128.0.9"},
                                                          {"\"info\"", "\"other\""}}) {
        CAPTURE(change.second);
        CHECK_THROWS_AS(parse_announcement("i-1", replaced(report, change.first, change.second)),
                        invalid_input);
    }
}

// Guards against headers of one connection on another, forged targets, and answers that are misread as run or
// not run.
TEST_CASE("the provider's protocol is translated") {
    const auto protocol = make_provider_protocol();
    const directory::upstream target{{"i-7", 1}, "s", "z", {"127.0.0.1", 1}, 2, false, false};

    SUBCASE("a caller's headers are forwarded except those of the connection and of the provider") {
        const auto request = protocol->read_request(request_of({{"Host", "h.example:80"},
                                                                {"X-Request-Id", "abc"},
                                                                {"X-Deadline-Ms", "2500"},
                                                                {"X-Shard-Key", "77"},
                                                                {"X-Target-Instance", "forged"},
                                                                {"Connection", "keep-alive, X-Hop"},
                                                                {"X-Hop", "1"},
                                                                {"X-Other", "2"}}));
        CHECK(request.host == "h.example");
        CHECK(request.key == 77);
        CHECK(request.time_limit == std::chrono::milliseconds(2500));
        const std::string bytes = protocol->write_attempt(request, target, std::chrono::milliseconds(400));
        CHECK(bytes.starts_with("GET /a/1?x=2 HTTP/1.1\r\n"));
        CHECK(bytes.find("X-Request-Id: abc\r\n") != std::string::npos);
        CHECK(bytes.find("X-Target-Instance: i-7\r\n") != std::string::npos);
        CHECK(bytes.find("X-Deadline-Ms: 395\r\n") != std::string::npos);
        CHECK(bytes.find("X-Other: 2\r\n") != std::string::npos);
        CHECK(bytes.find("forged") == std::string::npos);
        CHECK(bytes.find("X-Hop") == std::string::npos);
    }

    SUBCASE("malformed deadlines and keys are refused") {
        CHECK_THROWS_AS(protocol->read_request(request_of({{"X-Deadline-Ms", "soon"}})), invalid_input);
        CHECK_THROWS_AS(protocol->read_request(request_of({{"X-Shard-Key", "65536"}})), invalid_input);
    }

    SUBCASE("an answer tells whether the request ran") {
        const auto metadata = [&](int status, app::header_list headers) {
            return protocol->read_answer({}, {status, std::move(headers), {}, false});
        };
        CHECK(metadata(503, {{"X-Not-Executed", "1"}}).not_executed);
        CHECK(metadata(421, {}).wrong_upstream);
        // Forwarding this answer would promise that the request has not run.
        CHECK(metadata(503, {}).unproven_refusal);
        CHECK_FALSE(metadata(500, {}).unproven_refusal);
        CHECK(metadata(200, {{"X-Response-Signature", "s"}}).authentic);
        CHECK_FALSE(metadata(200, {}).authentic);
        CHECK_FALSE(metadata(200, {{"X-Response-Signature", "s"}, {"Content-Encoding", "gzip"}}).authentic);
        CHECK(metadata(200, {{"X-Backend-Load", "3,1,8"}}).load->waiting == 1);
        CHECK_FALSE(metadata(200, {{"X-Backend-Load", "3"}}).load);
    }
}

namespace {

/// Control instance whose disk is full.
class failing_control : public router::control_api {
public:
    void announce(router::announcement, on_accepted) override { throw io_error("log", "write", ENOSPC); }
    void depart(std::string, on_accepted done) override { done(false); }
    void accept_configuration(directory::configuration, on_accepted) override {
        throw io_error("log", "write", ENOSPC);
    }
    void read_configuration(on_document done) override { done(std::nullopt); }
};

} // namespace

// Guards against reporting a valid desired state as invalid: with a full disk, the operator got a 400 and the
// process continued with a log that it could not write.
TEST_CASE("a failing disk is not reported as an invalid request") {
    const auto protocol = make_provider_protocol();
    failing_control control;
    int status = 0;
    const auto serve = [&](const std::string& method, const std::string& path, const std::string& body) {
        app::http_request order;
        order.method = method;
        order.target = path;
        order.body = body;
        status = 0;
        protocol->serve_control(
            std::move(order), [&](const app::http_response& it) { status = it.status; }, control);
    };
    CHECK_THROWS_AS(serve("PUT", "/config", desired_state), io_error);
    CHECK_THROWS_AS(serve("PUT", "/instances/i-1", report), io_error);
    CHECK(status == 0);
    serve("PUT", "/config", "{");
    CHECK(status == 400);
    serve("PUT", "/instances/i-1", "{");
    CHECK(status == 400);
    serve("GET", "/config", "");
    CHECK(status == 503);
    serve("DELETE", "/instances/i-1", "");
    CHECK(status == 503);
    serve("GET", "/other", "");
    CHECK(status == 404);
}

TEST_CASE("a duration needs a unit") {
    CHECK(parse_duration("f", "1500ms") == std::chrono::milliseconds(1500));
    CHECK(parse_duration("f", "2.5s") == std::chrono::milliseconds(2500));
    for (const char* text : {"", "5", "ms", "-1s", "1m", "1e99s"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parse_duration("f", text), invalid_input);
    }
}

// Guards against a control instance that ends when it passes on what an upstream has answered to a release.
TEST_CASE("a handover that JSON cannot carry is left out of the next grant") {
    const auto protocol = make_provider_protocol();
    key_ranges::call grant;
    grant.kind = key_ranges::call_kind::grant;
    SUBCASE("bytes that are no text") {
        grant.handover = protocol->read_handover({200, {{"X-Handover", "5c0e\xff"}}, {}, false});
        CHECK(protocol->write_call(grant).find("handover") == std::string::npos);
    }
    SUBCASE("text is passed on") {
        grant.handover = protocol->read_handover({200, {{"X-Handover", "5c0e7a21d94b36f8"}}, {}, false});
        CHECK(protocol->write_call(grant).find(R"("handover":"5c0e7a21d94b36f8")") != std::string::npos);
    }
}

// Guards against a stack that overflows: copies of a value call themselves for each level.
TEST_CASE("a document that is nested deeply is refused") {
    constexpr std::size_t levels = 1'000'000;
    const std::string deep = std::string(levels, '[') + std::string(levels, ']');
    SUBCASE("in a table of a desired state") {
        CHECK_THROWS_AS(parse_configuration(replaced(desired_state, ",120,", "," + deep + ",")),
                        invalid_input);
    }
    SUBCASE("in a report") {
        CHECK_THROWS_AS(parse_announcement("u", replaced(report, "6", deep)), invalid_input);
    }
    SUBCASE("as objects") {
        std::string objects;
        for (std::size_t n = 0; n < levels; ++n) {
            objects += R"({"a":)";
        }
        CHECK_THROWS_AS(parse_configuration(objects), invalid_input);
    }
}

} // namespace kingcupseam::platform
