#include "storage/log_image.h"

#include <numeric>

namespace kingcupseam::storage {

namespace {

template <typename Iterator>
std::size_t data_bytes(Iterator first, Iterator last) {
    return std::accumulate(first, last, std::size_t{0},
                           [](std::size_t sum, const entry& it) { return sum + it.data.size(); });
}

} // namespace

std::optional<std::uint64_t> log_image::term_at(std::uint64_t index) const {
    if (index == base_index()) {
        return base ? base->term : 0;
    }
    if (index < base_index() || index > last_index()) {
        return std::nullopt;
    }
    return entries[index - base_index() - 1].term;
}

std::vector<entry> log_image::read(std::uint64_t first, std::size_t max_bytes) const {
    std::vector<entry> result;
    std::size_t bytes = 0;
    if (first <= base_index()) {
        return result;
    }
    for (std::uint64_t n = first; n <= last_index(); ++n) {
        const entry& it = entries[n - base_index() - 1];
        bytes += it.data.size();
        if (!result.empty() && bytes > max_bytes) {
            break;
        }
        result.push_back(it);
    }
    return result;
}

bool log_image::continues(std::span<const entry> batch) const {
    std::uint64_t expected = last_index();
    for (const entry& it : batch) {
        if (it.index != ++expected) {
            return false;
        }
    }
    return true;
}

void log_image::append(std::span<const entry> batch) {
    entries.insert(entries.end(), batch.begin(), batch.end());
    entry_bytes += data_bytes(batch.begin(), batch.end());
}

void log_image::truncate_after(std::uint64_t index) {
    const std::uint64_t kept = index > base_index() ? index - base_index() : 0;
    if (kept < entries.size()) {
        entry_bytes -= data_bytes(entries.begin() + static_cast<std::ptrdiff_t>(kept), entries.end());
        entries.resize(kept);
    }
}

void log_image::install(const snapshot& next) {
    if (term_at(next.index) == next.term && next.index >= base_index()) {
        const auto covered = static_cast<std::ptrdiff_t>(next.index - base_index());
        entry_bytes -= data_bytes(entries.begin(), entries.begin() + covered);
        entries.erase(entries.begin(), entries.begin() + covered);
    } else {
        entries.clear();
        entry_bytes = 0;
    }
    base = next;
}

} // namespace kingcupseam::storage
