#include "router/upstream_queue.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;

constexpr duration service_time = milliseconds(100);

/// Sends whenever the window allows, for 10 s from @p start; each answer reports @p load.
int count_sends(upstream_queue& target, const reported_load& load, time_point start) {
    int n = 0;
    for (time_point now = start; now < start + std::chrono::seconds(10); now += milliseconds(5)) {
        if (target.can_send(now)) {
            target.on_sent(now);
            target.on_answered(service_time, load, now);
            ++n;
        }
    }
    return n;
}

} // namespace

TEST_CASE("the queue of a shared upstream adapts its window to the reported load") {
    upstream_queue target({{"u", 1}, "s", "d", {"127.0.0.1", 1}, 2, false, false}, upstream_use::shared);
    const time_point now{std::chrono::seconds(1)};

    SUBCASE("the window starts at the number of slots") {
        target.on_sent(now);
        CHECK(target.can_send(now));
        target.on_sent(now);
        CHECK_FALSE(target.can_send(now));
    }

    // Guards against ten entries that each keep a request at an upstream with two slots: all requests are
    // late then.
    SUBCASE("with more requests waiting there than slots, it sends less than one request per service time") {
        // Two slots serve 200 requests of 100 ms in 10 s: 20 for each of ten entries.
        CHECK(count_sends(target, {2, 8, 2}, now) <= 20);
        SUBCASE("and recovers when the upstream's queue is short") {
            CHECK(count_sends(target, {1, 0, 2}, now + std::chrono::seconds(10)) > 500);
        }
    }

    // Guards against shrinking the window of an upstream that is faulty but not full: a sixth of all requests
    // was refused when upstreams were faulty.
    SUBCASE("a refusal does not shrink the window while the upstream reports room") {
        for (int i = 0; i < 20; ++i) {
            target.on_sent(now);
            target.on_shed(reported_load{1, 0, 2}, now);
        }
        target.on_sent(now);
        CHECK(target.can_send(now));
    }

    SUBCASE("a refusal by a full upstream shrinks the window") {
        for (int i = 0; i < 3; ++i) {
            target.on_sent(now);
            target.on_shed(reported_load{2, 8, 2}, now);
        }
        target.on_sent(now);
        CHECK_FALSE(target.can_send(now + milliseconds(50)));
    }

    SUBCASE("the lower priority number is sent first, then the earlier request") {
        const time_point in_time_until = now + service_time * 2;
        target.push(2, 1, in_time_until);
        target.push(0, 2, in_time_until);
        target.push(0, 3, in_time_until);
        CHECK(target.pop(now) == 2);
        CHECK(target.pop(now) == 3);
        CHECK(target.remove_waiting(2, 1));
        CHECK_FALSE(target.pop(now));
    }

    SUBCASE("a request that is late already waits for those that can be in time") {
        target.push(0, 1, now + service_time / 2);
        target.push(0, 2, now + service_time * 2);
        target.push(1, 3, now + service_time * 2);
        CHECK(target.pop(now) == 2);
        CHECK(target.pop(now) == 3);
        CHECK(target.pop(now) == 1);
        CHECK_FALSE(target.pop(now));
    }

    SUBCASE("the expected time covers the work in flight and the requests that go first") {
        CHECK(target.expected_time_if_queued(0, now) == service_time);
        target.on_sent(now);
        target.on_sent(now);
        CHECK(target.expected_time_if_queued(0, now) == service_time * 3 / 2);
        target.push(0, 1, now + service_time * 2);
        target.push(0, 2, now + service_time / 2); // late: others go first
        target.push(1, 3, now + service_time * 2);
        CHECK(target.expected_time_if_queued(0, now) == service_time * 2);
        CHECK(target.expected_time_if_queued(1, now) == service_time * 5 / 2);
    }

    SUBCASE("an upstream is ejected for a while after two failures in a row") {
        target.on_sent(now);
        target.on_failed(now);
        CHECK(target.can_send(now));
        target.on_sent(now);
        target.on_failed(now);
        CHECK_FALSE(target.can_send(now + milliseconds(100)));
        CHECK(target.can_send_at(now) == now + milliseconds(200));
        CHECK(target.can_send(now + milliseconds(201)));
    }
}

// Guards against a gate that leaves slots idle, or that fills the upstream's own queue, where priority has no
// effect.
TEST_CASE("a gate has as many requests in flight as the upstream has slots") {
    upstream_queue target({{"u", 1}, "s", "d", {"127.0.0.1", 1}, 2, false, false}, upstream_use::exclusive);
    const time_point now{std::chrono::seconds(1)};
    target.on_sent(now);
    CHECK(target.can_send(now));
    target.on_sent(now);
    CHECK_FALSE(target.can_send(now));

    SUBCASE("also after answers that report an idle upstream") {
        for (int i = 0; i < 50; ++i) {
            target.on_answered(service_time, reported_load{0, 0, 2}, now);
            target.on_sent(now);
        }
        CHECK_FALSE(target.can_send(now));
    }
    // Guards against urgent callers who are told to return after others.
    SUBCASE("and under a limit tells refused callers to return one after the other, urgent ones first") {
        target.set_max_rate(10, 0, now);
        const duration excess = milliseconds(300);
        CHECK(target.reserve_return(1, excess, now) == excess);
        CHECK(target.reserve_return(1, excess, now) == excess + milliseconds(100));
        CHECK(target.reserve_return(2, excess, now) == excess + milliseconds(200));
        CHECK(target.reserve_return(0, excess, now) == excess);
    }
    SUBCASE("also after answers that report a full queue") {
        for (int i = 0; i < 50; ++i) {
            target.on_answered(service_time, reported_load{2, 8, 2}, now);
            target.on_sent(now);
        }
        target.on_answered(service_time, reported_load{2, 8, 2}, now);
        CHECK(target.can_send(now));
    }
    SUBCASE("and pauses briefly when the upstream refuses a request as full") {
        target.on_shed(reported_load{2, 8, 2}, now);
        CHECK_FALSE(target.can_send(now));
        CHECK(target.can_send(now + milliseconds(50)));
    }
}

} // namespace kingcupseam::router
