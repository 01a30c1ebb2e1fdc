#pragma once

#include <cstddef>
#include <cstdint>

namespace kingcupseam::router {

/// Bytes that all unfinished answers of upstreams may take up together.
/// @param memory_mb memory of the machine in 10^6 bytes; 0: as the kernel reports it
std::size_t max_unfinished_answers(std::int64_t memory_mb);

/// Bytes that all long request bodies may take up together, except for the oldest one's.
std::size_t max_long_bodies(std::int64_t memory_mb);

/// Makes the allocator give large buffers back to the system when they are freed. By default it learns to
/// keep buffers of up to 32 MiB, and what it keeps in pieces is of no use for the next large one.
void return_large_buffers();

} // namespace kingcupseam::router
