#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupseam::storage {

/// An open file that supports only append, truncate and sync. All members throw io_error.
class log_file {
public:
    log_file() = default;
    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;
    virtual ~log_file() = default;

    virtual void append(std::string_view bytes) = 0;
    virtual void truncate(std::uint64_t size) = 0;
    virtual void sync() = 0;
};

/// File operations of the store. Tests substitute a disk that fails or loses power at a chosen operation.
class file_system {
public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    virtual void create_folder(const std::filesystem::path& folder) = 0;
    /// Locks the folder exclusively until the returned object is destroyed.
    /// @throws io_error, with EWOULDBLOCK if another process has locked it
    virtual std::shared_ptr<void> lock_folder(const std::filesystem::path& folder) = 0;
    /// False if @p folder is no longer the one that @p lock was taken on.
    virtual bool holds_lock(const std::filesystem::path& folder, const std::shared_ptr<void>& lock) = 0;
    virtual void sync_folder(const std::filesystem::path& folder) = 0;
    /// Whole content; empty if the file does not exist.
    virtual std::optional<std::string> read(const std::filesystem::path& file) = 0;
    /// Creates a file for appending, or empties the one that is there.
    virtual std::unique_ptr<log_file> create(const std::filesystem::path& file) = 0;
    virtual void rename(const std::filesystem::path& from, const std::filesystem::path& to) = 0;
};

std::shared_ptr<file_system> make_posix_file_system();

} // namespace kingcupseam::storage
