#include "app/instance/storage_wait.h"

#include <kingcupseam/lifecycle.h>

#include <doctest/doctest.h>

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;

namespace {

/// Time that passes only while the wait sleeps.
struct fake_time {
    duration passed = 0s;
    duration longest_sleep = 0s;
    bool stops = false;
};

class fake_surroundings final : public wait_surroundings {
public:
    explicit fake_surroundings(fake_time& time) : time_(time) {}
    time_point now() const override { return time_point(1h + time_.passed); }
    void sleep(duration time) override {
        time_.passed += time;
        time_.longest_sleep = std::max(time_.longest_sleep, time);
    }
    bool stop_requested() const override { return time_.stops; }

private:
    fake_time& time_;
};

/// Collects the log while it exists.
class captured_log {
public:
    captured_log() : former_(spdlog::default_logger()) {
        spdlog::set_default_logger(std::make_shared<spdlog::logger>(
            "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(text_)));
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;
    ~captured_log() { spdlog::set_default_logger(former_); }

    std::size_t count(const std::string& line) const {
        const std::string text = text_.str();
        std::size_t n = 0;
        for (auto at = text.find(line); at != std::string::npos; at = text.find(line, at + 1)) {
            ++n;
        }
        return n;
    }

private:
    std::ostringstream text_;
    std::shared_ptr<spdlog::logger> former_;
};

} // namespace

// Guards against a process that ends because its disk or its folder becomes usable later than expected.
TEST_CASE("a store's wait has no limit of its own") {
    struct expectation {
        storage::obstacle reason;
        std::string begin;
        std::string end;
    };
    for (const auto& expected :
         {expectation{storage::obstacle::folder_in_use, "data folder in use path=data/log",
                      "data folder free waited_ms=3600000"},
          expectation{storage::obstacle::disk_full, "disk full path=data/log",
                      "disk has room again waited_ms=3600000"},
          expectation{storage::obstacle::disk_failed, "disk failed path=data/log",
                      "disk works again waited_ms=3600000"}}) {
        CAPTURE(expected.begin);
        const captured_log log;
        fake_time time;
        storage_wait it(std::make_unique<fake_surroundings>(time));
        const io_error failure("data/log", "write", ENOSPC);
        while (time.passed < 1h) {
            REQUIRE(it.wait(expected.reason, failure));
        }
        CHECK(time.longest_sleep <= 500ms);      // a stop request is seen in this time
        CHECK(log.count(expected.begin) == 360); // one in 10 s
        it.on_resumed();
        CHECK(log.count(expected.end) == 1);
        // The next wait is logged at once, and ends when the process is asked to stop.
        time.stops = true;
        CHECK_THROWS_AS(it.wait(expected.reason, failure), lifecycle::stop_requested_error);
        CHECK(log.count(expected.begin) == 361);
    }
}
