#pragma once

#include "app/http_server.h"
#include "app/instance/control_context.h"
#include "app/instance/data_center_tier.h"
#include "app/instance/global_tier.h"

#include <memory>
#include <string>

namespace kingcupseam::app {

/// HTTP API for operators and the platform: profiles, status, metrics, readiness and liveness.
class operator_api {
public:
    operator_api(control_context& shared, global_tier& global, data_center_tier& data_center,
                 const routing_view& view);

    /// Makes the readiness check fail, so that the platform's load balancer sends no new callers.
    void set_stopping() noexcept { stopping_ = true; }
    void stop();

private:
    void handle(const http_request& request, const http_reply& reply);
    void accept_profile(const std::string& name, const http_request& request, const http_reply& reply);
    http_response list_profiles() const;
    http_response show_profile(const std::string& name) const;
    http_response status() const;
    bool ready() const;
    bool authorized(const http_request& request) const;

    control_context& shared_;
    global_tier& global_;
    data_center_tier& data_center_;
    const routing_view& view_;
    bool stopping_ = false;
    std::unique_ptr<http_server> server_;
};

} // namespace kingcupseam::app
