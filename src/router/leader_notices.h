#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace kingcupseam::router {

/// The leader of the control group as one control instance tells it to another.
struct leader_notice {
    std::string name;
    std::uint64_t term = 0;
    time_point heard; ///< from the leader or a member that follows it
};

/// The newest leader that other control instances tell of. An instance that is no member of the group learns
/// of the leader by this alone.
class leader_notices {
public:
    explicit leader_notices(duration max_age) : max_age_(max_age) {}

    /// @returns true if the leader or its term is new
    bool add(const leader_notice& notice);
    /// @returns nullopt if nobody has told of a leader for the longest age
    std::optional<leader_notice> current(time_point now) const;

private:
    duration max_age_;
    leader_notice newest_;
};

} // namespace kingcupseam::router
