#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupseam::app {

/// One line of the JSON log of a process.
struct log_line {
    using timestamp = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

    timestamp time; ///< in the time zone of the log; a UTC offset is ignored
    std::string level;
    std::string process;
    std::string message;
    std::string event;                         ///< words of the message before its first field
    std::map<std::string, std::string> fields; ///< key=value parts of the message

    /// @returns an empty string if the line has no such field
    std::string field(const std::string& name) const;
};

/// Text before the JSON object is skipped.
/// @returns nullopt if @p text is not a log line
std::optional<log_line> parse_log_line(std::string_view text);

/// Formats the time as HH:MM:SS.mmm.
std::string format_time_of_day(log_line::timestamp time);

} // namespace kingcupseam::app
