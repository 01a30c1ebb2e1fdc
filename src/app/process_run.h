#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace kingcupseam::app {

struct process_description {
    std::string role; ///< command that runs the process
    std::string name;
    std::int64_t memory_mb = 0; ///< memory of the machine in 10^6 bytes; 0: as the kernel reports it
};

/// Runs a process that logs. Its first line has facts about it, its last one says why it ended.
/// @returns the exit code
/// @throws what @p run throws, after logging it, unless the process was asked to stop
int run_logged(const process_description& process, const std::function<void()>& run);

} // namespace kingcupseam::app
