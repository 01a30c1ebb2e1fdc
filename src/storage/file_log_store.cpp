#include "storage/file_log_store.h"

#include "storage/record.h"

#include <cerrno>
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

/// What a failure waits for; empty if the store must fail.
std::optional<obstacle> obstacle_of(const io_error& failure) {
    switch (failure.code()) {
    case EWOULDBLOCK: // of the lock of the folder
        return obstacle::folder_in_use;
    case ENOSPC:
    case EDQUOT:
    case EFBIG: // the process's limit on the size of files, which can be lifted while it runs
        return obstacle::disk_full;
    default:
        return std::nullopt;
    }
}

/// Each write appends one record to the file "log". Creation and snapshots write "log.new" and rename it, so
/// that a crash leaves either the old or the new file.
class file_log_store final : public log_store {
public:
    file_log_store(std::shared_ptr<file_system> files, std::filesystem::path folder,
                   std::shared_ptr<wait_policy> waits)
        : files_(std::move(files)), waits_(std::move(waits)), folder_(std::move(folder)),
          path_(folder_ / "log") {
        files_->create_folder(folder_);
        retry([&] { lock_ = files_->lock_folder(folder_); });
        if (const auto content = files_->read(path_)) {
            recover(*content);
        } else {
            image_.identity = random_identity();
            rewrite();
        }
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

    void recover(const std::string& content) {
        scan_result result = scan_log(path_.string(), content);
        image_ = std::move(result.image);
        size_ = result.valid_bytes;
        file_ = files_->open(path_, false);
        if (size_ < content.size()) {
            file_->truncate(size_);
        }
        // What was read may be only in the page cache, if a process was killed before its fsync.
        file_->sync();
        files_->sync_folder(folder_);
    }

    void write(const std::string& payload) {
        check_usable();
        std::string bytes;
        add_record(bytes, payload, image_.identity + size_);
        usable_ = false;
        bool again = false;
        retry([&] {
            if (again) {
                file_->truncate(size_); // removes a partial record of the failed append
            }
            again = true;
            file_->append(bytes);
        });
        file_->sync();
        size_ += bytes.size();
        usable_ = true;
    }

    /// Repeats @p step while the policy asks for it.
    template <typename Step>
    void retry(const Step& step) {
        bool waited = false;
        for (;;) {
            try {
                step();
                break;
            } catch (const io_error& e) {
                const auto reason = obstacle_of(e);
                if (!reason || !waits_ || !waits_->wait(*reason, e)) {
                    throw;
                }
                waited = true;
            }
        }
        if (waited) {
            waits_->on_resumed();
        }
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
        if (!image_.entries.empty()) {
            add(entries_payload(std::vector<entry>(image_.entries.begin(), image_.entries.end())));
        }
        return out;
    }

    void rewrite() {
        const std::string bytes = encode_image();
        const auto next = folder_ / "log.new";
        usable_ = false;
        std::unique_ptr<log_file> file;
        retry([&] {
            file = files_->open(next, true);
            file->append(bytes);
        });
        file->sync();
        files_->rename(next, path_);
        files_->sync_folder(folder_);
        file_ = std::move(file);
        size_ = bytes.size();
        usable_ = true;
    }

    std::shared_ptr<file_system> files_;
    std::shared_ptr<wait_policy> waits_;
    std::filesystem::path folder_;
    std::filesystem::path path_;
    std::shared_ptr<void> lock_;
    std::unique_ptr<log_file> file_;
    log_image image_;
    std::uint64_t size_ = 0;
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
