#pragma once

#include <kingcupseam/ownership.h>
#include <kingcupseam/types.h>

#include <filesystem>
#include <string>
#include <variant>

namespace kingcupseam::app {

using grant_scope = ownership::grant_holder::scope;

/// First line of a process; nothing that an earlier process in the same file held is in force any more.
struct process_start_event {
    std::string upstream;
    std::string service;
    std::uint64_t incarnation = 0;
    bool checks_grants = true;
    bool operator==(const process_start_event&) const = default;
};
struct run_event {
    bool start = true; ///< false at the end of the execution
    std::string service;
    std::string key;
    std::uint32_t shard = 0;
    std::string request_id;
    std::string idempotency_key;
    std::uint64_t epoch = 0;
    std::string method;
    bool operator==(const run_event&) const = default;
};
/// The grant in force from this line on; replaces the one of the line before.
struct grant_event {
    time_point until;
    std::uint64_t epoch = 0;
    std::optional<grant_scope> scope; ///< empty: as in the line before
    bool operator==(const grant_event&) const = default;
};
struct record_line {
    time_point at;
    std::variant<process_start_event, run_event, grant_event> event;
    bool operator==(const record_line&) const = default;
};

/// One line of JSON without the line break.
std::string encode_record(const record_line& line);
/// @throws invalid_input naming @p source
record_line decode_record(const std::string& source, const std::string& text);

/// Appends lines to a file; each is in the file when append() returns, so a killed process loses none before.
class run_recorder {
public:
    /// @param file nothing is recorded when empty
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
