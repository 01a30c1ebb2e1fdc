#include "router/rate_limit.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests from @p begin to @p end of senders that send whenever they may.
int count_sends(std::vector<rate_limit>& senders, time_point begin, time_point end) {
    int n = 0;
    for (time_point now = begin; now < end; now += milliseconds(5)) {
        for (auto& it : senders) {
            if (it.next_send(now) <= now) {
                it.on_sent(now);
                ++n;
            }
        }
    }
    return n;
}

} // namespace

// Guards against many entries that each send a request at once when they learn of a limit, or a least rate
// each: 85 entries sent 17 requests/s to an upstream that accepts 5.
TEST_CASE("senders that share a limit keep to it together") {
    constexpr int entries = 85;
    constexpr double limit = 5;
    std::minstd_rand random(1);
    std::uniform_real_distribution<> phases;
    const time_point start{seconds(100)};
    std::vector<rate_limit> senders;
    senders.reserve(entries);
    for (int i = 0; i < entries; ++i) {
        senders.emplace_back(limit / entries, phases(random), start);
    }
    for (int window = 0; window < 10; ++window) {
        const time_point begin = start + seconds(4) * window;
        CHECK(count_sends(senders, begin, begin + seconds(4)) <= 1.5 * limit * 4 + 5);
    }
}

TEST_CASE("a sender makes up for a short time without requests only") {
    const time_point start{seconds(100)};
    std::vector<rate_limit> sender{rate_limit(10, 0, start)};
    CHECK(count_sends(sender, start, start + seconds(4)) <= 41);
    CHECK(count_sends(sender, start + seconds(60), start + seconds(61)) <= 13);
}

} // namespace kingcupseam::router
