#pragma once

#include <kingcupseam/transport.h>

namespace kingcupseam::router {

/// Links between entries and control instances. Heartbeats are rare because each costs processor time at both
/// ends. A link is closed after three missed ones, well within the 3 s after which users regard an instance
/// as unreachable.
inline transport::link_options control_link_settings() {
    transport::link_options result;
    result.heartbeat_interval = std::chrono::milliseconds(400);
    result.heartbeat_timeout = std::chrono::milliseconds(1300);
    // Three round trips between regions. A machine that lost power does not answer and restarts within
    // seconds.
    result.connect_timeout = std::chrono::milliseconds(250);
    result.redial_delay = std::chrono::milliseconds(150);
    result.compress = true;
    return result;
}

/// Links between entries. Most are idle at any moment. A silent one gets no further requests early on, since
/// they would wait.
inline transport::link_options gate_link_settings() {
    transport::link_options result = control_link_settings();
    result.heartbeat_when_idle = false;
    result.heartbeat_interval = std::chrono::milliseconds(250);
    result.heartbeat_timeout = std::chrono::milliseconds(800);
    // A request that may run once is lost with its connection, also when the gate was only slow.
    result.silence_limit = std::chrono::seconds(3);
    result.read_buffer_bytes = 4 * 1024; // requests are small, and there may be a link to every other entry
    return result;
}

} // namespace kingcupseam::router
