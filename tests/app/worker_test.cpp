#include "app/worker.h"

#include <kingcupseam/lifecycle.h>
#include <kingcupseam/types.h>

#include <doctest/doctest.h>

#include <atomic>
#include <cerrno>
#include <stdexcept>
#include <string>
#include <thread>

namespace kingcupseam::app {

// Destroying a std::thread that has not been joined ends the program, so an exception that destroys the owner
// of a running worker must stop and join its thread.
TEST_CASE("a worker that is destroyed while it runs joins its thread") {
    metrics::registry registry;
    handler_failures failures(registry);
    const auto fail = [&] {
        worker it("test", failures);
        it.start();
        throw std::runtime_error("disk");
    };
    CHECK_THROWS_AS(fail(), std::runtime_error);
}

// Guards against a process that ends because one handler failed.
TEST_CASE("a worker goes on after a handler that fails, and counts it") {
    metrics::registry registry;
    handler_failures failures(registry);
    worker it("test", failures);
    std::atomic<int> handled{0};
    it.start();
    for (int n = 0; n < 3; ++n) {
        asio::post(it.io, [&] {
            ++handled;
            throw std::invalid_argument("a number");
        });
    }
    asio::post(it.io, [&] { ++handled; });
    const time_point end = steady_now() + std::chrono::seconds(5);
    while (handled < 4 && steady_now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    it.stop();
    CHECK(handled == 4);
    CHECK(registry.prometheus_text().find("handler_failures_total 3") != std::string::npos);
}

// Guards against going on with a log whose content on the disk is not known, or with a part of the committed
// entries.
TEST_CASE("an exception that leaves the state unknown ends the event loop") {
    metrics::registry registry;
    handler_failures failures(registry);
    asio::io_context io;
    bool went_on = false;
    SUBCASE("of the disk") {
        asio::post(io, [] { throw io_error("log", "fsync", EIO); });
        asio::post(io, [&] { went_on = true; });
        CHECK_THROWS_AS(run_handlers(io, "test", failures), io_error);
    }
    SUBCASE("of a step that must be whole") {
        asio::post(io,
                   [] { lifecycle::run_or_end_process("group", [] { throw std::out_of_range("entry"); }); });
        asio::post(io, [&] { went_on = true; });
        CHECK_THROWS_WITH_AS(run_handlers(io, "test", failures), "group: entry",
                             lifecycle::unrecoverable_error);
    }
    SUBCASE("a request to stop during a wait passes through such a step") {
        asio::post(io, [] {
            lifecycle::run_or_end_process("group", [] { throw lifecycle::stop_requested_error("disk"); });
        });
        asio::post(io, [&] { went_on = true; });
        CHECK_THROWS_AS(run_handlers(io, "test", failures), lifecycle::stop_requested_error);
    }
    CHECK_FALSE(went_on);
    CHECK(registry.prometheus_text().find("handler_failures_total 0") != std::string::npos);
}

} // namespace kingcupseam::app
