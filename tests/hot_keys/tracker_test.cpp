#include <doctest/doctest.h>

#include <kingcupseam/hot_keys.h>

#include <random>

using namespace kingcupseam;
using namespace kingcupseam::hot_keys;
using namespace std::chrono_literals;

namespace {

/// Sends requests for a while: a share of them to one hot key, the rest spread over many keys.
time_point send(tracker& tracked, const std::string& hot, double rate, double hot_share, duration length,
                time_point start) {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> chance(0, 1);
    const auto step = duration(static_cast<std::int64_t>(1e6 / rate));
    time_point now = start;
    for (; now < start + length; now += step) {
        const bool is_hot = chance(random) < hot_share;
        tracked.record("registry", is_hot ? hot : "raft-" + std::to_string(random() % 100000), now);
    }
    return now;
}

} // namespace

TEST_CASE("the tracker finds hot keys among many in bounded memory") {
    tracker tracked({});
    const time_point start = time_point{} + 1h;

    SUBCASE("a key with a tenth of the load is reported with about its rate") {
        const auto now = send(tracked, "port-1", 1000, 0.1, 10s, start);
        const auto found = tracked.hottest(now);
        REQUIRE(found.size() == 1);
        CHECK(found[0].key == "port-1");
        CHECK(found[0].requests_per_second > 75);
        CHECK(found[0].requests_per_second < 125);
        CHECK(tracked.size() <= options{}.capacity);

        SUBCASE("and when another key becomes hot, the report follows within seconds") {
            const auto later = send(tracked, "port-2", 1000, 0.1, 10s, now);
            const auto next = tracked.hottest(later);
            REQUIRE(next.size() == 1);
            CHECK(next[0].key == "port-2");
        }
        SUBCASE("and nothing is hot after the load ends") {
            CHECK(tracked.hottest(now + 60s).empty());
        }
    }
    SUBCASE("an even load has no hot key, so nothing is moved without need") {
        const auto now = send(tracked, "", 2000, 0, 5s, start);
        CHECK(tracked.hottest(now).empty());
    }
    SUBCASE("a key of a quiet service is not hot, however large its share") {
        const auto now = send(tracked, "port-1", 4, 1, 10s, start);
        CHECK(tracked.hottest(now).empty());
    }
}
