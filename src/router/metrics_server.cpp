#include "router/metrics_server.h"

#include "router/descriptor_limits.h"

#include <kingcupseam/logging.h>

namespace kingcupseam::router {

std::unique_ptr<app::http_server> make_metrics_server(asio::io_context& context,
                                                      const process_settings& settings,
                                                      metrics::registry& registry) {
    if (settings.metrics_port == 0) {
        return nullptr;
    }
    app::http_server_options options;
    options.name = "metrics";
    options.max_connections = max_service_connections(descriptor_limit());
    options.listen = {settings.ip, settings.metrics_port};
    return std::make_unique<app::http_server>(
        context, options, [&registry](const app::http_request&, const app::http_reply& reply) {
            registry.gauge_of("log_lines_dropped", "log lines that the output did not take")
                .set(static_cast<std::int64_t>(logging::dropped_lines()));
            reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, registry.prometheus_text(), false});
        });
}

} // namespace kingcupseam::router
