#pragma once

#include "app/instance/peer_mesh.h"

#include <kingcupseam/metrics.h>

#include <map>

namespace kingcupseam::app {

/// Metrics of the control thread's traffic, processor time and memory; docs/CAPACITY.md uses them. All
/// members must be called on that thread.
class control_usage {
public:
    explicit control_usage(metrics::registry& registry);

    /// Counts a frame passed to the control thread's frame handler. Replies to requests and heartbeats do not
    /// reach the handler; they are included only in the byte totals.
    void count_frame(const transport::frame& received);
    void count_datagram();
    /// Writes the byte totals, the processor time and the memory use to the registry.
    void update(const peer_mesh& links, const transport::peer_server& server,
                const transport::datagram_channel& datagrams);

private:
    struct totals {
        metrics::counter& frames;
        metrics::counter& bytes;
    };
    metrics::registry& registry_;
    std::map<transport::frame_type, totals> by_type_;
    metrics::counter& datagrams_;
    metrics::gauge& link_bytes_sent_;
    metrics::gauge& link_bytes_received_;
    metrics::gauge& datagram_bytes_sent_;
    metrics::gauge& datagram_bytes_received_;
    metrics::gauge& processor_us_;
    metrics::gauge& resident_bytes_;
};

} // namespace kingcupseam::app
