#include "app/worker.h"

#include <doctest/doctest.h>

#include <stdexcept>

namespace kingcupseam::app {

// Destroying a std::thread that has not been joined ends the program, so an exception that destroys the owner
// of a running worker must stop and join its thread.
TEST_CASE("a worker that is destroyed while it runs joins its thread") {
    const auto fail = [] {
        worker it;
        it.start();
        throw std::runtime_error("disk");
    };
    CHECK_THROWS_AS(fail(), std::runtime_error);
}

} // namespace kingcupseam::app
