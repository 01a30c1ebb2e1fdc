#pragma once

#include <kingcupseam/storage.h>

#include <functional>

namespace kingcupseam::storage {

/// While a store opens, failures that a wrong path or wrong permissions cause are not waited for.
enum class store_phase : std::uint8_t { opening, open };

/// True if a write failed since nothing more may be stored.
bool is_full(const io_error& failure);

/// Repeats @p step while it throws io_error and the policy asks for it.
/// @param waits if null, the first failure is thrown
void retry(wait_policy* waits, store_phase phase, const std::function<void()>& step);

} // namespace kingcupseam::storage
