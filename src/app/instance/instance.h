#pragma once

#include <kingcupseam/settings.h>

namespace kingcupseam::app {

/// Runs an instance until it is asked to stop by SIGTERM or SIGINT; then it shuts down gracefully.
void run_instance(const settings::instance_settings& settings);

} // namespace kingcupseam::app
