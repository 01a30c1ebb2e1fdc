#include "app/instance/execution_state.h"

#include <doctest/doctest.h>

namespace kingcupseam::app {

// Guards against an upstream that ends the instance by its answer about an execution.
TEST_CASE("an answer about an execution that holds no state is taken as none") {
    CHECK(execution_state(R"({"state":"running"})") == "running");
    for (const char* body : {"", "{", "[]", "{}", R"({"state":5})", R"({"state":null})", R"({"state":["a"]})",
                             "\xff", R"({"state":1e999})"}) {
        CAPTURE(body);
        std::string state = "unread";
        CHECK_NOTHROW(state = execution_state(body));
        CHECK(state.empty());
    }
}

} // namespace kingcupseam::app
