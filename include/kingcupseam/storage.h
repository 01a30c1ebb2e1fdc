#pragma once

#include <kingcupseam/error.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcupseam::storage {

/// What a voter must never forget: its term and whom it voted for in that term.
struct hard_state {
    std::uint64_t term = 0;
    std::string voted_for; ///< empty when no vote was given in this term
    auto operator<=>(const hard_state&) const = default;
};

enum class entry_kind : std::uint8_t { command, membership, no_op };

struct entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::command;
    std::string data;
    auto operator<=>(const entry&) const = default;
};

/// State of the state machine after applying the entry at @ref index.
struct snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string membership; ///< encoded membership in force at index
    std::string data;
    auto operator<=>(const snapshot&) const = default;
};

/// A record in the middle of the log, or a snapshot, failed its checksum. The voter must not start.
class corrupt_log : public error {
public:
    corrupt_log(const std::string& path, std::uint64_t offset, const std::string& problem);
};

/// Log, hard state and snapshot of one voter. Every modifying call is durable when it returns, or throws
/// io_error and leaves the store unusable: the voter must stop, since it cannot know what reached the disk.
class log_store {
public:
    log_store() = default;
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;
    virtual ~log_store() = default;

    /// Identity drawn when the store was created; a lost disk comes back with another one.
    virtual std::uint64_t identity() const = 0;
    virtual hard_state load_hard_state() const = 0;
    virtual void save_hard_state(const hard_state& state) = 0;

    /// Index of the oldest entry kept; last_index() + 1 when there is none.
    virtual std::uint64_t first_index() const = 0;
    /// Index of the newest entry, or of the snapshot when there is none, or 0.
    virtual std::uint64_t last_index() const = 0;
    /// Term of an entry or of the snapshot's last entry; empty when the index is not available.
    virtual std::optional<std::uint64_t> term_at(std::uint64_t index) const = 0;
    /// Entries from @p first, at least one when available and otherwise at most @p max_bytes of data.
    virtual std::vector<entry> entries(std::uint64_t first, std::size_t max_bytes) const = 0;
    /// @p batch continues the log without a gap.
    /// @throws invalid_input otherwise
    virtual void append(std::span<const entry> batch) = 0;
    /// Removes all entries with a higher index than @p index.
    virtual void truncate_after(std::uint64_t index) = 0;
    /// Stores the snapshot and removes the entries that it covers; entries after it stay when they continue
    /// it.
    virtual void save_snapshot(const snapshot& state) = 0;
    virtual std::optional<snapshot> load_snapshot() const = 0;
};

/// Store of a diskless voter.
/// @param identity the process's incarnation number
std::unique_ptr<log_store> make_memory_log_store(std::uint64_t identity);

/// What a store does while its disk has no room. A write that found none has changed nothing that counts.
class full_disk_policy {
public:
    full_disk_policy() = default;
    full_disk_policy(const full_disk_policy&) = delete;
    full_disk_policy& operator=(const full_disk_policy&) = delete;
    virtual ~full_disk_policy() = default;

    /// Called after each write that found no room, on the thread that writes.
    /// @returns true to try once more, false to let the store fail with @p failure
    virtual bool wait_for_space(const io_error& failure) = 0;
    /// The write that waited has succeeded.
    virtual void on_space_available() = 0;
};

/// Opens or creates a store in @p folder. A torn tail is cut.
/// @param on_full null: a full disk is a failure like any other
/// @throws corrupt_log; io_error, also when another process has the folder open
std::unique_ptr<log_store> open_file_log_store(const std::filesystem::path& folder,
                                               std::shared_ptr<full_disk_policy> on_full = nullptr);

} // namespace kingcupseam::storage
