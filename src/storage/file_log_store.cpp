#include "storage/file_log_store.h"

#include "storage/record.h"
#include "storage/retry.h"

#include <cerrno>
#include <functional>
#include <random>

namespace kingcupseam::storage {

namespace {

std::uint64_t random_identity() {
    std::random_device source;
    std::uint64_t value = 0;
    while (value == 0) {
        value = (std::uint64_t{source()} << 32) | source();
    }
    return value;
}

/// What is known about the end of the log file.
enum class log_end : std::uint8_t {
    known,   ///< the file has exactly the image, and it is durable
    partial, ///< a part of a record may follow, since the disk was full
    unknown  ///< a write or sync failed, so no page since the last sync may have reached the disk
};

/// Each write appends one record to the file "log". Creation and snapshots write "log.new" and rename it, so
/// that a crash leaves either the old or the new file.
///
/// The same is done when a write or sync has failed: the kernel may then take pages for clean that it did not
/// write, and a later sync of that file proves nothing. The image has all that was acknowledged, so it is
/// written to a file of its own, and the record that failed is appended there. Until then nothing is
/// acknowledged, and a crash leaves either the old file, with or without that record, or the new one.
class file_log_store final : public log_store {
public:
    file_log_store(std::shared_ptr<file_system> files, std::filesystem::path folder,
                   std::shared_ptr<wait_policy> waits)
        : files_(std::move(files)), waits_(std::move(waits)), folder_(std::move(folder)),
          path_(folder_ / "log") {
        retry([&] { files_->create_folder(folder_); });
        retry([&] { lock_ = files_->lock_folder(folder_); });
        std::optional<std::string> content;
        retry([&] { content = files_->read(path_); });
        if (content) {
            recover(std::move(*content));
        } else {
            image_.identity = random_identity();
            rewrite();
        }
        opened_ = true;
    }

    std::uint64_t identity() const override { return image_.identity; }
    hard_state load_hard_state() const override { return image_.state; }
    std::uint64_t first_index() const override { return image_.base_index() + 1; }
    std::uint64_t last_index() const override { return image_.last_index(); }
    std::optional<std::uint64_t> term_at(std::uint64_t index) const override { return image_.term_at(index); }
    std::vector<entry> entries(std::uint64_t first, std::size_t max_bytes) const override {
        return image_.read(first, max_bytes);
    }
    std::size_t entry_bytes() const override { return image_.entry_bytes; }
    std::optional<snapshot> load_snapshot() const override { return image_.base; }

    void save_hard_state(const hard_state& state) override {
        write(hard_state_payload(state));
        image_.state = state;
    }
    void append(std::span<const entry> batch) override {
        if (!image_.continues(batch)) {
            throw invalid_input("log store", "index", "must continue the log without a gap");
        }
        if (!batch.empty()) {
            write(entries_payload(batch));
            image_.append(batch);
        }
    }
    void truncate_after(std::uint64_t index) override {
        if (index < image_.last_index()) {
            write(truncate_payload(index));
            image_.truncate_after(index);
        }
    }
    void save_snapshot(const snapshot& state) override {
        check_usable();
        image_.install(state);
        rewrite();
    }

private:
    void check_usable() const {
        if (!usable_) {
            throw io_error(path_.string(), "write after an earlier failure", EIO);
        }
    }

    /// Writes what was read to a new file: it may be only in the page cache, and pages of a failed sync count
    /// as written.
    void recover(std::string content) {
        image_ = scan_log(path_.string(), content);
        content = {}; // the log is in memory twice at most
        rewrite();
    }

    void write(const std::string& payload) {
        check_usable();
        usable_ = false;
        retry([&] {
            restore_end();
            append_record(payload);
        });
        usable_ = true;
    }

    /// Makes the file equal to the image after a failed write.
    void restore_end() {
        if (end_ == log_end::partial) {
            remove_partial_record();
        } else if (end_ == log_end::unknown) {
            write_image();
        }
    }

    void remove_partial_record() {
        try {
            file_->truncate(size_);
        } catch (const io_error& e) {
            end_ = is_full(e) ? log_end::partial : log_end::unknown;
            throw;
        }
    }

    void append_record(const std::string& payload) {
        std::string bytes;
        add_record(bytes, payload, image_.identity + size_);
        end_ = log_end::unknown;
        try {
            file_->append(bytes);
        } catch (const io_error& e) {
            end_ = is_full(e) ? log_end::partial : log_end::unknown;
            throw;
        }
        file_->sync();
        size_ += bytes.size();
        end_ = log_end::known;
    }

    void retry(const std::function<void()>& step) {
        storage::retry(waits_.get(), opened_ ? store_phase::open : store_phase::opening, step);
    }

    std::string encode_image() const {
        std::string out;
        add_record(out, identity_payload(image_.identity), 0);
        const auto add = [&](const std::string& payload) {
            add_record(out, payload, image_.identity + out.size());
        };
        add(hard_state_payload(image_.state));
        if (image_.base) {
            add(snapshot_payload(*image_.base));
        }
        for (const entry& it : image_.entries) {
            add(entries_payload(std::span(&it, 1)));
        }
        return out;
    }

    void rewrite() {
        usable_ = false;
        retry([&] { write_image(); });
        usable_ = true;
    }

    /// Replaces the file by one that has the image.
    void write_image() {
        const std::string bytes = encode_image();
        const auto next = folder_ / "log.new";
        end_ = log_end::unknown; // after a failure the name may stand for either file
        check_lock();
        auto file = files_->create(next);
        file->append(bytes);
        file->sync();
        check_lock();
        files_->rename(next, path_);
        files_->sync_folder(folder_);
        file_ = std::move(file);
        size_ = bytes.size();
        end_ = log_end::known;
    }

    void check_lock() const {
        if (!files_->holds_lock(folder_, lock_)) {
            throw folder_replaced(folder_.string());
        }
    }

    std::shared_ptr<file_system> files_;
    std::shared_ptr<wait_policy> waits_;
    std::filesystem::path folder_;
    std::filesystem::path path_;
    std::shared_ptr<void> lock_;
    std::unique_ptr<log_file> file_;
    log_image image_;
    std::uint64_t size_ = 0;
    log_end end_ = log_end::known;
    bool opened_ = false;
    bool usable_ = true;
};

} // namespace

std::unique_ptr<log_store> open_log_store_on(std::shared_ptr<file_system> files,
                                             const std::filesystem::path& folder,
                                             std::shared_ptr<wait_policy> waits) {
    return std::make_unique<file_log_store>(std::move(files), folder, std::move(waits));
}

std::unique_ptr<log_store> open_file_log_store(const std::filesystem::path& folder,
                                               std::shared_ptr<wait_policy> waits) {
    return open_log_store_on(make_posix_file_system(), folder, std::move(waits));
}

} // namespace kingcupseam::storage
