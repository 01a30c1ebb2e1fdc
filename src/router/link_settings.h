#pragma once

#include <kingcupseam/transport.h>

namespace kingcupseam::router {

/// Links between entries and control instances. Each heartbeat costs both ends processor time, so there are
/// few; a link is given up after three missed ones, well within the 3 s in which users count an instance as
/// out of touch.
inline transport::link_options control_link_settings() {
    transport::link_options result;
    result.heartbeat_interval = std::chrono::milliseconds(400);
    result.heartbeat_timeout = std::chrono::milliseconds(1300);
    // Three round trips between regions; a machine without power does not answer, and is back within seconds.
    result.connect_timeout = std::chrono::milliseconds(250);
    result.redial_delay = std::chrono::milliseconds(150);
    result.compress = true;
    return result;
}

/// Links between entries: most are idle at any moment, and those that carry requests are given up soon, since
/// the requests on them wait meanwhile.
inline transport::link_options gate_link_settings() {
    transport::link_options result = control_link_settings();
    result.heartbeat_when_idle = false;
    result.heartbeat_interval = std::chrono::milliseconds(250);
    result.heartbeat_timeout = std::chrono::milliseconds(800);
    result.read_buffer_bytes = 4 * 1024; // requests are small, and there may be a link to each other entry
    return result;
}

} // namespace kingcupseam::router
