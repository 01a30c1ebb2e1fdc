#include "platform/single_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

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
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
    }
}

} // namespace kingcupseam::platform::test
