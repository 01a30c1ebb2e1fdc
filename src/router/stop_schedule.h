#pragma once

#include <kingcupseam/types.h>

#include <cstdint>

namespace kingcupseam::router {

enum class stop_step : std::uint8_t {
    serve,  ///< new requests are still served
    refuse, ///< new requests are refused from now on
    end,    ///< the process ends
};

/// Decides what a stopping entry does, from looks at it at short intervals. Its end cuts the requests that it
/// has accepted, so it ends only if it is idle at a look before which it accepted nothing.
class stop_schedule {
public:
    /// @param grace_period between the stop signal and the kill signal
    explicit stop_schedule(duration grace_period) : grace_period_(grace_period) {}

    /// By when, after the stop signal, every request must have ended.
    duration last_deadline() const;
    /// @param elapsed since the stop signal
    /// @param idle whether no request is in flight and no answer waits to be sent
    stop_step next(duration elapsed, bool idle);

private:
    duration grace_period_;
    bool refusing_ = false; ///< since the last look or longer
};

} // namespace kingcupseam::router
