#include "router/limit_codec.h"
#include "router/upstream_limits.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against limits that are lost on their way to a new leader or entry, or kept after their upstream has
// gone.
TEST_CASE("the newest statement about a limit holds until it expires") {
    const directory::upstream_incarnation upstream{"u", 1};
    const time_point now = steady_now();
    upstream_limits limits;

    SUBCASE("an upstream that never had a limit is not recorded") {
        CHECK_FALSE(limits.add({upstream, std::nullopt, {}}, now));
        CHECK(limits.take_new(now).empty());
    }
    SUBCASE("a statement counts for its incarnation, until it expires") {
        CHECK(limits.add({upstream, 7.5, {}}, now));
        CHECK_FALSE(limits.add({upstream, 7.5, {}}, now + seconds(1)));
        CHECK(limits.limit_of(upstream, now + seconds(10)) == 7.5);
        CHECK_FALSE(limits.limit_of({"u", 2}, now));
        CHECK_FALSE(limits.limit_of(upstream, now + seconds(12)));
        CHECK(limits.list(now + seconds(12)).empty());
    }
    SUBCASE("each statement is taken once, with its age") {
        limits.add({upstream, 7.5, {}}, now);
        CHECK(limits.take_new(now + milliseconds(300)) ==
              std::vector<limit_statement>{{upstream, 7.5, milliseconds(300)}});
        CHECK(limits.take_new(now + milliseconds(600)).empty());
        limits.add({upstream, std::nullopt, {}}, now + milliseconds(700));
        CHECK(limits.take_new(now + milliseconds(700)) ==
              std::vector<limit_statement>{{upstream, std::nullopt, {}}});
    }
    SUBCASE("an older statement of another entry changes nothing") {
        limits.add({upstream, std::nullopt, {}}, now);
        limits.add({upstream, 7.5, {}}, now);
        limits.add({upstream, std::nullopt, {}}, now + seconds(1));
        CHECK_FALSE(limits.add({upstream, 7.5, milliseconds(1500)}, now + seconds(2)));
        CHECK_FALSE(limits.limit_of(upstream, now + seconds(2)));
    }
    SUBCASE("the leader's list counts where no statement was heard") {
        limits.set_listed({{upstream, 5.0, {}}});
        CHECK(limits.limit_of(upstream, now) == 5.0);
        CHECK(limits.add({upstream, std::nullopt, {}}, now));
        CHECK_FALSE(limits.limit_of(upstream, now));
        limits.set_listed({});
        CHECK_FALSE(limits.limit_of(upstream, now + seconds(12)));
    }
    SUBCASE("statements between instances keep their values; those out of range are dropped") {
        const std::vector<limit_statement> statements{{upstream, 7.5, milliseconds(20)},
                                                      {{"v", 2}, std::nullopt, milliseconds(0)}};
        CHECK(from_wire(to_wire(statements)) == statements);
        CHECK(from_wire(to_wire({{upstream, -1.0, {}}})).empty());
        CHECK(from_wire(to_wire({{upstream, 1.0, milliseconds(-1)}})).empty());
    }
}

} // namespace kingcupseam::router
