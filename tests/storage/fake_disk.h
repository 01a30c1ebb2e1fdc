#pragma once

#include "storage/file_system.h"

#include <kingcupseam/error.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <random>

namespace kingcupseam::test {

/// Thrown by fake_disk to simulate a power loss.
struct power_loss {};

/// Disk with a page cache: only synced bytes and names are sure to survive a crash. Of the rest, a crash
/// keeps a random part, possibly damaged. A sync that fails takes the pages for clean: they are read, but no
/// later sync writes them.
class fake_disk final : public storage::file_system {
public:
    struct inode {
        std::string current;
        std::string durable;
        std::size_t lost_from = 0; ///< bytes from here to lost_to are taken for clean
        std::size_t lost_to = 0;

        void write_back() {
            durable = current;
            for (std::size_t n = lost_from; n < std::min(lost_to, durable.size()); ++n) {
                durable[n] = '\0';
            }
        }
        void lose_dirty_pages() {
            const bool appended = current.starts_with(durable);
            lost_from = lost_from < lost_to ? lost_from : (appended ? durable.size() : 0);
            lost_to = current.size();
        }
        void resize(std::size_t size) {
            current.resize(size);
            lost_to = std::min(lost_to, size);
            lost_from = std::min(lost_from, lost_to);
        }
    };

    int operations = 0;
    int crash_at = -1;       ///< the operation with this number throws power_loss
    int fail_at = -1;        ///< from this operation on, writes fail with error_code
    int fail_sync_at = -1;   ///< from this operation on, syncs fail with EIO
    int error_code = ENOSPC; ///< of failing writes
    int fault_at = -1;       ///< from this operation on, operations fail with fault_code
    int fault_code = EIO;
    int faults = 0;            ///< how many of them
    bool replaced = false;     ///< another folder has taken the place of the locked one
    int lock_fails = 0;        ///< attempts that find the folder locked
    bool ignores_sync = false; ///< injected bug: fsync returns without writing
    std::mt19937_64 random{1};

    void create_folder(const std::filesystem::path&) override { step(); }
    std::shared_ptr<void> lock_folder(const std::filesystem::path&) override {
        if (lock_fails > 0) {
            --lock_fails;
            throw io_error("data", "flock", EWOULDBLOCK);
        }
        return std::make_shared<int>(0);
    }
    bool holds_lock(const std::filesystem::path&, const std::shared_ptr<void>&) override { return !replaced; }
    void sync_folder(const std::filesystem::path& folder) override {
        sync_step(folder.string());
        if (!ignores_sync) {
            durable_names_ = names_;
        }
    }
    std::optional<std::string> read(const std::filesystem::path& file) override {
        const auto it = names_.find(file.string());
        return it == names_.end() ? std::nullopt : std::optional(it->second->current);
    }
    std::unique_ptr<storage::log_file> create(const std::filesystem::path& file) override;
    void rename(const std::filesystem::path& from, const std::filesystem::path& to) override {
        try {
            write_step(to.string());
        } catch (const io_error&) {
            if (random() % 2 == 0) {
                move_name(from, to); // the failure says nothing about the effect
            }
            throw;
        }
        move_name(from, to);
    }
    void move_name(const std::filesystem::path& from, const std::filesystem::path& to) {
        names_[to.string()] = names_.at(from.string());
        names_.erase(from.string());
    }

    /// Replaces the content of the disk by what a host finds after a power loss.
    void lose_power() {
        if (random() % 2 == 0) {
            names_ = durable_names_;
        }
        for (auto& [name, node] : names_) {
            node->current = content_after_crash(*node);
            node->durable = node->current;
            node->lost_from = node->lost_to = 0;
        }
        durable_names_ = names_;
        heal();
    }
    /// Lets all operations succeed from here on.
    void heal() { crash_at = fail_at = fail_sync_at = fault_at = -1; }

    /// Bytes of a file, for a test to damage.
    std::string& bytes(const std::string& name) { return names_.at(name)->current; }

    void step() {
        if (operations++ == crash_at) {
            throw power_loss{};
        }
    }
    void write_step(const std::string& path) {
        step();
        if (fail_at >= 0 && operations > fail_at) {
            throw io_error(path, "write", error_code);
        }
        fault_step(path);
    }
    void sync_step(const std::string& path) {
        step();
        if (fail_sync_at >= 0 && operations > fail_sync_at) {
            throw io_error(path, "fsync", EIO);
        }
        fault_step(path);
    }
    void fault_step(const std::string& path) const {
        if (fault_at >= 0 && operations > fault_at && operations <= fault_at + faults) {
            throw io_error(path, "fault", fault_code);
        }
    }

private:
    std::string content_after_crash(const inode& node) {
        const bool appended = node.current.starts_with(node.durable);
        if (!appended) {
            return random() % 2 == 0 ? node.durable : node.current;
        }
        std::string result = node.current;
        result.resize(node.durable.size() + random() % (node.current.size() - node.durable.size() + 1));
        if (result.size() > node.durable.size() && random() % 2 == 0) {
            const std::size_t at = node.durable.size() + random() % (result.size() - node.durable.size());
            result[at] = static_cast<char>(~result[at]);
        }
        return result;
    }

    std::map<std::string, std::shared_ptr<inode>> names_;
    std::map<std::string, std::shared_ptr<inode>> durable_names_;
};

class fake_file final : public storage::log_file {
public:
    fake_file(fake_disk& disk, std::shared_ptr<fake_disk::inode> node)
        : disk_(disk), node_(std::move(node)) {}

    void append(std::string_view bytes) override {
        try {
            disk_.write_step("log");
        } catch (...) {
            node_->current += bytes.substr(0, disk_.random() % (bytes.size() + 1));
            throw;
        }
        node_->current += bytes;
    }
    void truncate(std::uint64_t size) override {
        disk_.write_step("log");
        node_->resize(size);
    }
    void sync() override {
        try {
            disk_.sync_step("log");
        } catch (const io_error&) {
            node_->lose_dirty_pages();
            throw;
        }
        if (!disk_.ignores_sync) {
            node_->write_back();
        }
    }

private:
    fake_disk& disk_;
    std::shared_ptr<fake_disk::inode> node_;
};

inline std::unique_ptr<storage::log_file> fake_disk::create(const std::filesystem::path& file) {
    write_step(file.string());
    auto& node = names_[file.string()];
    if (!node) {
        node = std::make_shared<inode>();
    }
    node->resize(0);
    return std::make_unique<fake_file>(*this, node);
}

} // namespace kingcupseam::test
