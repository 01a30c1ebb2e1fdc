#pragma once

#include <kingcupseam/error.h>

#include <cstdint>
#include <exception>
#include <string>
#include <utility>

namespace kingcupseam::lifecycle {

/// The process was asked to stop while it waited for something that it needs.
class stop_requested_error : public error {
public:
    /// @param waited_for what the process waited for
    explicit stop_requested_error(const std::string& waited_for);
};

/// A step ended halfway, and the state that it worked on is not known any more.
class unrecoverable_error : public error {
public:
    using error::error;
};

/// What ends when an exception leaves a handler of an event loop.
enum class failure_scope : std::uint8_t {
    handler, ///< what it worked on fails; other requests, connections and timers go on
    process, ///< going on could break a promise: the next start reads what is on the disk
};

/// The policy for all event loops. The process ends by unrecoverable_error, by io_error (what is on the disk
/// is not known) and by stop_requested_error; every other exception ends its handler alone.
failure_scope scope_of(const std::exception& failure) noexcept;

/// Calls @p step. What it throws ends the process: as it is if scope_of() says so, else as
/// unrecoverable_error.
/// @param name of the step, for the log
template <class Step>
void run_or_end_process(const char* name, Step&& step) {
    try {
        std::forward<Step>(step)();
    } catch (const std::exception& e) {
        if (scope_of(e) == failure_scope::process) {
            throw;
        }
        throw unrecoverable_error(std::string(name) + ": " + e.what());
    }
}

/// Holds SIGHUP, SIGTERM and SIGINT until accept_signals(), so that none meets its default action before its
/// handler is installed. Safe before the constructors of libraries.
void hold_signals() noexcept;
/// Delivers the signals that were held. Called on the thread that handles them, once all handlers are
/// installed.
void accept_signals() noexcept;
/// Makes writes report what would end the process by a signal: a reader that has gone (EPIPE), a limit on the
/// size of files (EFBIG).
void report_write_errors() noexcept;

/// Opens /dev/null for standard streams that are closed, so that no socket or file gets their descriptors and
/// with them the lines of the log.
void open_standard_streams() noexcept;

/// Records that the process is to stop. Thread-safe.
void request_stop() noexcept;
/// True after request_stop(), or while a held signal asks the process to stop. Waits that may be long check
/// it.
bool stop_requested() noexcept;

/// Writes a line to standard output when a fatal signal or an exception without a handler ends the process.
/// @param process_name as in other lines of the log; at most 200 characters are written
void log_fatal_ends(const std::string& process_name);

} // namespace kingcupseam::lifecycle
