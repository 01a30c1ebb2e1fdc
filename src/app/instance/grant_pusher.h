#pragma once

#include "app/http_client.h"
#include "app/instance/routing_view.h"

#include <kingcupseam/ownership.h>

#include <functional>
#include <memory>
#include <string>

namespace kingcupseam::app {

/// Sends grants to one upstream. It has its own connections, so that an unresponsive data connection does not
/// let the grant expire.
class grant_pusher {
public:
    struct load_report {
        std::uint32_t in_flight = 0;
        std::uint32_t slots = 0;
    };
    struct observer {
        std::function<void(time_point now)> on_answered; ///< the upstream answered a push
        std::function<void(time_point now)> on_refused;  ///< the upstream refused the connection
        std::function<void(const load_report&)> on_load;
    };

    grant_pusher(asio::io_context& context, std::string address, duration lease, duration interval,
                 observer callbacks);
    ~grant_pusher();
    grant_pusher(const grant_pusher&) = delete;
    grant_pusher& operator=(const grant_pusher&) = delete;

    /// Sets the grant to push.
    void assign(ownership::epoch_number epoch, ownership::epoch_number version,
                ownership::grant_holder::scope granted);
    /// Sends the next push if it is due.
    void push_if_due(time_point now, time_point gate_lease_end);
    ownership::grant_issuer& issuer() noexcept { return issuer_; }
    const ownership::grant_issuer& issuer() const noexcept { return issuer_; }
    /// True after two successive pushes failed, which means that the upstream is lost or frozen.
    bool failing() const noexcept { return issuer_.failures() >= 2; }
    /// Version of the last grant that the upstream acknowledged.
    ownership::epoch_number acknowledged_version() const noexcept { return acknowledged_; }
    /// True once the upstream has answered a push.
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
