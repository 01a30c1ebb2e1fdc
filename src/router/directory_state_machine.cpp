#include "router/directory_state_machine.h"

#include <kingcupseam/error.h>

#include <spdlog/spdlog.h>

namespace kingcupseam::router {

std::string directory_state_machine::apply(const std::string& command, std::uint64_t index) {
    try {
        state_ = std::make_shared<const directory::snapshot>(
            directory::apply(*state_, directory::decode_command(command), index));
    } catch (const invalid_input& e) {
        // All members ignore the same entries, so their states stay equal.
        spdlog::error("directory entry ignored index={} problem=\"{}\"", index, e.what());
    }
    on_change_();
    return {};
}

void directory_state_machine::restore(const std::string& saved) {
    state_ = std::make_shared<const directory::snapshot>(directory::decode_snapshot(saved));
    on_change_();
}

} // namespace kingcupseam::router
