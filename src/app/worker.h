#pragma once

#include "app/handler_failures.h"

#include <kingcupseam/lifecycle.h>

#include <asio.hpp>

#include <cstdint>
#include <thread>

namespace kingcupseam::app {

/// For threads on which every handler must be whole, the process ends by any exception.
enum class on_handler_failure : std::uint8_t { go_on, end_process };

/// A thread with its own io_context. An exception of a handler ends the handler or the process, see
/// run_handlers(). The objects that run on the thread must be created before start() and
/// destroyed after stop().
struct worker {
    worker(const char* name, handler_failures& observer,
           on_handler_failure wanted = on_handler_failure::go_on)
        : thread_name(name), failures(observer), policy(wanted) {}
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    // The owner may be destroyed by an exception while the thread runs.
    ~worker() { stop(); }

    const char* thread_name;
    handler_failures& failures;
    on_handler_failure policy;
    asio::io_context io{1};
    /// Keeps run() from returning while nothing is pending.
    asio::executor_work_guard<asio::io_context::executor_type> work_guard{io.get_executor()};
    std::thread thread;

    void start() {
        thread = std::thread([this] { run(); });
    }
    /// Runs the handlers on the calling thread instead.
    void run() {
        if (policy == on_handler_failure::end_process) {
            lifecycle::run_or_end_process(thread_name, [this] { io.run(); });
        } else {
            run_handlers(io, thread_name, failures);
        }
    }
    void stop() {
        io.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
};

} // namespace kingcupseam::app
