#include "router/link_delay.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against deadlines that end before their time because the clocks of two instances differ, and against
// deadlines that begin anew on each link.
TEST_CASE("the delay of a message is measured against the fastest one of its connection") {
    link_delay receiver;
    const time_point sender_start(minutes(3));
    const time_point receiver_start(minutes(900));
    const auto receive = [&](duration sent_after, duration on_link) {
        return receiver.add(link_delay::stamp(sender_start + sent_after),
                            receiver_start + sent_after + on_link);
    };
    CHECK(receive(seconds(0), milliseconds(40)) == duration::zero());

    SUBCASE("a faster one sets the reference") {
        CHECK(receive(seconds(1), milliseconds(4)) == duration::zero());
        const duration excess = receive(seconds(2), milliseconds(404));
        CHECK(excess <= milliseconds(400));
        CHECK(excess >= milliseconds(399));
    }
    SUBCASE("a slow first one lets later delays seem shorter, never longer") {
        CHECK(receive(seconds(1), milliseconds(140)) <= milliseconds(100));
    }
    SUBCASE("stamps that begin again at zero change nothing") {
        CHECK(receive(minutes(17), milliseconds(340)) <= milliseconds(300));
        CHECK(receive(minutes(18), milliseconds(1840)) >= milliseconds(1200));
        CHECK(receive(minutes(18), milliseconds(1840)) <= milliseconds(1800));
    }
    SUBCASE("a clock that runs slow by 400 parts per million delays nothing") {
        for (int n = 1; n <= 60; ++n) {
            const duration drift = minutes(n) / 2500;
            CHECK(receive(minutes(n), milliseconds(40) + drift) == duration::zero());
        }
    }
}

} // namespace kingcupseam::router
