#include "app/instance/grant_pusher.h"
#include "app/raw_http_responder.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupseam::app {

// Guards against an upstream that ends the instance by its answer to a grant.
TEST_CASE("an answer to a grant that holds no numbers counts as a failed push") {
    std::string body;
    SUBCASE("a text") {
        body = R"({"epoch":"1","version":"one"})";
    }
    SUBCASE("a number out of range") {
        body = R"({"epoch":"99999999999999999999999","version":"1"})";
    }
    SUBCASE("a negative number") {
        body = R"({"epoch":"-1","version":"1"})";
    }
    SUBCASE("nothing") {
        body = "{}";
    }
    SUBCASE("no object") {
        body = "[]";
    }
    CAPTURE(body);
    test::raw_http_responder upstream(
        [&](const auto&) { return test::raw_http_responder::json_response(200, body); });
    asio::io_context context;
    constexpr duration interval = std::chrono::seconds(1);
    grant_pusher it(context, upstream.address(), 10 * interval, interval,
                    {[](time_point) {}, [](time_point) {}, [](const auto&) {}});
    it.assign(1, 1, {});
    it.push_if_due(steady_now(), steady_now() + 10 * interval);
    const time_point end = steady_now() + std::chrono::seconds(5);
    while (it.issuer().failures() == 0 && steady_now() < end) {
        REQUIRE_NOTHROW(context.run_for(std::chrono::milliseconds(10)));
        context.restart();
    }
    CHECK(it.issuer().failures() == 1);
    CHECK(it.acknowledged_version() == 0);
}

} // namespace kingcupseam::app
