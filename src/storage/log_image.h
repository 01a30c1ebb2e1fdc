#pragma once

#include <kingcupseam/storage.h>

#include <deque>

namespace kingcupseam::storage {

/// In-memory content of a log store, from which both kinds of store serve reads.
struct log_image {
    std::uint64_t identity = 0;
    hard_state state;
    std::optional<snapshot> base; ///< state before the first entry
    std::deque<entry> entries;
    std::size_t entry_bytes = 0; ///< of the data of all entries

    std::uint64_t base_index() const { return base ? base->index : 0; }
    std::uint64_t last_index() const { return base_index() + entries.size(); }
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    std::vector<entry> read(std::uint64_t first, std::size_t max_bytes) const;
    /// True if @p batch continues the log without a gap.
    bool continues(std::span<const entry> batch) const;
    void append(std::span<const entry> batch);
    void truncate_after(std::uint64_t index);
    /// Replaces the snapshot, and removes the entries that it covers, or all if they do not continue it.
    void install(const snapshot& next);
};

} // namespace kingcupseam::storage
