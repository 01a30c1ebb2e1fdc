#pragma once

#include <kingcupseam/ownership.h>
#include <kingcupseam/types.h>

#include <filesystem>
#include <string>
#include <variant>

namespace kingcupseam::app {

using grant_scope = ownership::grant_holder::scope;

/// First line that a process writes. It ends the grant of an earlier process that wrote to the same file.
struct process_start_event {
    std::string upstream;
    std::string service;
    std::uint64_t incarnation = 0;
    bool checks_grants = true;
    bool operator==(const process_start_event&) const = default;
};
/// Start or end of the execution of a request.
struct run_event {
    bool start = true; ///< false: end
    std::string service;
    std::string key;
    std::uint32_t shard = 0;
    std::string request_id;
    std::string idempotency_key;
    std::uint64_t epoch = 0;
    std::string method;
    bool operator==(const run_event&) const = default;
};
/// The grant in force from this line on; it replaces the previous one.
struct grant_event {
    time_point until; ///< end of the lease
    std::uint64_t epoch = 0;
    std::optional<grant_scope> scope; ///< empty: unchanged
    bool operator==(const grant_event&) const = default;
};
/// One line of a run record, the file in which an upstream records its executions and grants.
struct record_line {
    time_point at; ///< steady_now() of the upstream
    std::variant<process_start_event, run_event, grant_event> event;
    bool operator==(const record_line&) const = default;
};

/// Encodes as one line of JSON, without the line break.
std::string encode_record(const record_line& line);
/// @throws invalid_input naming @p source
record_line decode_record(const std::string& source, const std::string& text);

/// Appends lines to a run record. append() returns once the line is written to the file, so a killed process
/// loses none of the lines appended before.
class run_recorder {
public:
    /// @param file empty: nothing is recorded
    /// @throws io_error
    explicit run_recorder(const std::filesystem::path& file);
    ~run_recorder();
    run_recorder(const run_recorder&) = delete;
    run_recorder& operator=(const run_recorder&) = delete;

    /// @throws io_error
    void append(const record_line& line);

private:
    std::filesystem::path file_;
    int fd_ = -1;
};

} // namespace kingcupseam::app
