#include "router/peer_clock.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that are refused as late although they are not.
TEST_CASE("the estimate of another clock is behind it by the shortest transit time") {
    peer_clock clock;
    const duration ahead = seconds(5000);
    const time_point start{seconds(100)};
    const auto receive = [&](time_point sent, duration transit) { clock.add(sent + ahead, sent + transit); };
    CHECK_FALSE(clock.at(start));
    receive(start, milliseconds(40));
    CHECK(*clock.at(start + seconds(1)) == start + seconds(1) + ahead - milliseconds(40));

    SUBCASE("a message that was held up does not make it worse") {
        receive(start + seconds(1), milliseconds(3000));
        CHECK(*clock.at(start) == start + ahead - milliseconds(40));
    }
    SUBCASE("a quicker message makes it better at once") {
        receive(start + seconds(1), milliseconds(2));
        CHECK(*clock.at(start) == start + ahead - milliseconds(2));
    }
    SUBCASE("it follows a clock that falls behind within a minute") {
        for (int n = 1; n <= 62; ++n) {
            clock.add(start + ahead - seconds(1) + seconds(n), start + seconds(n));
        }
        CHECK(*clock.at(start) == start + ahead - seconds(1));
    }
}

} // namespace kingcupseam::router
