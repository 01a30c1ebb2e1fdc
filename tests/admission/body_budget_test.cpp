#include <kingcupseam/admission.h>

#include <doctest/doctest.h>

namespace kingcupseam::admission {

namespace {

using ids = std::vector<body_budget::body_id>;
using std::chrono::milliseconds;

constexpr std::size_t budget_bytes = 1000;
constexpr std::size_t min_progress = 10;

} // namespace

TEST_CASE("long bodies share a number of bytes") {
    const time_point now{};
    body_budget budget({budget_bytes, milliseconds(1000), min_progress, 5});
    const auto first = budget.add(600);
    const auto second = budget.add(300);

    SUBCASE("all are received while bytes are left") {
        CHECK(budget.may_receive(first, now));
        CHECK(budget.may_receive(second, now));
        CHECK(budget.used() == 900);
    }

    SUBCASE("when none are left") {
        budget.grow(second, 200);
        CHECK(budget.used() == 1100);

        // Guards against bodies that all wait for each other.
        SUBCASE("the oldest goes on and the others wait") {
            CHECK(budget.may_receive(first, now));
            CHECK_FALSE(budget.may_receive(second, now));
            CHECK(budget.waiting() == 1);
            CHECK(budget.take_resumable().empty());

            SUBCASE("until it has ended") {
                budget.complete(first);
                CHECK(budget.take_resumable().empty()); // it is kept until it is answered
                budget.remove(first);
                CHECK(budget.used() == 500);
                CHECK(budget.take_resumable() == ids{second});
                CHECK(budget.take_resumable().empty());
                CHECK(budget.waiting() == 0);
            }
            SUBCASE("or they have waited too long") {
                CHECK(budget.find_expired(now + milliseconds(999)) == body_budget::expired{});
                CHECK(budget.find_expired(now + milliseconds(1000)) == body_budget::expired{{second}, {}});
                budget.remove(second);
                CHECK(budget.used() == 600);
                CHECK(budget.waiting() == 0);
            }
            // Guards against a caller that stops in the middle of its body and blocks all others.
            SUBCASE("or it is received too slowly") {
                for (int n = 0; n < 4; ++n) {
                    budget.grow(first, 1);
                    CHECK(budget.find_expired(now) == body_budget::expired{});
                }
                CHECK(budget.find_expired(now) == body_budget::expired{{}, {first}});
            }
            SUBCASE("a body that is received in time is not slow") {
                for (int n = 0; n < 20; ++n) {
                    budget.grow(first, min_progress);
                    CHECK(budget.find_expired(now) == body_budget::expired{});
                }
            }
            SUBCASE("a body that waits for its upstream is not slow") {
                budget.complete(first);
                for (int n = 0; n < 20; ++n) {
                    CHECK(budget.find_expired(now) == body_budget::expired{});
                }
            }
        }
    }

    // Guards against a slow caller that is cut off although nobody needs its bytes.
    SUBCASE("a slow body is left alone while no other waits") {
        for (int n = 0; n < 20; ++n) {
            CHECK(budget.find_expired(now) == body_budget::expired{});
        }
    }

    // Guards against bytes that are given back twice.
    SUBCASE("a body that was removed is unknown") {
        budget.remove(first);
        budget.remove(first);
        CHECK(budget.used() == 300);
    }

    SUBCASE("those that waited go on oldest first") {
        const auto third = budget.add(100);
        CHECK_FALSE(budget.may_receive(third, now));
        CHECK_FALSE(budget.may_receive(second, now));
        budget.remove(first);
        CHECK(budget.take_resumable() == ids{second, third});
    }
}

} // namespace kingcupseam::admission
