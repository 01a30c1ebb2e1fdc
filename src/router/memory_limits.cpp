#include "router/memory_limits.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>

namespace kingcupseam::router {

namespace {

constexpr std::size_t megabyte = 1'000'000;
// An answer that grows is copied once, and the process needs up to half of a small machine for other
// purposes.
constexpr std::size_t share_of_answers = 8; // an eighth
constexpr std::size_t min_answer_bytes = 4 * megabyte;
constexpr std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
// The oldest body may take up 64 MiB more, so the others get little of a small machine.
constexpr std::size_t share_of_bodies = 16; // a sixteenth
constexpr std::size_t min_body_bytes = 4 * megabyte;
constexpr int large_buffer_bytes = 1024 * 1024;

std::size_t machine_memory() {
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && page_bytes > 0
               ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes)
               : 0;
}

std::size_t memory_of(std::int64_t memory_mb) {
    return memory_mb > 0 ? static_cast<std::size_t>(memory_mb) * megabyte : machine_memory();
}

} // namespace

std::size_t max_unfinished_answers(std::int64_t memory_mb) {
    return std::clamp(memory_of(memory_mb) / share_of_answers, min_answer_bytes, max_answer_bytes);
}

std::size_t max_long_bodies(std::int64_t memory_mb) {
    return std::max(memory_of(memory_mb) / share_of_bodies, min_body_bytes);
}

void return_large_buffers() {
    ::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes); // also ends its adaptation
    ::mallopt(M_TRIM_THRESHOLD, large_buffer_bytes);
}

} // namespace kingcupseam::router
