#include <doctest/doctest.h>

#include <kingcupseam/admission.h>

using namespace kingcupseam;
using namespace kingcupseam::admission;
using namespace std::chrono_literals;
using health = upstream_health::status;
using status = poison_request_list::status;

namespace {
const time_point start{100s};
} // namespace

// Guards against retries that multiply the load of a failing upstream.
TEST_CASE("retries are a bounded fraction of first attempts") {
    retry_budget tested({0.1, 2, 5ms, 100ms, 3}, 1);
    SUBCASE("a failing upstream does not multiply the load") {
        int allowed = 0;
        for (int n = 0; n < 1000; ++n) {
            tested.on_first_attempt(start + 1ms * n);
            allowed += tested.try_retry(1, start + 1h, start + 1ms * n).has_value() ? 1 : 0;
        }
        CHECK(allowed >= 95);
        CHECK(allowed <= 102);
    }
    SUBCASE("a service with few requests may retry, but cannot accumulate the minimum") {
        int allowed = 0;
        for (int n = 0; n < 50; ++n) {
            allowed += tested.try_retry(1, start + 1h, start).has_value() ? 1 : 0;
        }
        CHECK(allowed == 2);
        CHECK(tested.try_retry(1, start + 1h, start + 1s));
    }
    SUBCASE("first attempts older than the window give no budget") {
        for (int n = 0; n < 1000; ++n) {
            tested.on_first_attempt(start);
        }
        int allowed = 0;
        for (int n = 0; n < 100; ++n) {
            allowed += tested.try_retry(1, start + 1h, start + 11s).has_value() ? 1 : 0;
        }
        CHECK(allowed == 2);
    }
    SUBCASE("attempts and deadline are limits, and the backoff grows with jitter") {
        CHECK_FALSE(tested.try_retry(3, start + 1h, start));
        CHECK_FALSE(tested.try_retry(1, start + 1ms, start));
        const auto first = tested.try_retry(1, start + 1h, start);
        const auto second = tested.try_retry(2, start + 1h, start);
        REQUIRE(first);
        REQUIRE(second);
        CHECK(*first >= 2ms);
        CHECK(*first <= 5ms);
        CHECK(*second >= 5ms);
        CHECK(*second <= 10ms);
    }
}

// Guards against a request that crashes one upstream after another, and against refusing other requests that
// were in flight with it.
TEST_CASE("a request that crashes upstreams is refused after two crashes") {
    poison_request_list tested(2, 10min, 4);
    SUBCASE("a request that ran alone is suspected after one crash and refused after two") {
        CHECK(tested.on_crash({"a"}, start).at(0).crashes == 1);
        CHECK(tested.status_of("a", start) == status::suspected);
        tested.on_crash({"a"}, start + 1s);
        CHECK(tested.status_of("a", start + 1s) == status::refused);
        CHECK(tested.status_of("a", start + 11min) == status::clear);
    }
    SUBCASE("crashes with several requests in flight make them suspected, and a crash of one of them alone "
            "refuses it") {
        tested.on_crash({"a", "b"}, start);
        tested.on_crash({"a", "b"}, start);
        tested.on_crash({"a", "b"}, start);
        CHECK(tested.status_of("b", start) == status::suspected);
        tested.on_crash({"a"}, start);
        CHECK(tested.status_of("a", start) == status::refused);
        CHECK(tested.on_survived("b", start)->survived);
        CHECK(tested.status_of("b", start) == status::clear);
    }
    SUBCASE("a run without a crash does not reset the crash count") {
        tested.on_crash({"a"}, start);
        tested.on_survived("a", start);
        CHECK(tested.status_of("a", start) == status::clear);
        tested.on_crash({"a"}, start);
        CHECK(tested.status_of("a", start) == status::refused);
        CHECK_FALSE(tested.on_survived("a", start));
    }
    SUBCASE("a crash is attributed to the only suspected request, the others are not refused") {
        tested.on_crash({"a", "b"}, start);
        tested.on_crash({"a", "c"}, start);
        CHECK(tested.status_of("a", start) == status::refused);
        CHECK(tested.status_of("c", start) == status::suspected);
    }
    SUBCASE("merging records of other instances is commutative and idempotent") {
        poison_request_list other(2, 10min, 4);
        const auto first = tested.on_crash({"a"}, start).at(0);
        const auto cleared = *tested.on_survived("a", start);
        other.merge(cleared, start);
        other.merge(first, start);
        CHECK(other.status_of("a", start) == status::clear);
        const auto second = tested.on_crash({"a"}, start).at(0);
        other.merge(second, start);
        other.merge(cleared, start);
        CHECK(other.status_of("a", start) == status::refused);
    }
    SUBCASE("a full list drops the record with the fewest crashes and keeps refused requests") {
        tested.on_crash({"bad"}, start);
        tested.on_crash({"bad"}, start);
        for (int n = 0; n < 10; ++n) {
            tested.on_crash({"x" + std::to_string(n)}, start + 1s * n);
        }
        CHECK(tested.status_of("bad", start + 10s) == status::refused);
        CHECK(tested.status_of("x9", start + 10s) == status::suspected);
        CHECK(tested.status_of("x0", start + 10s) == status::clear);
    }
}

// Guards against sending requests to a frozen or dead upstream, and against an upstream that keeps its
// traffic by reporting a low load.
TEST_CASE("health follows outcomes, and reports only lower it") {
    upstream_health tested({}, start);
    const time_point warm = start + 10s;
    SUBCASE("a cold upstream ramps up") {
        CHECK(tested.slot_fraction(start) < 0.3);
        CHECK(tested.slot_fraction(start + 2500ms) > 0.5);
        CHECK(tested.slot_fraction(warm) == doctest::Approx(1));
    }
    SUBCASE("a low reported load does not keep a failing upstream in service") {
        for (int n = 0; n < 2; ++n) {
            tested.on_connect_refused(warm);
            tested.on_reported_load(0, 6, warm);
        }
        CHECK(tested.current(warm) == health::dead);
        CHECK(tested.slot_fraction(warm) == 0);
    }
    SUBCASE("bad reports alone slow an upstream down but do not stop it, and they expire") {
        tested.on_reported_load(5000, 0, warm);
        tested.on_reported_unhealthy(warm);
        CHECK(tested.current(warm) == health::degraded);
        CHECK(tested.slot_fraction(warm) >= 0.5);
        CHECK(tested.current(warm + 3s) == health::healthy);
    }
    SUBCASE("a probe on a new connection distinguishes a lost connection from a frozen upstream") {
        CHECK_FALSE(tested.probe_due(warm, warm + 100ms));
        tested.on_answer(5ms, warm + 240ms);
        CHECK(tested.probe_due(warm, warm + 250ms));
        tested.on_probe_sent(warm + 250ms);
        CHECK_FALSE(tested.probe_due(warm, warm + 260ms));
        SUBCASE("answered: the old connection counts as lost") {
            tested.on_probe_answered(warm + 260ms);
            CHECK(tested.current(warm + 261ms) == health::silent_connection);
            CHECK(tested.slot_fraction(warm + 261ms) > 0.5);
            CHECK_FALSE(tested.probe_due(warm, warm + 270ms));
            CHECK(tested.probe_due(warm, warm + 600ms));
        }
        SUBCASE("not answered: the upstream counts as frozen within 1 s and ramps up when it returns") {
            CHECK(tested.current(warm + 600ms) == health::frozen);
            CHECK(tested.slot_fraction(warm + 600ms) == 0);
            tested.on_reported_load(0, 6, warm + 600ms);
            CHECK(tested.current(warm + 600ms) == health::frozen);
            tested.on_answer(5ms, warm + 5s);
            CHECK(tested.current(warm + 5s) != health::frozen);
            CHECK(tested.slot_fraction(warm + 5s) < 0.3);
        }
        SUBCASE(
            "a late answer on an old connection while the probe is pending shows the upstream as healthy") {
            tested.on_answer(300ms, warm + 300ms);
            CHECK(tested.current(warm + 700ms) == health::healthy);
        }
    }
    SUBCASE("failures lower the fraction and answers restore it") {
        for (int n = 0; n < 20; ++n) {
            tested.on_timeout(warm);
        }
        CHECK(tested.current(warm) == health::degraded);
        CHECK(tested.slot_fraction(warm) == doctest::Approx(0.1));
        for (int n = 0; n < 60; ++n) {
            tested.on_answer(5ms, warm);
        }
        CHECK(tested.slot_fraction(warm) > 0.9);
        CHECK(tested.current(warm) == health::healthy);
    }
}
