#pragma once

#include "router/protocol_adapter.h"
#include "router/settings.h"

#include <functional>

namespace kingcupseam::router {

/// Reads the settings. Called at the start, on SIGHUP and every few seconds, since settings may change
/// without a signal. Throws invalid_input or io_error.
using settings_source = std::function<process_settings()>;

/// Runs an entry until SIGTERM or SIGINT, then completes the requests in flight.
void run_entry(const settings_source& read_settings, const protocol_adapter& protocol);
/// Runs a control instance until SIGTERM or SIGINT.
void run_control(const settings_source& read_settings, const protocol_adapter& protocol);

} // namespace kingcupseam::router
