#pragma once

#include "app/http_server.h"
#include "router/settings.h"

#include <kingcupseam/metrics.h>

#include <asio.hpp>

#include <memory>

namespace kingcupseam::router {

/// Serves the registry as Prometheus text on the metrics port; null when the settings name none.
std::unique_ptr<app::http_server>
make_metrics_server(asio::io_context& context, const process_settings& settings, metrics::registry& registry);

} // namespace kingcupseam::router
