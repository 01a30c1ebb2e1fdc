#pragma once

#include <kingcupseam/error.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcupseam::storage {

/// State that must survive a restart of the voter: its term and its vote in that term.
struct hard_state {
    std::uint64_t term = 0;
    std::string voted_for; ///< empty if it has not voted in this term
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

/// State of the state machine after applying entry @ref index.
struct snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string membership; ///< encoded membership in effect at index
    std::string data;
    auto operator<=>(const snapshot&) const = default;
};

/// The log is damaged other than by an incomplete last write. The voter must not start.
class corrupt_log : public error {
public:
    corrupt_log(const std::string& path, std::uint64_t offset, const std::string& problem);
};

/// The data folder is no longer the one that the store has locked. Another process may use the one that has
/// taken its place, so the voter must stop.
class folder_replaced : public error {
public:
    explicit folder_replaced(const std::string& path);
};

/// Log, hard state and snapshot of one voter. A modifying call is durable when it returns. If it throws
/// other than invalid_input, the store is unusable and the voter must stop, since it cannot know what
/// reached the disk.
class log_store {
public:
    log_store() = default;
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;
    virtual ~log_store() = default;

    /// Random number chosen when the store was created, so that a store on a replaced disk has another one.
    virtual std::uint64_t identity() const = 0;
    virtual hard_state load_hard_state() const = 0;
    virtual void save_hard_state(const hard_state& state) = 0;

    /// Index of the oldest entry kept; last_index() + 1 if there is none.
    virtual std::uint64_t first_index() const = 0;
    /// Index of the newest entry; without entries that of the snapshot, and without a snapshot 0.
    virtual std::uint64_t last_index() const = 0;
    /// Term of an entry or of the last entry in the snapshot; empty if the index is not available.
    virtual std::optional<std::uint64_t> term_at(std::uint64_t index) const = 0;
    /// Entries from @p first on, with at most @p max_bytes of data, but at least one entry if there is one.
    virtual std::vector<entry> entries(std::uint64_t first, std::size_t max_bytes) const = 0;
    /// Bytes of data of all entries kept.
    virtual std::size_t entry_bytes() const = 0;
    /// Appends @p batch.
    /// @throws invalid_input unless it continues the log without a gap
    virtual void append(std::span<const entry> batch) = 0;
    /// Removes all entries after @p index.
    virtual void truncate_after(std::uint64_t index) = 0;
    /// Stores the snapshot and removes the entries that it covers. Later entries are kept if they continue
    /// it.
    virtual void save_snapshot(const snapshot& state) = 0;
    virtual std::optional<snapshot> load_snapshot() const = 0;
};

/// Creates the store of a diskless voter.
/// @param identity incarnation number of the process
std::unique_ptr<log_store> make_memory_log_store(std::uint64_t identity);

/// Why a store cannot go on.
enum class obstacle : std::uint8_t {
    folder_in_use, ///< another process has the folder open
    disk_full,
    disk_failed ///< any other failure that may pass
};

/// Decides how long a store waits for its folder and its disk.
class wait_policy {
public:
    wait_policy() = default;
    wait_policy(const wait_policy&) = delete;
    wait_policy& operator=(const wait_policy&) = delete;
    virtual ~wait_policy() = default;

    /// Called after each failed attempt, on the thread that opens the store or writes. What it throws ends
    /// the call of the store.
    /// @returns true to try again, false to let the store fail with @p failure
    virtual bool wait(obstacle reason, const io_error& failure) = 0;
    /// Called when an attempt after a wait has succeeded.
    virtual void on_resumed() = 0;
};

/// Repeats @p step while it throws io_error, for files beside a store that is opened. Waits for what
/// open_file_log_store() waits for.
void retry_opening(wait_policy& waits, const std::function<void()>& step);

/// Creates a folder, with its parents, that survives a power loss.
void create_folder(const std::filesystem::path& folder);

/// Opens or creates a store in @p folder. Removes an incomplete last write.
/// @param waits if null, the store waits for nothing
/// @throws corrupt_log; io_error, also if another process has the folder open, and without a wait if the path
/// or its permissions are wrong
std::unique_ptr<log_store> open_file_log_store(const std::filesystem::path& folder,
                                               std::shared_ptr<wait_policy> waits = nullptr);

} // namespace kingcupseam::storage
