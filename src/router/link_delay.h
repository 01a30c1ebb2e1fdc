#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <optional>

namespace kingcupseam::router {

/// Measures by how much messages of one connection were held up, from the stamps that their sender put on
/// them. The clocks of both ends may have any difference: a message is compared with the fastest one before.
class link_delay {
public:
    /// @returns the stamp of a message that is sent at @p now: eighths of a millisecond, modulo 2^20
    static std::int32_t stamp(time_point now);

    /// @returns the time that a message took beyond the fastest one, in whole milliseconds, rounded up; zero
    /// for the first message. The clocks may drift apart by 500 parts per million.
    duration add(std::int32_t sent, time_point received);

private:
    /// The message that was fastest, allowing for drift: its apparent time on the way, and when it came.
    struct reference {
        duration apparent{};
        time_point received;
    };
    std::optional<reference> fastest_;
};

} // namespace kingcupseam::router
