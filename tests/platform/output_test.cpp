#include "platform/single_process.h"
#include "support/unread_pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace kingcupseam::platform::test {

// Guards against a write that ends the process: standard output may be a pipe whose reader has ended.
TEST_CASE("a process whose output has no reader any more goes on") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        int ends[2] = {};
        REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
        single_process it(role);
        it.start({.output = ends[1]});
        ::close(ends[1]);
        char first = 0;
        REQUIRE(::read(ends[0], &first, 1) == 1);
        ::close(ends[0]);
        ::usleep(200'000);
        it.process().signal(SIGHUP);
        CHECK_FALSE(it.process().wait(milliseconds(300)));
        const answer metrics =
            http_caller().send("GET", it.ip() + ":" + std::to_string(it.metrics_port), "/");
        CHECK(metrics.status == 200);
        CHECK(metrics.body.find("log_lines_dropped") != std::string::npos);
        CHECK(metrics.body.find("log_lines_dropped 0") == std::string::npos);
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
    }
}

// Guards against a log thread that waits for a reader forever: the process served, but ran on after SIGTERM.
TEST_CASE("a process whose output nobody reads serves and ends within its grace period") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        const unread_pipe output;
        output.fill();
        child_surroundings surroundings;
        surroundings.output = output.write_end();
        single_process it(role);
        it.start(surroundings);
        http_caller caller;
        const auto serves = [&] {
            const auto answers = [&](std::uint16_t port) {
                return caller.send("GET", it.ip() + ":" + std::to_string(port), "/").status != 0;
            };
            return answers(it.metrics_port) &&
                   answers(role == "entry" ? it.readiness_port : it.operator_port);
        };
        REQUIRE(process_cluster::wait_until(serves, std::chrono::seconds(5)));
        for (int n = 0; n < 100; ++n) {
            it.process().signal(SIGHUP);
            ::usleep(1000);
        }
        CHECK(serves());
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
    }
}

// Guards against a log thread that is stuck in write(): a terminal reports room for a line, but takes a part.
TEST_CASE("a process whose terminal nobody reads ends within its grace period") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        const int terminal = ::posix_openpt(O_RDWR | O_NOCTTY | O_CLOEXEC);
        REQUIRE(terminal >= 0);
        REQUIRE(::unlockpt(terminal) == 0);
        std::array<char, 64> name{};
        REQUIRE(::ptsname_r(terminal, name.data(), name.size()) == 0);
        child_surroundings surroundings;
        surroundings.output = ::open(name.data(), O_RDWR | O_NOCTTY | O_CLOEXEC);
        REQUIRE(surroundings.output >= 0);
        single_process it(role);
        it.start(surroundings);
        http_caller caller;
        const auto serves = [&] {
            return caller.send("GET", it.ip() + ":" + std::to_string(it.metrics_port), "/").status == 200;
        };
        REQUIRE(process_cluster::wait_until(serves, std::chrono::seconds(5)));
        for (int n = 0; n < 500; ++n) {
            it.process().signal(SIGHUP);
            ::usleep(1000);
        }
        CHECK(serves());
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
        ::close(surroundings.output);
        ::close(terminal);
    }
}

// Guards against an error message on standard error, the same unread pipe, that keeps the process from
// ending.
TEST_CASE("a process that can't start ends although nobody reads its output") {
    for (const std::string role : {"entry", "control", "serve"}) {
        CAPTURE(role);
        const unread_pipe output;
        output.fill();
        child_surroundings surroundings;
        surroundings.output = output.write_end();
        child_process it({role, "--config", "/nonexistent/settings.toml"}, {}, surroundings);
        const auto code = it.wait(std::chrono::seconds(3));
        REQUIRE(code);
        CHECK(*code > 0);
    }
}

// Guards against log lines that are written into a socket or an event descriptor.
TEST_CASE("a process that starts without standard streams does not use their descriptors for others") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        single_process it(role);
        it.start({.streams_closed = true});
        const std::string folder = "/proc/" + std::to_string(it.process().pid()) + "/fd/";
        const auto target = [&](int number) {
            std::error_code ec;
            return std::filesystem::read_symlink(folder + std::to_string(number), ec).string();
        };
        const time_point end = steady_now() + std::chrono::seconds(5);
        while (target(3).empty() && steady_now() < end) {
            ::usleep(2000);
        }
        for (const int number : {0, 1, 2}) {
            CHECK(target(number) == "/dev/null");
        }
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
    }
}

} // namespace kingcupseam::platform::test
