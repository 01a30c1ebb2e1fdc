#include "logging/bounded_sink.h"

#include "support/unread_pipe.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>

#include <csignal>

namespace kingcupseam::logging {

using std::chrono::milliseconds;
using test::unread_pipe;

// Guards against lines that are lost without a trace in the metrics.
TEST_CASE("a sink counts the lines that its output doesn't take") {
    std::signal(SIGPIPE, SIG_IGN);
    unread_pipe output;
    const auto sink = std::make_shared<bounded_sink>(output.write_end());
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    logger.info("first");
    CHECK(output.drain() == "first\n");
    CHECK(sink->dropped() == 0);
    SUBCASE("since the reader has gone") {
        output.close_reader();
        logger.info("second");
        logger.info("third");
        CHECK(sink->dropped() == 2);
    }
    SUBCASE("since the process ends and nobody reads") {
        output.fill();
        sink->end_at(steady_now() + milliseconds(50));
        logger.info("second");
        logger.info("third");
        CHECK(sink->dropped() == 2);
    }
}

// Guards against an end of the process that waits for a log thread that is stuck in write().
TEST_CASE("the wait for a flush ends") {
    const unread_pipe output;
    bounded_sink sink(output.write_end());
    SUBCASE("when the flush has arrived") {
        sink.flush();
        CHECK(sink.wait_for_flush(std::chrono::seconds(5)));
    }
    SUBCASE("at its limit when no flush arrives") {
        CHECK_FALSE(sink.wait_for_flush(milliseconds(20)));
    }
}

} // namespace kingcupseam::logging
