#include "router/poison_requests.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

namespace {

constexpr request_digest poison = 7;
constexpr request_digest unrelated = 8;
const time_point start{std::chrono::seconds(100)};

directory::upstream upstream_of(const char* id, std::int64_t started_ms, std::uint16_t port) {
    return {{id, started_ms}, "s", "d", {"127.0.0.1", port}, 2, false, false};
}

} // namespace

TEST_CASE("an interrupted request counts as a crash only when a later incarnation of the upstream appears") {
    const auto target = upstream_of("u", 1000, 80);
    directory::snapshot state;
    state.upstreams["u"] = target;
    interrupted_requests interrupted;
    interrupted.add(poison, target, start);
    CHECK(interrupted.take_crashes(state, start).empty());

    SUBCASE("under its id") {
        state.upstreams["u"] = upstream_of("u", 2000, 80);
        CHECK(interrupted.take_crashes(state, start) ==
              std::vector<crash_report>{{poison, target.incarnation}});
        CHECK(interrupted.take_crashes(state, start).empty());
    }
    SUBCASE("at its address") {
        state.upstreams.clear();
        state.upstreams["v"] = upstream_of("v", 2000, 80);
        CHECK(interrupted.take_crashes(state, start).size() == 1);
    }
    SUBCASE("not when the upstream only disappears") {
        state.upstreams.clear();
        CHECK(interrupted.take_crashes(state, start).empty());
    }
    SUBCASE("not when the later incarnation appears long afterwards") {
        state.upstreams["u"] = upstream_of("u", 2000, 80);
        CHECK(interrupted.take_crashes(state, start + std::chrono::minutes(1)).empty());
    }
}

// Guards against a poison request that crashes one upstream after another while its caller retries it.
TEST_CASE("a poison request is refused after the third crashed upstream") {
    poison_request_detector detector;
    CHECK_FALSE(detector.on_crash({poison, {"a", 1}}, start));
    CHECK(detector.list() == std::vector<poison_request>{{poison, false}});

    SUBCASE("two reports of one crash count once") {
        CHECK_FALSE(detector.on_crash({poison, {"a", 1}}, start));
        CHECK_FALSE(detector.on_crash({poison, {"a", 1}}, start));
        CHECK_FALSE(detector.list().front().refused);
    }
    SUBCASE("three crashed upstreams cause a refusal that a late answer does not lift") {
        CHECK_FALSE(detector.on_crash({poison, {"b", 1}}, start));
        CHECK(detector.on_crash({poison, {"a", 2}}, start));
        CHECK(detector.list().front().refused);
        detector.on_answered(poison); // an answer to an earlier attempt
        CHECK(detector.list().front().refused);
    }
    // Guards against refusing a frequent request that is in flight in every crash by chance.
    SUBCASE("an answer between crashes clears the request") {
        CHECK_FALSE(detector.on_crash({poison, {"b", 1}}, start));
        detector.on_answered(poison);
        CHECK_FALSE(detector.on_crash({poison, {"c", 1}}, start));
        CHECK_FALSE(detector.list().front().refused);
    }
    SUBCASE("the request is allowed again after the retention time") {
        detector.expire(start + std::chrono::minutes(11));
        CHECK(detector.list().empty());
    }
    SUBCASE("the number of records is bounded") {
        for (request_digest digest = 100; digest < 1000; ++digest) {
            detector.on_crash({digest, {"a", 1}}, start + std::chrono::seconds(1));
        }
        CHECK(detector.list().size() == poison_request_options{}.max_records);
    }
}

TEST_CASE("an entry follows the leader's list of poison requests") {
    known_poison_requests known;
    CHECK(known.empty());
    known.update({{poison, true}, {unrelated, false}}, start);
    CHECK(known.is_refused(poison, start));
    CHECK_FALSE(known.is_refused(unrelated, start));
    CHECK(known.needs_answer_report(unrelated));
    CHECK_FALSE(known.needs_answer_report(poison));

    SUBCASE("a request that is not listed any more is forgotten") {
        known.update({{poison, true}}, start);
        CHECK_FALSE(known.needs_answer_report(unrelated));
    }
    SUBCASE("a new leader with an empty list does not lift a refusal at once") {
        known.update({}, start);
        CHECK(known.is_refused(poison, start));
        known.update({}, start + std::chrono::minutes(11));
        CHECK_FALSE(known.is_refused(poison, start + std::chrono::minutes(11)));
    }
}

} // namespace kingcupseam::router
