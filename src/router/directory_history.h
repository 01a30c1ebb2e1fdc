#pragma once

#include <kingcupseam/directory.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace kingcupseam::router {

/// The newest states of the directory, from which differences are encoded. Bounded in number and in bytes;
/// the newest state is always kept.
class directory_history {
public:
    /// @param state newer than all others, or in place of one with the same index
    void add(const directory::snapshot_ptr& state);
    bool contains(std::uint64_t index) const { return states_.contains(index); }
    /// @throws std::out_of_range if the state is not kept
    const directory::snapshot& at(std::uint64_t index) const { return *states_.at(index).state; }

private:
    struct kept_state {
        directory::snapshot_ptr state;
        std::size_t own_bytes = 0;
        std::size_t config_bytes = 0; ///< of its configuration, which the neighbouring states may share
    };

    std::size_t config_bytes(const directory::snapshot& state) const;
    void drop_old();

    std::map<std::uint64_t, kept_state> states_; ///< by index
};

} // namespace kingcupseam::router
