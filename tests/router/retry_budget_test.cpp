#include "router/retry_budget.h"

#include <doctest/doctest.h>

namespace kingcupseam::router {

// Guards against retry storms: retries are limited to a ratio of the requests plus a slack, in any window and
// over all entries together.
TEST_CASE("all entries together stay within the retry budget") {
    constexpr int entries = 10;
    constexpr int requests = 200;
    const retry_budget_options settings{0.2, 60, std::chrono::seconds(10)};
    const time_point start{std::chrono::seconds(100)};
    int retries = 0;
    for (int entry = 0; entry < entries; ++entry) {
        retry_budget budget(settings);
        for (int i = 0; i < requests; ++i) {
            const time_point now = start + std::chrono::milliseconds(40) * i;
            budget.on_first_send(now);
            while (budget.try_retry(entries, now)) {
                ++retries;
            }
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= settings.ratio * requests * entries + settings.slack);
}

TEST_CASE("an entry without requests has its share of the slack in each window") {
    retry_budget budget({0.2, 60, std::chrono::seconds(10)});
    const time_point now{std::chrono::seconds(100)};
    int retries = 0;
    while (budget.try_retry(10, now)) {
        ++retries;
    }
    CHECK(retries <= 6);
    CHECK_FALSE(budget.try_retry(10, now + std::chrono::seconds(10)));
    CHECK(budget.try_retry(10, now + std::chrono::milliseconds(10'001)));
}

} // namespace kingcupseam::router
