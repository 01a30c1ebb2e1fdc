#include "dispatcher_harness.h"
#include "support/free_port.h"

namespace kingcupseam::platform::test {

namespace {

using router::routed_end;

http_response rejection(const http_request& request, int status) {
    return {status, {{"X-Request-Id", request.header("X-Request-Id")}, {"X-Not-Executed", "1"}}, {}, false};
}

const directory::upstream_incarnation owner{"u", 1};

router::routed_result upstreams_answer() {
    return {routed_end::answered, {200, {{"X-Response-Signature", "g"}}, "at gate", false}, {}, owner};
}

router::routed_result gates_own_answer(int status) {
    return {routed_end::answered, {status, {}, {}, false}, {}, {}};
}

} // namespace

// Guards against a lookup that is given up although its upstream is at work, because its gate was silent and
// the attempt past the gate failed (LOST).
TEST_CASE("a lookup at a silent gate runs on there when the attempt past the gate fails") {
    const char* target = "/safe/1";
    std::function<std::optional<http_response>(const http_request&)> past_the_gate;
    harness it([&](const http_request& request) { return past_the_gate(request); });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);
    int attempts = 1;

    SUBCASE("because its upstream cannot be reached") {
        it.configure(true, 4, kingcupseam::test::free_port());
        attempts = 0;
    }
    SUBCASE("because its upstream rejects it") {
        past_the_gate = [](const http_request& request) { return rejection(request, 503); };
    }
    SUBCASE("because its upstream no longer owns the key") {
        past_the_gate = [](const http_request& request) { return rejection(request, 421); };
    }
    SUBCASE("because its upstream fails it") {
        past_the_gate = [](const http_request& request) {
            auto answer = signed_answer(request);
            answer.status = 500;
            return answer;
        };
    }
    SUBCASE("because its answer is not authentic") {
        past_the_gate = [](const http_request& request) {
            return http_response{200, {{"X-Request-Id", request.header("X-Request-Id")}}, "spoilt", false};
        };
    }
    it.start(target);
    REQUIRE(gates.forwarded.size() == 1);
    // Older than its target latency, as it is when its gate has been silent for long.
    const time_point begun = steady_now();
    it.run_until([&] { return steady_now() - begun >= milliseconds(450); });
    gates.callbacks.front()({routed_end::silent, {}, {}, {}});
    const time_point silent = steady_now();
    it.run_until([&] { return steady_now() - silent >= milliseconds(150); });
    CHECK(it.upstream.requests == attempts);
    CHECK_FALSE(it.answer);
    CHECK(gates.withdrawn.empty());
    gates.callbacks.front()(upstreams_answer());
    REQUIRE(it.answer);
    CHECK(it.answer->status == 200);
    CHECK(it.answer->body == "at gate");
    CHECK(it.under_test.requests_in_flight() == 0);
}

TEST_CASE("a lookup at a silent gate is sent past it as well") {
    harness it([](const http_request&) { return std::nullopt; });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);
    it.start("/safe/1");
    REQUIRE(gates.forwarded.size() == 1);
    const auto gate_ends = [&](router::routed_result result) { gates.callbacks.front()(std::move(result)); };
    gate_ends({routed_end::silent, {}, {}, {}});
    it.run_until([&] { return it.upstream.requests == 1; });
    CHECK(gates.withdrawn.empty());

    // Guards against two runs of which neither is ended, and against a second answer to a caller.
    SUBCASE("and the first answer ends the other attempt") {
        SUBCASE("that of the gate") {
            gate_ends(upstreams_answer());
            REQUIRE(it.answer);
            CHECK(it.answer->body == "at gate");
            it.run_until([&] { return it.upstream.closed == 1; });
        }
        SUBCASE("that of the attempt past the gate") {
            it.upstream.answer_held(signed_answer);
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->body == "body");
            CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
        }
        CHECK(it.answer->status == 200);
    }
    // Guards against giving up a run because the gate had no room for the request, or was lost.
    SUBCASE("and waits for that attempt when the gate fails") {
        SUBCASE("as it is lost") {
            gate_ends({routed_end::lost, {}, {}, {}});
        }
        SUBCASE("as it does not accept the request") {
            gate_ends({routed_end::not_accepted, {}, {}, {}});
        }
        SUBCASE("as it refuses the request") {
            gate_ends(gates_own_answer(503));
        }
        SUBCASE("as it gives up the request") {
            gate_ends(gates_own_answer(504));
        }
        CHECK_FALSE(it.answer);
        it.upstream.answer_held(signed_answer);
        it.run_until([&] { return it.answer.has_value(); });
        CHECK(it.answer->status == 200);
        CHECK(it.upstream.requests == 1);
        CHECK(gates.withdrawn.empty());
    }
    SUBCASE("only once while that attempt runs") {
        gate_ends({routed_end::silent, {}, {}, {}});
        const time_point begun = steady_now();
        it.run_until([&] { return steady_now() - begun >= milliseconds(100); });
        CHECK(it.upstream.requests == 1);
    }
    SUBCASE("and both attempts end") {
        SUBCASE("at the deadline, with 504") {
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->status == 504);
        }
        SUBCASE("when the caller disconnects") {
            it.under_test.on_connection_closed(7);
            CHECK_FALSE(it.answer);
        }
        CHECK(it.under_test.requests_in_flight() == 0);
        CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
        it.run_until([&] { return it.upstream.closed == 1; });
    }
}

// Guards against a lookup whose gate is lost for good and that waits for it until its limit, as one attempt
// past the gate was rejected.
TEST_CASE("a lookup at a silent gate is sent past it again after a rejection, until its target latency") {
    int n = 0;
    harness it([&](const http_request& request) {
        return ++n < 3 ? rejection(request, 503) : signed_answer(request);
    });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);
    it.start("/safe/1");
    gates.callbacks.front()({routed_end::silent, {}, {}, {}});
    it.run_until([&] { return it.answer.has_value(); });
    CHECK(it.answer->status == 200);
    CHECK(n == 3);
    CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
}

// Guards against a 503, which promises that a request has not run, for one that ran before its gate refused
// it.
TEST_CASE("a request that its gate refuses is answered as not run only when it has not run elsewhere") {
    bool runs = true;
    harness it([&](const http_request& request) {
        if (!runs) {
            return rejection(request, 503);
        }
        auto answer = signed_answer(request);
        answer.status = 500;
        return answer;
    });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);
    int status = 503;
    SUBCASE("it may have run past its silent gate") {
        status = 502;
    }
    SUBCASE("it was rejected past its silent gate") {
        runs = false;
    }
    SUBCASE("it reached no upstream past its silent gate") {
        it.configure(true, 4, kingcupseam::test::free_port());
    }
    it.start("/safe/1");
    gates.callbacks.front()({routed_end::silent, {}, {}, {}});
    const time_point begun = steady_now();
    it.run_until([&] { return steady_now() - begun >= milliseconds(100); });
    CHECK_FALSE(it.answer);
    gates.callbacks.front()(gates_own_answer(503));
    it.run_until([&] { return it.answer.has_value(); });
    CHECK(it.answer->status == status);
}

// Guards against a 503 for a request that may have run at its gate, as it was rejected elsewhere.
TEST_CASE("a request that its gate gave up is not answered as not run when it is rejected elsewhere") {
    int n = 0;
    harness it([&](const http_request& request) {
        return n++ == 0 ? std::nullopt : std::optional(rejection(request, 503));
    });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);
    it.start("/safe/1");
    gates.callbacks.front()({routed_end::silent, {}, {}, {}});
    it.run_until([&] { return n == 1; });
    gates.callbacks.front()(gates_own_answer(504));
    it.upstream.answer_held([](const http_request& request) { return rejection(request, 503); });
    it.run_until([&] { return it.answer.has_value(); });
    CHECK(it.answer->status == 502);
}

} // namespace kingcupseam::platform::test
