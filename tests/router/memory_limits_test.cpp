#include "router/memory_limits.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

// Guards against a bound that does not follow the machine: small ones ran out of memory.
TEST_CASE("unfinished answers take up a part of the machine's memory") {
    constexpr std::size_t megabyte = 1'000'000;
    SUBCASE("an eighth of a small machine") {
        CHECK(max_unfinished_answers(160) == 20 * megabyte);
    }
    SUBCASE("enough for ordinary answers on a tiny one") {
        CHECK(max_unfinished_answers(1) == 4 * megabyte);
    }
    SUBCASE("no more than one of the longest answers on a large one") {
        CHECK(max_unfinished_answers(100'000) == std::size_t{32} * 1024 * 1024);
    }
    SUBCASE("by default the kernel's figure counts") {
        CHECK(max_unfinished_answers(0) >= 4 * megabyte);
    }
}

// Guards against a bound that does not follow the machine: bodies took more than it had.
TEST_CASE("long request bodies take up a part of the machine's memory") {
    constexpr std::size_t megabyte = 1'000'000;
    SUBCASE("a sixteenth") {
        CHECK(max_long_bodies(160) == 10 * megabyte);
        CHECK(max_long_bodies(16'000) == 1000 * megabyte);
    }
    SUBCASE("some on a tiny one") {
        CHECK(max_long_bodies(1) == 4 * megabyte);
    }
    SUBCASE("by default the kernel's figure counts") {
        CHECK(max_long_bodies(0) >= 4 * megabyte);
    }
}

} // namespace kingcupseam::router
