#include "router/full_disk_wait.h"

#include <spdlog/spdlog.h>

#include <thread>

namespace kingcupseam::router {

namespace {

// Well below an election timeout, so that it adds little to the outage.
constexpr duration retry_interval = std::chrono::milliseconds(100);
// Longer than a log rotation or a cleanup by operators' tools takes.
constexpr duration max_wait = std::chrono::seconds(30);

} // namespace

bool full_disk_wait::wait_for_space(const io_error& failure) {
    const time_point now = steady_now();
    if (!waiting_) {
        waiting_ = true;
        since_ = now;
        spdlog::error("disk full path={} problem=\"{}\"", failure.path(), failure.what());
    }
    if (now - since_ >= max_wait) {
        return false;
    }
    std::this_thread::sleep_for(retry_interval);
    return true;
}

void full_disk_wait::on_space_available() {
    waiting_ = false;
    spdlog::info("disk has room again waited_ms={}",
                 std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - since_).count());
}

} // namespace kingcupseam::router
