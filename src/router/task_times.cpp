#include "router/task_times.h"

#include <fmt/format.h>

#include <ctime>
#include <string_view>

namespace kingcupseam::router {

namespace {

constexpr std::array<std::string_view, 8> task_names{"announce",  "report", "publish", "plan",
                                                     "consensus", "order",  "status",  "group"};

duration thread_time() {
    timespec it{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(it.tv_sec) +
                                                std::chrono::nanoseconds(it.tv_nsec));
}

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

task_times::scope::scope(task_times& owner, control_task task)
    : owner_(owner), task_(task), begun_(thread_time()) {}

task_times::scope::~scope() {
    owner_.used_.at(static_cast<std::size_t>(task_)) += thread_time() - begun_;
}

std::string task_times::take() {
    std::string result;
    for (std::size_t i = 0; i < tasks; ++i) {
        result += fmt::format("{}={} ", task_names.at(i), milliseconds(used_.at(i)));
        used_.at(i) = {};
    }
    const duration total = thread_time();
    result += fmt::format("total={}", milliseconds(total - total_at_take_));
    total_at_take_ = total;
    return result;
}

} // namespace kingcupseam::router
