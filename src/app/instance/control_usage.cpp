#include "app/instance/control_usage.h"

#include <time.h>
#include <unistd.h>

#include <fstream>

namespace kingcupseam::app {

namespace {

std::int64_t thread_processor_us() {
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<std::int64_t>(used.tv_sec) * 1'000'000 + used.tv_nsec / 1000;
}

std::int64_t resident_bytes() {
    std::int64_t total_pages = 0;
    std::int64_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return resident_pages * ::sysconf(_SC_PAGESIZE);
}

metrics::gauge& bytes_of(metrics::registry& registry, const std::string& channel,
                         const std::string& direction) {
    return registry.gauge_of("kingcupseam_control_bytes", "Payload bytes on the control links and datagrams",
                             {{"channel", channel}, {"direction", direction}});
}

} // namespace

control_usage::control_usage(metrics::registry& registry)
    : registry_(registry), datagrams_(registry.counter_of("kingcupseam_control_datagrams_received_total",
                                                          "Membership datagrams received")),
      link_bytes_sent_(bytes_of(registry, "links", "sent")),
      link_bytes_received_(bytes_of(registry, "links", "received")),
      datagram_bytes_sent_(bytes_of(registry, "datagrams", "sent")),
      datagram_bytes_received_(bytes_of(registry, "datagrams", "received")),
      processor_us_(registry.gauge_of("kingcupseam_control_processor_microseconds",
                                      "Processor time used by the control thread")),
      resident_bytes_(registry.gauge_of("kingcupseam_resident_bytes", "Resident memory of the process")) {}

void control_usage::count_frame(const transport::frame& received) {
    auto it = by_type_.find(received.type);
    if (it == by_type_.end()) {
        const metrics::label_set labels{{"type", std::to_string(static_cast<int>(received.type))}};
        it = by_type_
                 .emplace(received.type,
                          totals{registry_.counter_of("kingcupseam_control_frames_received_total",
                                                      "Frames of the control links, by type number", labels),
                                 registry_.counter_of("kingcupseam_control_frame_bytes_received_total",
                                                      "Bytes of these frames, by type number", labels)})
                 .first;
    }
    it->second.frames.add();
    it->second.bytes.add(received.payload.size() + transport::frame_header_bytes);
}

void control_usage::count_datagram() {
    datagrams_.add();
}

void control_usage::update(const peer_mesh& links, const transport::peer_server& server,
                           const transport::datagram_channel& datagrams) {
    link_bytes_sent_.set(static_cast<std::int64_t>(links.bytes_sent() + server.bytes_sent()));
    link_bytes_received_.set(static_cast<std::int64_t>(links.bytes_received() + server.bytes_received()));
    datagram_bytes_sent_.set(static_cast<std::int64_t>(datagrams.bytes_sent()));
    datagram_bytes_received_.set(static_cast<std::int64_t>(datagrams.bytes_received()));
    processor_us_.set(thread_processor_us());
    resident_bytes_.set(resident_bytes());
}

} // namespace kingcupseam::app
