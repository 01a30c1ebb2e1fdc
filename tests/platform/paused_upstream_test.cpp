#include "dispatcher_harness.h"

#include <string>

namespace kingcupseam::platform::test {

// Guards against requests to an upstream that has refused one and asked to be left alone for a while.
TEST_CASE("an upstream that refuses with a time to return gets no requests until then") {
    constexpr duration pause = milliseconds(800);
    std::optional<time_point> refused;
    int early = 0;
    harness it([&](const http_request& request) {
        if (!refused) {
            refused = steady_now();
            return http_response{503,
                                 {{"X-Request-Id", request.header("X-Request-Id")},
                                  {"X-Not-Executed", "1"},
                                  {"Retry-After", "0.8"}},
                                 {},
                                 false};
        }
        early += steady_now() - *refused < pause ? 1 : 0;
        return signed_answer(request);
    });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    SUBCASE("from its gate") {
        it.configure(true);
    }
    SUBCASE("from an entry that sends without a gate") {
        it.configure(false);
    }
    std::optional<http_response> waiting;
    const auto first = it.send("/unsafe/1");
    CHECK(first.status == 503);
    const double seconds = std::stod(first.header("Retry-After"));
    CHECK(seconds > 0.1);
    CHECK(seconds <= 0.8);
    // Others are told at once, too.
    const time_point begun = steady_now();
    CHECK(it.send("/unsafe/2").status == 503);
    CHECK(steady_now() - begun < milliseconds(100));
    it.run_until([&] { return steady_now() - *refused >= pause; });
    CHECK(it.send("/unsafe/3").status == 200);
    CHECK(early == 0);
}

// Guards against requests that wait in the queue of such an upstream until they cannot be served any more.
TEST_CASE("a request that waits for an upstream that asks for a long pause is refused at once") {
    std::optional<app::http_reply> held;
    harness it([](const http_request& request) { return signed_answer(request); });
    const std::uint16_t port = harness::first_port + 2;
    app::http_server_options options;
    options.listen = {"127.0.0.1", port};
    app::http_server upstream(it.context, options,
                              [&](const http_request&, const app::http_reply& reply) { held = reply; });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true, 1, port);
    it.start("/unsafe/1");
    it.run_until([&] { return held.has_value(); });
    std::optional<http_response> second;
    it.start("/unsafe/2", milliseconds(1400), second);
    CHECK_FALSE(second);
    (*held)({503, {{"X-Request-Id", "id-1"}, {"X-Not-Executed", "1"}, {"Retry-After", "5"}}, {}, false});
    it.run_until([&] { return it.answer && second; }, milliseconds(300));
    REQUIRE(second);
    CHECK(second->status == 503);
    CHECK(std::stod(second->header("Retry-After")) > 4);
}

TEST_CASE("a pause is read from a refusal") {
    const auto protocol = make_provider_protocol();
    const auto read = [&](int status, const std::string& text) {
        return protocol->read_answer({}, {status, {{"Retry-After", text}}, {}, false}).asked.pause;
    };
    CHECK(read(503, "1.5") == milliseconds(1500));
    CHECK(read(503, "1e9") == std::chrono::seconds(60));
    for (const char* text : {"", "-1", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(text);
        CHECK(read(503, text) == duration::zero());
    }
    CHECK(read(200, "1.5") == duration::zero());
}

} // namespace kingcupseam::platform::test
