#include "router/seed_watcher.h"

#include <doctest/doctest.h>

#include <csignal>
#include <stdexcept>

namespace kingcupseam::router {

// Guards against a process that never reads its settings again because one attempt failed.
TEST_CASE("settings are read again after an attempt that failed") {
    asio::io_context context;
    int reads = 0;
    const seed_watcher it(
        context,
        [&]() -> process_settings {
            ++reads;
            throw std::length_error("settings");
        },
        [](const auto&) {});
    const auto read_with_failure = [&](duration limit) {
        try {
            context.restart();
            context.run_for(limit);
        } catch (const std::length_error&) {
            return true;
        }
        return false;
    };
    SUBCASE("by signals") {
        for (int n = 1; n <= 3; ++n) {
            std::raise(SIGHUP);
            CHECK(read_with_failure(std::chrono::milliseconds(500)));
            CHECK(reads == n);
        }
    }
    SUBCASE("by the timer") {
        CHECK(read_with_failure(std::chrono::seconds(4)));
        CHECK(read_with_failure(std::chrono::seconds(4)));
        CHECK(reads == 2);
    }
}

} // namespace kingcupseam::router
