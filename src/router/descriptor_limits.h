#pragma once

#include <cstddef>

namespace kingcupseam::router {

/// Descriptors that the process may have open.
std::size_t descriptor_limit();
/// Connections that the main server of a process accepts at once, so that descriptors are left for links,
/// upstreams and files. @param descriptors as descriptor_limit()
std::size_t max_caller_connections(std::size_t descriptors);
/// Connections that a server for readiness checks or metrics accepts at once.
std::size_t max_service_connections(std::size_t descriptors);

} // namespace kingcupseam::router
