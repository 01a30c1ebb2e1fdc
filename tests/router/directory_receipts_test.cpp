#include "router/directory_receipts.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

// Guards against an entry that serves by an outdated directory without anybody noticing.
TEST_CASE("entries that lack a change for too long are listed") {
    using std::chrono::seconds;
    directory_receipts receipts;
    const time_point start = steady_now();
    receipts.on_change(10, start);
    receipts.on_report("a", 10, start);
    receipts.on_report("b", 10, start);
    receipts.on_change(11, start + seconds(1));
    receipts.on_change(12, start + seconds(4));
    CHECK(receipts.overdue(seconds(1), start + seconds(2)).empty());

    SUBCASE("since the first one that they lack") {
        receipts.on_report("a", 12, start + seconds(4));
        const auto listed = receipts.overdue(seconds(1), start + seconds(5));
        REQUIRE(listed.size() == 1);
        CHECK(listed.front() == entry_lag{"b", 10, seconds(4)});
    }
    SUBCASE("until they report a newer one") {
        receipts.on_report("a", 12, start + seconds(5));
        receipts.on_report("b", 11, start + seconds(5));
        CHECK(receipts.overdue(seconds(1), start + seconds(5)).empty());
        CHECK(receipts.overdue(seconds(1), start + seconds(6)).size() == 1);
    }
    SUBCASE("also when the change is old") {
        receipts.on_change(13, start + seconds(500));
        CHECK(receipts.overdue(seconds(1), start + seconds(900)).size() == 2);
    }
    SUBCASE("but not those that have left") {
        receipts.forget("a");
        receipts.forget("b");
        CHECK(receipts.overdue(seconds(1), start + seconds(9)).empty());
    }
}

} // namespace kingcupseam::router
