#pragma once

#include <kingcupseam/types.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace kingcupseam::router {

/// What became of a request that occupied a slot of an upstream.
enum class slot_result : std::uint8_t {
    in_time, ///< answered within the target latency
    late,    ///< answered after it
    lost,    ///< refused by the upstream, failed, or withdrawn
};

/// How an entry used the slots of upstreams since the last log line, and how long requests waited on the way
/// to them. Tells idle slots, slots that worked for late answers, full queues and slow links apart.
class slot_usage {
public:
    void on_sent(duration waited) {
        ++sent_;
        waited_ += waited;
    }
    void on_ended(slot_result result, duration occupied) { occupied_.at(index_of(result)) += occupied; }
    void on_refused() { ++refused_; }
    /// @param on_links time of a forwarded request that did not pass at its gate
    void on_forwarded(duration on_links) {
        ++forwarded_;
        on_links_ += on_links;
    }
    /// Text of the log line; nullopt when no request was late, lost or refused. Starts a new period.
    std::optional<std::string> take(int slots, std::size_t waiting, time_point now);

private:
    static std::size_t index_of(slot_result result) { return static_cast<std::size_t>(result); }

    time_point since_ = steady_now();
    std::array<duration, 3> occupied_{}; ///< by slot_result
    int sent_ = 0;
    int refused_ = 0;
    int forwarded_ = 0;
    duration waited_{};
    duration on_links_{};
};

} // namespace kingcupseam::router
