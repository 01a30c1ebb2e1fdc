#pragma once

#include <kingcupseam/metrics.h>

#include <asio.hpp>

#include <atomic>
#include <cstdint>
#include <exception>

namespace kingcupseam::app {

/// Counts and logs the exceptions that left handlers of the process. Thread-safe.
class handler_failures {
public:
    explicit handler_failures(metrics::registry& registry);

    /// Logs at most one line a second, which tells how many were not logged.
    void add(const char* thread_name, const std::exception& failure);

private:
    metrics::counter& total_;
    std::atomic<std::int64_t> next_line_ms_{0};
    std::atomic<std::uint64_t> unlogged_{0};
};

/// Runs the handlers of @p io until it is stopped. Goes on after an exception that ends only its handler, see
/// lifecycle::scope_of(), and throws the others.
void run_handlers(asio::io_context& io, const char* thread_name, handler_failures& failures);

} // namespace kingcupseam::app
