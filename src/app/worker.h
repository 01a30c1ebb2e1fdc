#pragma once

#include <asio.hpp>

#include <thread>

namespace kingcupseam::app {

/// A thread with its own io_context. The objects that run on the thread must be created before start() and
/// destroyed after stop().
struct worker {
    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    // The owner may be destroyed by an exception while the thread runs.
    ~worker() { stop(); }

    asio::io_context io{1};
    /// Keeps run() from returning while nothing is pending.
    asio::executor_work_guard<asio::io_context::executor_type> work_guard{io.get_executor()};
    std::thread thread;

    void start() {
        thread = std::thread([this] { io.run(); });
    }
    void stop() {
        io.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
};

} // namespace kingcupseam::app
