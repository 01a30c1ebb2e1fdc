#pragma once

#include "storage/log_image.h"

#include <string>
#include <string_view>

namespace kingcupseam::storage {

/// The values are part of the file format.
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

/// Adds a record to @p out: magic, length, checksum of the two, checksum of the payload, payload.
/// @param seed seed of the checksums: identity plus offset of the record. It keeps bytes that look like a
/// record inside user data, and records at another offset or of another store, from passing as a record.
void add_record(std::string& out, std::string_view payload, std::uint64_t seed);

/// Reads a log file without an incomplete last write.
/// @throws corrupt_log if the damage is not confined to the last record, or if a record contradicts earlier
/// ones
log_image scan_log(const std::string& path, std::string_view content);

} // namespace kingcupseam::storage
