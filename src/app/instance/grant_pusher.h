#pragma once

#include "app/http_client.h"
#include "app/instance/routing_view.h"

#include <kingcupseam/ownership.h>

#include <functional>
#include <memory>
#include <string>

namespace kingcupseam::app {

/// Pushes grants to one upstream over connections of its own, so that a silent data connection does not end
/// the grant.
class grant_pusher {
public:
    struct load_report {
        std::uint32_t in_flight = 0;
        std::uint32_t slots = 0;
    };
    struct observer {
        std::function<void(time_point now)> on_answered; ///< the upstream answered a grant
        std::function<void(time_point now)> on_refused;  ///< nothing listens at the upstream's address
        std::function<void(const load_report&)> on_load;
    };

    grant_pusher(asio::io_context& context, std::string address, duration lease, duration interval,
                 observer callbacks);
    ~grant_pusher();
    grant_pusher(const grant_pusher&) = delete;
    grant_pusher& operator=(const grant_pusher&) = delete;

    void assign(ownership::epoch_number epoch, ownership::epoch_number version,
                ownership::grant_holder::scope granted);
    void push_due(time_point now, time_point gate_lease_end);
    ownership::grant_issuer& issuer() noexcept { return issuer_; }
    const ownership::grant_issuer& issuer() const noexcept { return issuer_; }
    /// True after two pushes in a row failed: the upstream is lost or frozen.
    bool failing() const noexcept { return issuer_.failures() >= 2; }
    /// Version that the upstream last acknowledged.
    ownership::epoch_number acknowledged_version() const noexcept { return acknowledged_; }
    bool contacted() const noexcept { return contacted_; }

private:
    void push(const ownership::grant_issuer::grant& granted);
    void on_result(const http_result& result, time_point sent);
    void on_answer(const http_response& answer, time_point sent, time_point now);

    std::string address_;
    duration interval_;
    observer callbacks_;
    http_client client_;
    ownership::grant_issuer issuer_;
    ownership::grant_holder::scope scope_;
    ownership::epoch_number acknowledged_ = 0;
    bool contacted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kingcupseam::app
