#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupseam::app {

/// One line of the structured log of a process.
struct log_line {
    using timestamp = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

    timestamp time;
    std::string level;
    std::string process;
    std::string message;
    std::string event;                         ///< words of the message before its first field
    std::map<std::string, std::string> fields; ///< key=value parts of the message

    /// Empty when the line has no such field.
    std::string field(const std::string& name) const;
};

/// @returns empty for a line that is no log line; text before the JSON object is skipped
std::optional<log_line> parse_log_line(std::string_view text);

/// "13:11:41.637"
std::string format_time_of_day(log_line::timestamp time);

} // namespace kingcupseam::app
