#include "storage/file_system.h"

#include <kingcupseam/error.h>

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace kingcupseam::storage {

namespace {

class descriptor {
public:
    descriptor(const std::filesystem::path& path, int flags)
        : path_(path.string()), fd_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {
        if (fd_ < 0) {
            fail("open");
        }
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor() { ::close(fd_); }

    int get() const noexcept { return fd_; }
    [[noreturn]] void fail(const char* operation) const { throw io_error(path_, operation, errno); }

private:
    std::string path_;
    int fd_;
};

class posix_file final : public log_file {
public:
    posix_file(const std::filesystem::path& path, int flags) : file_(path, flags) {}

    void append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(file_.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0) {
                file_.fail("write");
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void truncate(std::uint64_t size) override {
        if (::ftruncate(file_.get(), static_cast<off_t>(size)) != 0) {
            file_.fail("ftruncate");
        }
    }
    void sync() override {
        if (::fsync(file_.get()) != 0) {
            file_.fail("fsync");
        }
    }

private:
    descriptor file_;
};

class posix_file_system final : public file_system {
public:
    void create_folder(const std::filesystem::path& folder) override {
        const auto path = std::filesystem::absolute(folder).lexically_normal();
        std::error_code ec;
        if (std::filesystem::is_directory(path, ec) || path == path.parent_path()) {
            return;
        }
        create_folder(path.parent_path());
        if (!std::filesystem::create_directory(path, ec) && ec) {
            throw io_error(folder.string(), "mkdir", ec.value());
        }
        try {
            sync_folder(path.parent_path());
        } catch (const io_error&) {
            std::filesystem::remove(path, ec); // so that a retry syncs it
            throw;
        }
    }
    std::shared_ptr<void> lock_folder(const std::filesystem::path& folder) override {
        auto handle = std::make_shared<descriptor>(folder, O_RDONLY | O_DIRECTORY);
        while (::flock(handle->get(), LOCK_EX | LOCK_NB) != 0) {
            if (errno != EINTR) {
                handle->fail("flock");
            }
        }
        return handle;
    }
    bool holds_lock(const std::filesystem::path& folder, const std::shared_ptr<void>& lock) override {
        const auto handle = std::static_pointer_cast<descriptor>(lock);
        struct stat locked {};
        struct stat found {};
        if (::fstat(handle->get(), &locked) != 0) {
            handle->fail("fstat");
        }
        if (::stat(folder.c_str(), &found) != 0) {
            if (errno == ENOENT || errno == ENOTDIR) {
                return false;
            }
            handle->fail("stat");
        }
        return locked.st_dev == found.st_dev && locked.st_ino == found.st_ino;
    }
    void sync_folder(const std::filesystem::path& folder) override {
        const descriptor handle(folder, O_RDONLY | O_DIRECTORY);
        if (::fsync(handle.get()) != 0) {
            handle.fail("fsync");
        }
    }
    std::optional<std::string> read(const std::filesystem::path& file) override {
        std::error_code ec;
        if (!std::filesystem::exists(file, ec) && !ec) {
            return std::nullopt;
        }
        const descriptor handle(file, O_RDONLY);
        std::string content;
        std::string buf(std::size_t{64} * 1024, '\0');
        for (;;) {
            const ssize_t n = ::read(handle.get(), buf.data(), buf.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0) {
                handle.fail("read");
            }
            if (n == 0) {
                return content;
            }
            content.append(buf, 0, static_cast<std::size_t>(n));
        }
    }
    std::unique_ptr<log_file> create(const std::filesystem::path& file) override {
        return std::make_unique<posix_file>(file, O_WRONLY | O_APPEND | O_CREAT | O_TRUNC);
    }
    void rename(const std::filesystem::path& from, const std::filesystem::path& to) override {
        if (::rename(from.c_str(), to.c_str()) != 0) {
            throw io_error(to.string(), "rename", errno);
        }
    }
};

} // namespace

void create_folder(const std::filesystem::path& folder) {
    make_posix_file_system()->create_folder(folder);
}

std::shared_ptr<file_system> make_posix_file_system() {
    return std::make_shared<posix_file_system>();
}

} // namespace kingcupseam::storage
