#include "storage/log_image.h"

namespace kingcupseam::storage {

corrupt_log::corrupt_log(const std::string& path, std::uint64_t offset, const std::string& problem)
    : error(path + ": offset " + std::to_string(offset) + ": " + problem) {}

folder_replaced::folder_replaced(const std::string& path)
    : error(path + ": the folder was replaced or removed while it was in use") {}

namespace {

class memory_log_store final : public log_store {
public:
    explicit memory_log_store(std::uint64_t identity) { image_.identity = identity; }

    std::uint64_t identity() const override { return image_.identity; }
    hard_state load_hard_state() const override { return image_.state; }
    void save_hard_state(const hard_state& state) override { image_.state = state; }
    std::uint64_t first_index() const override { return image_.base_index() + 1; }
    std::uint64_t last_index() const override { return image_.last_index(); }
    std::optional<std::uint64_t> term_at(std::uint64_t index) const override { return image_.term_at(index); }
    std::vector<entry> entries(std::uint64_t first, std::size_t max_bytes) const override {
        return image_.read(first, max_bytes);
    }
    std::size_t entry_bytes() const override { return image_.entry_bytes; }
    void append(std::span<const entry> batch) override {
        if (!image_.continues(batch)) {
            throw invalid_input("log store", "index", "must continue the log without a gap");
        }
        image_.append(batch);
    }
    void truncate_after(std::uint64_t index) override { image_.truncate_after(index); }
    void save_snapshot(const snapshot& state) override { image_.install(state); }
    std::optional<snapshot> load_snapshot() const override { return image_.base; }

private:
    log_image image_;
};

} // namespace

std::unique_ptr<log_store> make_memory_log_store(std::uint64_t identity) {
    return std::make_unique<memory_log_store>(identity);
}

} // namespace kingcupseam::storage
