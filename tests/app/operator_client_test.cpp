#include "app/operator_client.h"
#include "app/raw_http_responder.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupseam::app {

namespace {

using test::raw_http_responder;

constexpr duration timeout = std::chrono::milliseconds(300);

operator_answer get_answer(const std::string& bytes) {
    const raw_http_responder listener([&](const test::raw_request&) { return bytes; });
    return operator_client({parse_endpoint("test", "listener", listener.address())}, "token", timeout)
        .get("/v1/profiles/a");
}

} // namespace

// Guards against an operator who takes a part of a profile for the whole.
TEST_CASE("an operator gets an answer only if it is whole") {
    SUBCASE("by its length") {
        const auto answer = get_answer(raw_http_responder::json_response(409, "{\"name\":\"a\"}"));
        CHECK(answer.status == 409);
        CHECK(answer.body == "{\"name\":\"a\"}");
    }
    SUBCASE("not when its connection ends within the head") {
        CHECK_THROWS_AS(get_answer("HTTP/1.1 200 OK\r\nContent-Le"), operator_unreachable);
    }
    SUBCASE("not when its connection ends within the body") {
        CHECK_THROWS_AS(get_answer("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"na"),
                        operator_unreachable);
    }
    SUBCASE("not when nothing tells where the body ends") {
        CHECK_THROWS_AS(get_answer("HTTP/1.1 200 OK\r\n\r\n{\"na"), operator_unreachable);
    }
    SUBCASE("not when its status line is malformed") {
        for (const std::string line : {"HTTP/1.1 000 x", "HTTP/1.1 600 x", "HTTP/1.1 0200 x"}) {
            CAPTURE(line);
            CHECK_THROWS_AS(get_answer(line + "\r\nContent-Length: 2\r\n\r\n{}"), operator_unreachable);
        }
    }
    SUBCASE("not when the name of a field is malformed") {
        CHECK_THROWS_AS(get_answer("HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2\r\n\r\n{}"),
                        operator_unreachable);
    }
}

} // namespace kingcupseam::app
