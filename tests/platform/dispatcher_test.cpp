#include "dispatcher_harness.h"

namespace kingcupseam::platform::test {

TEST_CASE("a request is answered by an upstream of its route") {
    harness it([](const http_request& request) { return signed_answer(request); });

    SUBCASE("before a configuration is known the answer is 503 with Retry-After, not 404") {
        const auto answer = it.send("/safe/1");
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.header("Retry-After").empty());
    }

    SUBCASE("with the upstream's body and signature") {
        it.configure();
        const auto answer = it.send("/safe/1");
        CHECK(answer.status == 200);
        CHECK(answer.body == "body");
        CHECK(answer.header("X-Response-Signature") == "sig");
    }

    SUBCASE("a request without a route gets 404 and reaches no upstream") {
        it.configure();
        CHECK(it.send("/other/1").status == 404);
        CHECK(it.upstream.requests == 0);
    }

    // Guards against configured limits that are not enforced.
    SUBCASE("a request that exceeds the configured limits reaches no upstream") {
        directory::caller_limits limits;
        limits.max_header_bytes = 200;
        limits.max_body_bytes = 10;
        it.configure(limits);
        CHECK(it.send("/safe/1").status == 200);
        CHECK(it.send("/safe/" + std::string(200, 'x')).status == 431);
        CHECK(it.send("/safe/1", std::string(10, 'x')).status == 200);
        CHECK(it.send("/safe/1", std::string(11, 'x')).status == 413);
        CHECK(it.upstream.requests == 2);
    }

    // Guards against an entry that accepts requests until it exits: a request that arrived 5 s after the stop
    // signal was interrupted.
    SUBCASE("a stopping entry closes connections and then refuses requests") {
        it.configure();
        it.under_test.start_draining(steady_now() + std::chrono::seconds(5));
        CHECK(it.send("/safe/1").close);
        it.under_test.refuse_new_requests();
        const auto answer = it.send("/safe/1");
        CHECK(answer.status == 503);
        CHECK(answer.close);
        CHECK(it.upstream.requests == 1);
    }
}

// Guards against passing on an answer that did not come from the upstream, or was changed on the way.
TEST_CASE("a request whose answer is not authentic") {
    // The first answer lacks the upstream's signature.
    int n = 0;
    harness it([&](const http_request& request) {
        auto answer = signed_answer(request);
        if (n++ == 0) {
            answer.headers.pop_back();
        }
        return answer;
    });
    it.configure();
    SUBCASE("is retried when it is idempotent") {
        CHECK(it.send("/safe/1").status == 200);
        CHECK(it.upstream.requests == 2);
    }
    SUBCASE("fails with 502 and without a retry when it may run only once") {
        CHECK(it.send("/unsafe/1").status == 502);
        CHECK(it.upstream.requests == 1);
    }
}

// Guards against slots wasted on requests that cannot end in time, and against refusals that come only at the
// caller's deadline.
TEST_CASE("a queued request is refused when it cannot be served in time any more") {
    harness it([](const http_request&) { return std::nullopt; });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true, 1);
    it.start("/safe/1");
    std::optional<http_response> second;
    const time_point begun = steady_now();
    it.start("/unsafe/2", milliseconds(300), second);
    it.run_until([&] { return second.has_value(); });
    CHECK(second->status == 503);
    CHECK_FALSE(second->header("Retry-After").empty());
    CHECK(steady_now() - begun < milliseconds(280));
    CHECK(it.upstream.requests == 1);
}

// Guards against a 503 for a request that may have run: it was refused as not run when a slot became free
// with less than 15 ms left, although its first attempt may have run.
TEST_CASE("a request that may have run is not answered as not run") {
    int n = 0;
    harness it([&](const http_request& request) -> std::optional<http_response> {
        if (request.target == "/safe/held") {
            return std::nullopt;
        }
        if (n++ == 0) {
            return http_response{200, {{"X-Request-Id", "id-1"}}, "spoilt", false};
        }
        return http_response{503, {{"X-Request-Id", "id-1"}, {"X-Not-Executed", "1"}}, {}, false};
    });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true, 1);
    const time_point begun = steady_now();
    std::optional<http_response> first;
    std::optional<http_response> held;
    it.start("/safe/1", milliseconds(390), first);
    it.run_until([&] { return n == 2; });
    // This request holds the only slot until just before the deadline of the first one.
    it.start("/safe/held", milliseconds(382) - (steady_now() - begun), held);
    it.run_until([&] { return first.has_value(); });
    CHECK(n == 2);
    CHECK(first->status != 503);
}

// Guards against telling a caller that a request has not run although it may have run.
TEST_CASE("503 is returned only when the upstream states that the request did not run") {
    SUBCASE("the upstream states it") {
        harness it([](const http_request&) {
            return http_response{503, {{"X-Not-Executed", "1"}}, {}, false};
        });
        it.configure();
        CHECK(it.send("/unsafe/1").status == 503);
    }
    SUBCASE("the upstream does not state it") {
        harness it([](const http_request&) { return http_response{503, {}, {}, false}; });
        it.configure();
        CHECK(it.send("/unsafe/1").status == 502);
        CHECK(it.upstream.requests == 1);
    }
}

// Guards against a 503 for a lookup that ran: its first answer was a 500, and its repetition was rejected.
TEST_CASE("a request that an upstream ran with an error is not answered as not run") {
    int n = 0;
    harness it([&](const http_request&) {
        return n++ == 0 ? http_response{500, {{"X-Request-Id", "id-1"}}, "ran", false}
                        : http_response{421, {{"X-Request-Id", "id-1"}, {"X-Not-Executed", "1"}}, {}, false};
    });
    it.configure();
    CHECK(it.send("/safe/1").status == 502);
    CHECK(n > 1);
}

// Guards against requests without an end, and against work at the upstream for a caller that has left.
TEST_CASE("a request that its upstream does not answer") {
    harness it([](const http_request&) { return std::nullopt; });
    it.configure();
    SUBCASE("ends with 504 at the caller's deadline") {
        const time_point begun = steady_now();
        CHECK(it.send("/unsafe/1").status == 504);
        CHECK(steady_now() - begun >= milliseconds(900));
    }
    SUBCASE("is cancelled at the upstream when the caller disconnects") {
        it.start("/safe/1");
        it.run_until([&] { return it.upstream.requests == 1; });
        it.under_test.on_connection_closed(7);
        CHECK(it.under_test.requests_in_flight() == 0);
        it.run_until([&] { return it.upstream.closed == 1; });
        CHECK_FALSE(it.answer);
    }
}

// Guards against requests that are lost or run twice between an entry and the gate of an upstream.
TEST_CASE("a request whose upstream has another entry as its gate") {
    harness it([](const http_request& request) { return signed_answer(request); });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    it.configure(true);

    SUBCASE("is forwarded with its remaining time") {
        it.start("/safe/1");
        REQUIRE(gates.forwarded.size() == 1);
        CHECK(it.upstream.requests == 0);
        CHECK(gates.forwarded.front().request.key == 5);
        CHECK(gates.forwarded.front().time_left <= milliseconds(1000));
        CHECK(gates.forwarded.front().target_time_left <= milliseconds(400));
        SUBCASE("and gets the gate's answer") {
            gates.callbacks.front()(
                {router::routed_end::answered, {200, {{"X-Response-Signature", "g"}}, "b", false}, {}});
            REQUIRE(it.answer);
            CHECK(it.answer->status == 200);
            CHECK(it.answer->header("X-Response-Signature") == "g");
        }
        SUBCASE("is sent by this entry when the gate does not accept it") {
            gates.callbacks.front()({router::routed_end::not_accepted, {}});
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->status == 200);
            CHECK(it.upstream.requests == 1);
            CHECK(gates.forwarded.size() == 1);
        }
        SUBCASE("is retried by this entry when the gate is lost and it is idempotent") {
            gates.callbacks.front()({router::routed_end::lost, {}});
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->status == 200);
            CHECK(it.upstream.requests == 1);
        }
        SUBCASE("is sent by this entry when the gate is silent and another attempt is allowed") {
            gates.callbacks.front()({router::routed_end::silent, {}});
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->status == 200);
            CHECK(it.upstream.requests == 1);
            CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
        }
        SUBCASE("is withdrawn at the gate when the caller disconnects") {
            it.under_test.on_connection_closed(7);
            CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
            CHECK(it.under_test.requests_in_flight() == 0);
        }
        SUBCASE("ends with 504 when the gate does not answer") {
            it.run_until([&] { return it.answer.has_value(); });
            CHECK(it.answer->status == 504);
            CHECK(gates.withdrawn == std::vector<std::uint64_t>{1});
        }
    }
    // Guards against a 502 for a lookup at which its upstream is at work, because its gate is slow for a
    // moment.
    SUBCASE("waits for a silent gate when no other attempt is allowed") {
        it.start("/once/1");
        REQUIRE(gates.forwarded.size() == 1);
        gates.callbacks.front()({router::routed_end::silent, {}});
        CHECK_FALSE(it.answer);
        CHECK(gates.withdrawn.empty());
        gates.callbacks.front()({router::routed_end::answered, signed_answer({}), {}});
        REQUIRE(it.answer);
        CHECK(it.answer->status == 200);
    }
    SUBCASE("waits for a silent gate when its upstream cannot be sent to now") {
        it.start("/safe/1");
        REQUIRE(gates.forwarded.size() == 1);
        SUBCASE("because its key has no owner") {
            it.configure_without_owner();
        }
        SUBCASE("because too little time is left") {
            const time_point begun = steady_now();
            it.run_until([&] { return steady_now() - begun >= milliseconds(960); });
        }
        gates.callbacks.front()({router::routed_end::silent, {}});
        CHECK_FALSE(it.answer);
        CHECK(gates.withdrawn.empty());
        gates.callbacks.front()({router::routed_end::answered, signed_answer({}), {}});
        REQUIRE(it.answer);
        CHECK(it.answer->status == 200);
    }
    // Guards against answers that come too late on a slow link: the gate admitted requests up to the target
    // latency of the caller, and refused others only when the entry had already given up with 504.
    SUBCASE("is given all of its time, and the part that the gate's own answer needs for its way") {
        constexpr duration link_time = milliseconds(100);
        for (int n = 1; n <= 20; ++n) {
            it.start("/safe/1");
            const time_point begun = steady_now();
            it.run_until([&] { return steady_now() - begun >= link_time; });
            gates.callbacks.back()({router::routed_end::answered, signed_answer({}), duration::zero()});
        }
        it.start("/safe/1");
        CHECK(gates.forwarded.back().time_left <= milliseconds(1000));
        CHECK(gates.forwarded.back().time_left >= milliseconds(950));
        CHECK(gates.forwarded.back().answer_time >= link_time);
        CHECK(gates.forwarded.back().answer_time <= milliseconds(500));
        CHECK(gates.forwarded.back().target_time_left <= milliseconds(400) - link_time);
        // The link does not give it up before this entry does.
        CHECK(gates.limits.back() > milliseconds(1000));
    }
    // Guards against sending a negative time to the gate: it closes the link as malformed, and all requests
    // on that link are lost.
    SUBCASE("is forwarded with times in range after a gate claimed to have taken longer than it did") {
        it.start("/safe/1");
        gates.callbacks.back()({router::routed_end::answered, signed_answer({}), milliseconds(500)});
        it.start("/safe/1");
        CHECK(gates.forwarded.back().answer_time >= duration::zero());
        CHECK(gates.forwarded.back().target_time_left <= milliseconds(400));
    }
    SUBCASE("is not forwarded when no time is left") {
        std::optional<http_response> late;
        it.start("/safe/1", milliseconds(0), late);
        it.run_until([&] { return late.has_value(); });
        CHECK(late->status == 503);
        CHECK(gates.forwarded.empty());
        CHECK(it.upstream.requests == 0);
    }
    SUBCASE("fails without a retry when the gate is lost and it may run only once") {
        it.start("/unsafe/1");
        REQUIRE(gates.forwarded.size() == 1);
        gates.callbacks.front()({router::routed_end::lost, {}});
        REQUIRE(it.answer);
        CHECK(it.answer->status == 502);
        CHECK(it.upstream.requests == 0);
    }
    SUBCASE("is sent by this entry when it is the gate") {
        gates.gate.clear();
        CHECK(it.send("/safe/1").status == 200);
        CHECK(gates.forwarded.empty());
    }
}

// Guards against a gate that accepts requests it cannot serve, forwards them in a loop, or continues with
// withdrawn ones.
TEST_CASE("a request that another entry forwarded") {
    harness it([](const http_request& request) {
        return request.target == "/held" ? std::nullopt : std::optional(signed_answer(request));
    });
    fake_gates gates;
    it.under_test.set_gates(&gates);
    router::routed_request request;
    request.request.id = "id-1";
    request.request.method = "GET";
    request.request.target = "/safe/1";
    request.request.host = "h";
    request.request.key = 5;
    request.request.headers = {{"Host", "h"}, {"X-Request-Id", "id-1"}};
    request.service = "s";
    request.time_left = milliseconds(800);
    request.target_time_left = milliseconds(300);
    constexpr std::uint64_t link = 1000;
    directory::upstream_incarnation answered_by;
    const auto handle_routed_request = [&] {
        return it.under_test.handle_routed(
            request, link, 3, [&](http_response answer, const directory::upstream_incarnation& by) {
                it.answer = std::move(answer);
                answered_by = by;
            });
    };

    SUBCASE("is not accepted before a configuration is known") {
        CHECK_FALSE(handle_routed_request());
    }
    SUBCASE("is not accepted by a stopping entry") {
        it.configure(true);
        it.under_test.refuse_new_requests();
        CHECK_FALSE(handle_routed_request());
    }
    // Guards against a 504 for a request at which its upstream is at work, because its gate stops.
    SUBCASE("is accepted by a stopping entry only when it ends before that") {
        it.configure(true);
        gates.gate.clear();
        it.under_test.start_draining(steady_now() + milliseconds(700));
        CHECK_FALSE(handle_routed_request());
        request.time_left = milliseconds(600);
        CHECK(handle_routed_request());
    }
    // Guards against requests that stay queued at the former gate after their key has moved.
    SUBCASE("is forwarded once more when the key's upstream has another gate") {
        it.configure(true);
        CHECK(handle_routed_request());
        REQUIRE(gates.forwarded.size() == 1);
        CHECK(gates.forwarded.front().hops == 2);
    }
    SUBCASE("keeps its whole time when it is forwarded once more, and the way of the answer adds up") {
        it.configure(true);
        it.start("/safe/1");
        const time_point begun = steady_now();
        it.run_until([&] { return steady_now() - begun >= milliseconds(50); });
        gates.callbacks.back()({router::routed_end::answered, signed_answer({}), duration::zero()});
        request.answer_time = milliseconds(200);
        CHECK(handle_routed_request());
        REQUIRE(gates.forwarded.size() == 2);
        CHECK(gates.forwarded.back().time_left >= milliseconds(780));
        CHECK(gates.forwarded.back().answer_time >= milliseconds(250));
        CHECK(gates.forwarded.back().answer_time <= milliseconds(400));
    }
    SUBCASE("is always sent to the upstream by the second gate") {
        it.configure(true);
        request.hops = 2;
        CHECK(handle_routed_request());
        it.run_until([&] { return it.answer.has_value(); });
        CHECK(it.answer->status == 200);
        CHECK(answered_by == directory::upstream_incarnation{"u", 1});
        CHECK(gates.forwarded.empty());
    }
    // Guards against a refusal that reaches the entry only after it has given up with 504.
    SUBCASE("is refused in time for the way of the answer when it waits too long for a slot") {
        it.configure(true, 1);
        gates.gate.clear();
        request.request.target = "/held";
        CHECK(handle_routed_request());
        request.request.target = "/safe/1";
        request.answer_time = milliseconds(500);
        const time_point begun = steady_now();
        CHECK(handle_routed_request());
        CHECK_FALSE(it.answer);
        it.run_until([&] { return it.answer.has_value(); });
        CHECK(it.answer->status == 503);
        CHECK(steady_now() - begun <= request.time_left - request.answer_time);
        CHECK(it.upstream.requests == 1);
    }
    SUBCASE("is withdrawn at the upstream") {
        it.configure(true);
        gates.gate.clear();
        request.request.target = "/held";
        CHECK(handle_routed_request());
        it.run_until([&] { return it.upstream.requests == 1; });
        SUBCASE("when its caller disconnects") {
            it.under_test.withdraw_routed(link, 3);
        }
        SUBCASE("when the entry that forwarded it is lost") {
            it.under_test.on_connection_closed(link);
        }
        CHECK(it.under_test.requests_in_flight() == 0);
        it.run_until([&] { return it.upstream.closed == 1; });
    }
}

// Guards against a 504 for a request at which its upstream is at work, long before the caller's limit.
TEST_CASE("a request that runs at its gate keeps its caller's time after slow answers on the link") {
    constexpr duration slow_answer = milliseconds(300);
    constexpr duration service_time = milliseconds(700);
    std::optional<router::routed_request> forwarded;
    {
        harness entry([](const http_request& request) { return signed_answer(request); });
        fake_gates gates;
        entry.under_test.set_gates(&gates);
        entry.configure(true);
        entry.start("/unsafe/1");
        const time_point begun = steady_now();
        entry.run_until([&] { return steady_now() - begun >= slow_answer; });
        gates.callbacks.back()({router::routed_end::answered, signed_answer({}), duration::zero()});
        entry.start("/unsafe/1");
        forwarded = gates.forwarded.back();
    }
    std::string deadline_at_upstream;
    harness gate([&](const http_request& request) {
        deadline_at_upstream = request.header("X-Deadline-Ms");
        return std::nullopt;
    });
    fake_gates gates;
    gates.gate.clear();
    gate.under_test.set_gates(&gates);
    gate.configure(true);
    gate.under_test.handle_routed(*forwarded, 1000, 3,
                                  [&](http_response answer, const directory::upstream_incarnation&) {
                                      gate.answer = std::move(answer);
                                  });
    gate.run_until([&] { return gate.upstream.requests == 1; });
    CHECK(std::stoi(deadline_at_upstream) >= 950);
    const time_point begun = steady_now();
    gate.run_until([&] { return gate.answer || steady_now() - begun >= service_time; });
    gate.upstream.answer_held(signed_answer);
    gate.run_until([&] { return gate.answer.has_value(); });
    CHECK(gate.answer->status == 200);
}

// Guards against results of attempts that are counted for another incarnation under the same id (review case
// 1 has the same cause): the callers of an upstream that has just started again were refused.
TEST_CASE(
    "an attempt that ends after its upstream has started again says nothing about the new incarnation") {
    std::function<void()> restart;
    harness it([&](const http_request& request) -> std::optional<http_response> {
        restart();
        return signed_answer(request);
    });
    restart = [&] { it.configure(true, 4, harness::first_port, 2); };
    it.configure(true);
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    router::routed_request request;
    request.request.id = "id-1";
    request.request.method = "GET";
    request.request.target = "/safe/1";
    request.request.host = "h";
    request.request.key = 5;
    request.request.headers = {{"Host", "h"}, {"X-Request-Id", "id-1"}};
    request.service = "s";
    request.time_left = milliseconds(800);
    request.target_time_left = milliseconds(300);
    directory::upstream_incarnation answered_by;
    REQUIRE(it.under_test.handle_routed(request, 1000, 3,
                                        [&](http_response answer, const directory::upstream_incarnation& by) {
                                            it.answer = std::move(answer);
                                            answered_by = by;
                                        }));
    it.run_until([&] { return it.answer.has_value(); });
    CHECK(answered_by == directory::upstream_incarnation{"u", 1});
    CHECK(it.under_test.take_report().upstreams.empty());
}

} // namespace kingcupseam::platform::test
