#pragma once

#include <kingcupseam/types.h>

#include <atomic>
#include <string_view>

namespace kingcupseam::logging {

/// Writes to a pipe, terminal or file whose reader may be slow or gone. O_NONBLOCK isn't used: it would hold
/// for every process that shares the file description.
class bounded_writer {
public:
    /// @param descriptor stays open and belongs to the caller
    explicit bounded_writer(int descriptor) noexcept : descriptor_(descriptor) {}

    /// Waits for room until the end that end_at() sets. A line that follows a torn one starts on a new line.
    /// @returns false if the line or its rest was dropped: no room in time, or an error such as EPIPE, ENOSPC
    bool write(std::string_view line);
    /// From @p end on, writes don't wait. Thread-safe, also during a write.
    void end_at(time_point end) noexcept { end_ = end; }

private:
    bool write_all(std::string_view text);
    bool wait_for_room() const;

    int descriptor_;
    std::atomic<time_point> end_{time_point::max()};
    bool torn_ = false; ///< the last line was written in part
};

} // namespace kingcupseam::logging
