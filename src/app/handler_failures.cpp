#include "app/handler_failures.h"

#include <kingcupseam/lifecycle.h>
#include <kingcupseam/types.h>

#include <spdlog/spdlog.h>

namespace kingcupseam::app {

namespace {

constexpr std::int64_t log_interval_ms = 1000;

} // namespace

handler_failures::handler_failures(metrics::registry& registry)
    : total_(registry.counter_of("handler_failures_total", "handlers that an exception ended")) {}

void handler_failures::add(const char* thread_name, const std::exception& failure) {
    total_.add();
    const auto now_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady_now().time_since_epoch()).count();
    std::int64_t due = next_line_ms_;
    if (now_ms < due || !next_line_ms_.compare_exchange_strong(due, now_ms + log_interval_ms)) {
        ++unlogged_;
        return;
    }
    spdlog::error("handler failed thread={} unlogged={} problem=\"{}\"", thread_name, unlogged_.exchange(0),
                  failure.what());
}

void run_handlers(asio::io_context& io, const char* thread_name, handler_failures& failures) {
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception& e) {
            if (lifecycle::scope_of(e) == lifecycle::failure_scope::process) {
                throw;
            }
            failures.add(thread_name, e);
        }
    }
}

} // namespace kingcupseam::app
