#pragma once

#include <kingcupseam/error.h>

#include <string>

namespace kingcupseam::lifecycle {

/// The process was asked to stop while it waited for something that it needs.
class stop_requested_error : public error {
public:
    /// @param waited_for what the process waited for
    explicit stop_requested_error(const std::string& waited_for);
};

/// Holds SIGHUP, SIGTERM and SIGINT until accept_signals(), so that none meets its default action before its
/// handler is installed. Safe before the constructors of libraries.
void hold_signals() noexcept;
/// Delivers the signals that were held. Called on the thread that handles them, once all handlers are
/// installed.
void accept_signals() noexcept;
/// Makes writes report what would end the process by a signal: a reader that has gone (EPIPE), a limit on the
/// size of files (EFBIG).
void report_write_errors() noexcept;

/// Records that the process is to stop. Thread-safe.
void request_stop() noexcept;
/// True after request_stop(), or while a held signal asks the process to stop. Waits that may be long check
/// it.
bool stop_requested() noexcept;

/// Writes a line to standard output when a fatal signal or an exception without a handler ends the process.
/// @param process_name as in other lines of the log; at most 200 characters are written
void log_fatal_ends(const std::string& process_name);

} // namespace kingcupseam::lifecycle
