#include "router/crash_watch.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

namespace {

constexpr request_digest poison = 7;
constexpr request_digest bystander = 8;
const time_point start{std::chrono::seconds(100)};

directory::upstream upstream_of(const char* id, std::int64_t started_ms, std::uint16_t port) {
    return {{id, started_ms}, "s", "d", {"127.0.0.1", port}, 2, false, false};
}

} // namespace

TEST_CASE("a broken request counts as a crash only when its upstream is followed by a later life") {
    const auto target = upstream_of("u", 1000, 80);
    directory::snapshot state;
    state.upstreams["u"] = target;
    broken_requests broken;
    broken.add(poison, target, start);
    CHECK(broken.take_crashed(state, start).empty());

    SUBCASE("under its id") {
        state.upstreams["u"] = upstream_of("u", 2000, 80);
        CHECK(broken.take_crashed(state, start) ==
              std::vector<crashed_request>{{poison, target.incarnation}});
        CHECK(broken.take_crashed(state, start).empty());
    }
    SUBCASE("at its address") {
        state.upstreams.clear();
        state.upstreams["v"] = upstream_of("v", 2000, 80);
        CHECK(broken.take_crashed(state, start).size() == 1);
    }
    SUBCASE("not when it only leaves") {
        state.upstreams.clear();
        CHECK(broken.take_crashed(state, start).empty());
    }
    SUBCASE("not when the later life comes long afterwards") {
        state.upstreams["u"] = upstream_of("u", 2000, 80);
        CHECK(broken.take_crashed(state, start + std::chrono::minutes(1)).empty());
    }
}

// Guards against a request that crashes one upstream after the other while its caller sends it again.
TEST_CASE("a request that ends upstreams is refused after the third") {
    crash_watch watch;
    CHECK_FALSE(watch.on_crash({poison, {"a", 1}}, start));
    CHECK(watch.list() == std::vector<watched_request>{{poison, false}});

    SUBCASE("two reports of one crash count once") {
        CHECK_FALSE(watch.on_crash({poison, {"a", 1}}, start));
        CHECK_FALSE(watch.on_crash({poison, {"a", 1}}, start));
        CHECK_FALSE(watch.list().front().refused);
    }
    SUBCASE("three upstreams") {
        CHECK_FALSE(watch.on_crash({poison, {"b", 1}}, start));
        CHECK(watch.on_crash({poison, {"a", 2}}, start));
        CHECK(watch.list().front().refused);
        watch.on_survived(poison); // an answer to an attempt that was sent before
        CHECK(watch.list().front().refused);
    }
    // Guards against the refusal of a popular request, one of which is always at work when upstreams end.
    SUBCASE("an answer in between shows that it was at work by chance") {
        CHECK_FALSE(watch.on_crash({poison, {"b", 1}}, start));
        watch.on_survived(poison);
        CHECK_FALSE(watch.on_crash({poison, {"c", 1}}, start));
        CHECK_FALSE(watch.list().front().refused);
    }
    SUBCASE("after a while it gets another try") {
        watch.expire(start + std::chrono::minutes(11));
        CHECK(watch.list().empty());
    }
    SUBCASE("the record is bounded") {
        for (request_digest digest = 100; digest < 1000; ++digest) {
            watch.on_crash({digest, {"a", 1}}, start + std::chrono::seconds(1));
        }
        CHECK(watch.list().size() == crash_watch_options{}.max_requests);
    }
}

TEST_CASE("an entry follows the leader's record") {
    watched_requests watched;
    CHECK(watched.empty());
    watched.update({{poison, true}, {bystander, false}}, start);
    CHECK(watched.refuses(poison, start));
    CHECK_FALSE(watched.refuses(bystander, start));
    CHECK(watched.reports(bystander));
    CHECK_FALSE(watched.reports(poison));

    SUBCASE("what is not watched any more is forgotten") {
        watched.update({{poison, true}}, start);
        CHECK_FALSE(watched.reports(bystander));
    }
    SUBCASE("a new leader that knows nothing yet does not lift a refusal") {
        watched.update({}, start);
        CHECK(watched.refuses(poison, start));
        watched.update({}, start + std::chrono::minutes(11));
        CHECK_FALSE(watched.refuses(poison, start + std::chrono::minutes(11)));
    }
}

} // namespace kingcupseam::router
