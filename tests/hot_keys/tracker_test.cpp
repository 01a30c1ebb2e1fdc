#include <doctest/doctest.h>

#include <kingcupseam/hot_keys.h>

#include <random>

using namespace kingcupseam;
using namespace kingcupseam::hot_keys;
using namespace std::chrono_literals;

namespace {

/// Records requests for @p length: @p hot_share of them for one key, the others spread over many keys.
time_point record_requests(tracker& keys, const std::string& hot, double rate, double hot_share,
                           duration length, time_point start) {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto step = duration(static_cast<std::int64_t>(1e6 / rate));
    time_point now = start;
    for (; now < start + length; now += step) {
        const bool is_hot = uniform(random) < hot_share;
        keys.record("registry", is_hot ? hot : "raft-" + std::to_string(random() % 100000), now);
    }
    return now;
}

} // namespace

// Guards against a hot key that stays with its overloaded owner because it is not reported, and against moves
// of keys that are not hot.
TEST_CASE("the tracker finds hot keys among many in bounded memory") {
    tracker keys({});
    const time_point start = time_point{} + 1h;

    SUBCASE("a key with a tenth of the load is reported with about its rate") {
        const auto now = record_requests(keys, "port-1", 1000, 0.1, 10s, start);
        const auto found = keys.hottest(now);
        REQUIRE(found.size() == 1);
        CHECK(found[0].key == "port-1");
        CHECK(found[0].requests_per_second > 75);
        CHECK(found[0].requests_per_second < 125);
        CHECK(keys.size() <= options{}.capacity);

        SUBCASE("another key that becomes hot is reported within seconds") {
            const auto later = record_requests(keys, "port-2", 1000, 0.1, 10s, now);
            const auto next = keys.hottest(later);
            REQUIRE(next.size() == 1);
            CHECK(next[0].key == "port-2");
        }
        SUBCASE("no key is hot after the load has ended") {
            CHECK(keys.hottest(now + 60s).empty());
        }
    }
    SUBCASE("an even load has no hot key") {
        const auto now = record_requests(keys, "", 2000, 0, 5s, start);
        CHECK(keys.hottest(now).empty());
    }
    SUBCASE("a key of a quiet service is not hot, however large its share") {
        const auto now = record_requests(keys, "port-1", 4, 1, 10s, start);
        CHECK(keys.hottest(now).empty());
    }
}
