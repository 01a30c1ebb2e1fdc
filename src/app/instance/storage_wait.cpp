#include "app/instance/storage_wait.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

#include <string_view>
#include <thread>

namespace kingcupseam::app {

namespace {

// Well below an election timeout, so that it adds little to the outage.
constexpr duration retry_interval = std::chrono::milliseconds(100);
// Each retry after a failure writes the whole log, which may have tens of MB.
constexpr duration retry_interval_after_failure = std::chrono::milliseconds(500);
constexpr duration line_interval = std::chrono::seconds(10);

class process_surroundings final : public wait_surroundings {
public:
    time_point now() const override { return steady_now(); }
    void sleep(duration time) override { std::this_thread::sleep_for(time); }
    bool stop_requested() const override { return lifecycle::stop_requested(); }
};

std::int64_t milliseconds(duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Log events at the begin and the end of a wait.
struct wait_lines {
    std::string_view begin;
    std::string_view end;
};

wait_lines lines_of(storage::obstacle reason) {
    switch (reason) {
    case storage::obstacle::folder_in_use:
        return {"data folder in use", "data folder free"};
    case storage::obstacle::disk_full:
        return {"disk full", "disk has room again"};
    case storage::obstacle::disk_failed:
        return {"disk failed", "disk works again"};
    }
    return {};
}

} // namespace

std::unique_ptr<wait_surroundings> make_process_surroundings() {
    return std::make_unique<process_surroundings>();
}

storage_wait::storage_wait(std::unique_ptr<wait_surroundings> surroundings)
    : surroundings_(std::move(surroundings)) {}

bool storage_wait::wait(storage::obstacle reason, const io_error& failure) {
    const time_point now = surroundings_->now();
    if (reason_ != reason) {
        since_ = reason_ ? since_ : now;
        reason_ = reason;
        next_line_ = now;
    }
    log(failure, now);
    if (surroundings_->stop_requested()) {
        throw lifecycle::stop_requested_error(failure.path());
    }
    surroundings_->sleep(reason == storage::obstacle::disk_failed ? retry_interval_after_failure
                                                                  : retry_interval);
    return true;
}

void storage_wait::log(const io_error& failure, time_point now) {
    if (now >= next_line_) {
        next_line_ = now + line_interval;
        spdlog::error("{} path={} problem=\"{}\" waited_ms={}", lines_of(*reason_).begin, failure.path(),
                      failure.what(), milliseconds(now - since_));
    }
}

void storage_wait::on_resumed() {
    spdlog::info("{} waited_ms={}", lines_of(*reason_).end, milliseconds(surroundings_->now() - since_));
    reason_.reset();
}

} // namespace kingcupseam::app
