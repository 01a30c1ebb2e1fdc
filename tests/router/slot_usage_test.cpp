#include "router/slot_usage.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupseam::router {

using std::chrono::milliseconds;

// Guards against late answers whose cause no log shows: full queues, slow links and slots that work for
// callers who are late or have left look alike to the caller.
TEST_CASE("the log of slot usage tells what slots worked for and where requests waited") {
    slot_usage usage;
    const time_point start = steady_now();
    CHECK_FALSE(usage.take(2, 0, start));
    usage.on_sent(milliseconds(300));
    usage.on_ended(slot_result::in_time, milliseconds(100));
    usage.on_forwarded(milliseconds(40));

    SUBCASE("nothing is written while every request is answered in time") {
        CHECK_FALSE(usage.take(2, 0, start + milliseconds(2000)));
    }
    SUBCASE("late, lost and refused requests are written, and counted once") {
        usage.on_sent(milliseconds(500));
        usage.on_ended(slot_result::late, milliseconds(200));
        usage.on_ended(slot_result::lost, milliseconds(50));
        usage.on_refused();
        CHECK(usage.take(2, 7, start + milliseconds(2000)) ==
              "slots=2 period_ms=2000 in_time_ms=100 late_ms=200 lost_ms=50 sent=2 refused=1 waiting=7 "
              "mean_wait_ms=400 forwarded=1 mean_link_ms=40");
        CHECK_FALSE(usage.take(2, 7, start + milliseconds(4000)));
    }
}

} // namespace kingcupseam::router
