#include "platform/single_process.h"

#include <csignal>

namespace kingcupseam::platform::test {

// Guards against logs of which nobody knows which process, release and limits they belong to.
TEST_CASE("the log begins with facts about the process") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        child_surroundings surroundings;
        surroundings.max_descriptors = 400;
        single_process it(role);
        it.start(surroundings);
        REQUIRE(it.logs("descriptor_limit=400 memory_mb="));
        CHECK(it.log().find("\"message\":\"process started role=" + role + " name=p pid=" +
                            std::to_string(it.process().pid()) + " version=") != std::string::npos);
    }
}

// Guards against a process that ends without a line from which an engineer learns why.
TEST_CASE("the log tells why a process ended") {
    for (const std::string role : {"entry", "control"}) {
        CAPTURE(role);
        single_process it(role);
        it.start();
        REQUIRE(it.logs("started name=p"));
        it.process().signal(SIGABRT);
        CHECK(it.process().wait(std::chrono::seconds(5)) == -SIGABRT);
        CHECK(it.logs(R"("process":"p","message":"process ended signal=6")"));
    }
}

} // namespace kingcupseam::platform::test
