#pragma once

#include <kingcupseam/types.h>

#include <cstddef>
#include <string>
#include <string_view>

/// Log of a long-running process: spdlog's default logger, written to standard output by a separate thread.
namespace kingcupseam::logging {

inline constexpr std::size_t queue_lines = 8192;

/// Time for the lines that wait when the process ends. An entry ends at most 500 ms before it is killed.
inline constexpr duration max_end_wait = std::chrono::milliseconds(200);

/// Starts the log. When the reader is slow, the oldest of queue_lines queued lines are dropped and counted,
/// so that logging never blocks requests.
/// @param pattern of spdlog; `%*` is the message, escaped for JSON
void start(const std::string& pattern);
/// Number of lines dropped since the start: the reader was slow or has gone, or the output has no room.
std::size_t dropped_lines() noexcept;
/// Writes the queued lines and drops those that the reader doesn't take within max_end_wait.
/// @returns false if the thread of the log is stuck: waiting for it, as exit() does, may take forever
bool finish();

/// Writes an error message to standard error; drops it if the reader doesn't take it within max_end_wait.
void print_error(std::string_view text);

/// Escapes a text for a JSON string.
std::string json_escape(std::string_view text);

} // namespace kingcupseam::logging
