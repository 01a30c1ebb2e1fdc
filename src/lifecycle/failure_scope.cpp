#include <kingcupseam/lifecycle.h>

namespace kingcupseam::lifecycle {

failure_scope scope_of(const std::exception& failure) noexcept {
    const bool ends_process = dynamic_cast<const unrecoverable_error*>(&failure) != nullptr ||
                              dynamic_cast<const io_error*>(&failure) != nullptr ||
                              dynamic_cast<const stop_requested_error*>(&failure) != nullptr;
    return ends_process ? failure_scope::process : failure_scope::handler;
}

} // namespace kingcupseam::lifecycle
