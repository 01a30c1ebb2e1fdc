#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace kingcupseam::router {

/// Logs to standard output, one JSON object per line, from a separate thread. When the reader is slow, the
/// oldest of log_queue_lines queued lines are dropped and counted, so that logging never blocks requests.
void configure_log(const std::string& process_name);
/// Number of lines dropped since the start.
std::size_t dropped_log_lines();

inline constexpr std::size_t log_queue_lines = 8192;

/// Escapes a text for a JSON string.
std::string json_escape(std::string_view text);

} // namespace kingcupseam::router
