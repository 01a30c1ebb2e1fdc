#include "router/stop_schedule.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that is accepted and sent to its upstream between the last look at a stopping
// entry and its end, which cuts it.
TEST_CASE("a stopping entry ends only after it has refused requests since an earlier look") {
    stop_schedule it(seconds(10));
    CHECK(it.next(milliseconds(0), true) == stop_step::serve);
    SUBCASE("it serves while load balancers may still send to it") {
        CHECK(it.next(milliseconds(2600), true) == stop_step::serve);
        CHECK(it.next(milliseconds(2650), false) == stop_step::serve);
    }
    SUBCASE("when it is idle it first refuses, and ends at the next look") {
        CHECK(it.next(milliseconds(2650), true) == stop_step::refuse);
        SUBCASE("if it is still idle then") {
            CHECK(it.next(milliseconds(2700), true) == stop_step::end);
        }
        SUBCASE("and goes on to refuse while it is not") {
            CHECK(it.next(milliseconds(2700), false) == stop_step::refuse);
            CHECK(it.next(milliseconds(2750), true) == stop_step::end);
        }
    }
    SUBCASE("it refuses from 250 ms before half of the grace period on") {
        CHECK(it.next(milliseconds(4750), false) == stop_step::serve);
        CHECK(it.next(milliseconds(4751), false) == stop_step::refuse);
        CHECK(it.next(milliseconds(4800), true) == stop_step::end);
    }
    SUBCASE("it ends before the kill signal although requests are in flight, which have ended by then") {
        CHECK(it.next(milliseconds(9500), false) == stop_step::refuse);
        CHECK(it.next(milliseconds(9501), false) == stop_step::end);
        CHECK(it.last_deadline() == milliseconds(9400));
    }
}

// Guards against an end before load balancers have noticed it.
TEST_CASE("a stopping entry with a short grace period refuses before it may end") {
    stop_schedule it(seconds(2));
    CHECK(it.next(milliseconds(800), true) == stop_step::refuse);
    CHECK(it.next(milliseconds(1450), true) == stop_step::refuse);
    CHECK(it.next(milliseconds(1501), true) == stop_step::end);
}

} // namespace kingcupseam::router
