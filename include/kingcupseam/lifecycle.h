#pragma once

#include <kingcupseam/error.h>

#include <string>

namespace kingcupseam::lifecycle {

/// Writes a line to standard output when a fatal signal or an exception without a handler ends the process.
/// @param process_name as in other lines of the log; at most 200 characters are written
void log_fatal_ends(const std::string& process_name);

} // namespace kingcupseam::lifecycle
