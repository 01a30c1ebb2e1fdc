#pragma once

#include <kingcupseam/settings.h>

namespace kingcupseam::app {

/// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.
void run_instance(const settings::instance_settings& settings);

} // namespace kingcupseam::app
