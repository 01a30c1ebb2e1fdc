#pragma once

#include "storage/log_image.h"

#include <string>
#include <string_view>

namespace kingcupseam::storage {

/// Kinds of records. Values are part of the file format.
enum class record_kind : std::uint8_t {
    identity = 1,
    hard_state = 2,
    entries = 3,
    truncate = 4,
    snapshot = 5
};

std::string identity_payload(std::uint64_t identity);
std::string hard_state_payload(const hard_state& state);
std::string entries_payload(std::span<const entry> batch);
std::string truncate_payload(std::uint64_t index);
std::string snapshot_payload(const snapshot& state);

/// Adds a record to @p out: magic, length, checksum of the header, checksum of the payload, payload.
/// @param seed identity plus offset of the record, so that record bytes inside user data never pass as a
/// record and a record at another place or from another store is refused
void add_record(std::string& out, std::string_view payload, std::uint64_t seed);

/// Result of reading a log file.
struct scan_result {
    log_image image;
    std::uint64_t valid_bytes = 0; ///< the rest is a torn tail
};

/// @throws corrupt_log when a damaged record is followed by an intact one, or when a record contradicts the
/// ones before it
scan_result scan_log(const std::string& path, std::string_view content);

} // namespace kingcupseam::storage
