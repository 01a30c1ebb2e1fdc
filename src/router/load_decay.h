#pragma once

#include <kingcupseam/types.h>

namespace kingcupseam::router {

inline constexpr duration load_decay_interval = std::chrono::milliseconds(500);
/// The load halves in 1.6 s, about a third of the duration of a hot key.
inline constexpr double load_decay_factor = 0.8;

} // namespace kingcupseam::router
