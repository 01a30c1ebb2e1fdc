#pragma once

#include <kingcupseam/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kingcupseam::router {

/// Work of a control instance on its control thread.
enum class control_task : std::uint8_t { announce, report, publish, plan, consensus, order, status, group };

/// Processor time of the calling thread by kind of work, to tell what kept it from other work.
class task_times {
public:
    /// Measures the work in its lifetime. The time of a scope within another counts for both.
    class scope {
    public:
        scope(task_times& owner, control_task task);
        ~scope();
        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;

    private:
        task_times& owner_;
        control_task task_;
        duration begun_;
    };

    /// "announce=3 report=0 ... total=40": milliseconds since the last call, of each kind and of the thread.
    std::string take();

private:
    static constexpr std::size_t tasks = 8;
    std::array<duration, tasks> used_{};
    duration total_at_take_{};
};

} // namespace kingcupseam::router
