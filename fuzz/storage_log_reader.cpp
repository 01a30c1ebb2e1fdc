// Opens a store on arbitrary log files: the input as it is, and pieces of it as valid records.
#include "storage/file_log_store.h"
#include "storage/record.h"

#include <cstddef>
#include <cstdint>

namespace {

using namespace kingcupseam::storage;

class null_file final : public log_file {
public:
    void append(std::string_view) override {}
    void truncate(std::uint64_t) override {}
    void sync() override {}
};

/// A file system whose only file has the given content.
class one_file_system final : public file_system {
public:
    explicit one_file_system(std::string content) : content_(std::move(content)) {}
    void create_folder(const std::filesystem::path&) override {}
    std::shared_ptr<void> lock_folder(const std::filesystem::path&) override { return nullptr; }
    bool holds_lock(const std::filesystem::path&, const std::shared_ptr<void>&) override { return true; }
    void sync_folder(const std::filesystem::path&) override {}
    std::optional<std::string> read(const std::filesystem::path&) override { return content_; }
    std::unique_ptr<log_file> create(const std::filesystem::path&) override {
        return std::make_unique<null_file>();
    }
    void rename(const std::filesystem::path&, const std::filesystem::path&) override {}

private:
    std::string content_;
};

void open_store(std::string content) {
    try {
        const auto store = open_log_store_on(std::make_shared<one_file_system>(std::move(content)), "data");
        (void)store->entries(store->first_index(), 1 << 20);
    } catch (const corrupt_log&) { // NOLINT(bugprone-empty-catch): the expected typed error
    }
}

/// Wraps pieces of the input in valid records, so that the fuzzer passes the checksums.
std::string as_records(std::string_view input) {
    constexpr std::uint64_t identity = 1;
    std::string out;
    add_record(out, identity_payload(identity), 0);
    while (!input.empty()) {
        const auto size = static_cast<std::size_t>(static_cast<unsigned char>(input.front()));
        input.remove_prefix(1);
        const std::string_view piece = input.substr(0, size);
        add_record(out, piece, identity + out.size());
        input.remove_prefix(piece.size());
    }
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string input(data, data + size);
    open_store(input);
    open_store(as_records(input));
    return 0;
}
