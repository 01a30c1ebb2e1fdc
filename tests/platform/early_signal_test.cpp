#include "platform/single_process.h"

#include <csignal>
#include <filesystem>

namespace kingcupseam::platform::test {

namespace {

// A busy machine may not run this test in the short time in which the signals are held.
constexpr int max_starts = 50;

/// Value of a signal set in /proc/PID/status.
std::uint64_t signal_set(const child_process& process, const std::string& name) {
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size()), nullptr, 16);
        }
    }
    return 0;
}

bool contains(std::uint64_t signals, int number) {
    return (signals >> (number - 1) & 1U) != 0;
}

/// False while the child is still a copy of the test.
bool executes(const child_process& process) {
    std::error_code ec;
    return std::filesystem::read_symlink("/proc/" + std::to_string(process.pid()) + "/exe", ec) ==
           std::filesystem::canonical(KINGCUPSEAM_BINARY);
}

/// Starts the process and sends the signal before its handler is installed.
bool signal_during_start(single_process& it, int number) {
    for (int n = 0; n < max_starts; ++n) {
        it.start();
        for (const time_point end = steady_now() + std::chrono::seconds(2); steady_now() < end;) {
            if (!executes(it.process())) {
                continue;
            }
            if (contains(signal_set(it.process(), "SigCgt:"), number)) {
                break;
            }
            if (contains(signal_set(it.process(), "SigBlk:"), number)) {
                it.process().signal(number);
                return true;
            }
        }
        it.process().kill();
    }
    return false;
}

} // namespace

// Guards against signals that end a process by their default action, since no handler is installed yet.
TEST_CASE("a process that is still starting handles a signal once it runs") {
    SUBCASE("to read its settings again") {
        for (const std::string role : {"entry", "control"}) {
            CAPTURE(role);
            single_process it(role);
            REQUIRE(signal_during_start(it, SIGHUP));
            CHECK(it.logs("settings reload requested"));
            CHECK(it.process().running());
        }
    }
    SUBCASE("to stop, with success") {
        for (const std::string role : {"entry", "control"}) {
            CAPTURE(role);
            single_process it(role);
            REQUIRE(signal_during_start(it, SIGTERM));
            CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
            CHECK(it.logs("process ended code=0"));
        }
    }
}

} // namespace kingcupseam::platform::test
