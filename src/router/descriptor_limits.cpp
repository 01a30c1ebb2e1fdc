#include "router/descriptor_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace kingcupseam::router {

namespace {

// POSIX guarantees no more when the limit cannot be read.
constexpr std::size_t fallback_descriptors = 20;
// Each caller's request may need a connection to an upstream.
constexpr std::size_t caller_share = 2; // half
constexpr std::size_t max_service = 64;
constexpr std::size_t service_share = 16;

} // namespace

std::size_t descriptor_limit() {
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur)
                                                   : fallback_descriptors;
}

std::size_t max_caller_connections(std::size_t descriptors) {
    return std::max<std::size_t>(descriptors / caller_share, 1);
}

std::size_t max_service_connections(std::size_t descriptors) {
    return std::clamp<std::size_t>(descriptors / service_share, 1, max_service);
}

} // namespace kingcupseam::router
