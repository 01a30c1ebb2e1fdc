#include "router/directory_history.h"

namespace kingcupseam::router {

namespace {

// More changes than are made while the entries subscribe to another control instance.
constexpr std::size_t max_states = 64;
// Control instances have 256 MB; a configuration with 10,000 routes takes up about 6 MB.
constexpr std::size_t max_bytes = std::size_t{32} * 1024 * 1024;

} // namespace

void directory_history::add(const directory::snapshot_ptr& state) {
    const kept_state added{state, directory::memory_bytes(*state), config_bytes(*state)};
    states_.insert_or_assign(state->index, added);
    drop_old();
}

std::size_t directory_history::config_bytes(const directory::snapshot& state) const {
    if (!state.config) {
        return 0;
    }
    if (!states_.empty() && states_.rbegin()->second.state->config == state.config) {
        return states_.rbegin()->second.config_bytes;
    }
    return directory::memory_bytes(*state.config);
}

void directory_history::drop_old() {
    std::size_t bytes = 0;
    std::size_t kept = 0;
    const directory::configuration* counted = nullptr;
    auto it = states_.rbegin();
    for (; it != states_.rend(); ++it) {
        const kept_state& older = it->second;
        bytes += older.own_bytes;
        if (older.state->config.get() != counted) {
            counted = older.state->config.get();
            bytes += older.config_bytes;
        }
        if (kept > 0 && (kept == max_states || bytes > max_bytes)) {
            break;
        }
        ++kept;
    }
    states_.erase(states_.begin(), it.base());
}

} // namespace kingcupseam::router
