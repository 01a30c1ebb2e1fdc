#pragma once

#include "app/http_server.h"
#include "app/instance/gate_request.h"
#include "app/instance/peer_mesh.h"

#include <kingcupseam/admission.h>
#include <kingcupseam/metrics.h>
#include <kingcupseam/settings.h>

#include <functional>
#include <memory>
#include <string>

namespace kingcupseam::app {

/// The entry role of an instance: accepts callers' requests, matches them to a profile's rules and forwards
/// them to the gate of the key's owner. Runs on the entry thread.
class entry {
public:
    /// Passes a request to the gate role of this instance; the reply is called on the entry thread.
    using local_gate = std::function<void(const wire::ForwardRequest&, gate_reply)>;

    entry(asio::io_context& context, const settings::instance_settings& settings, std::uint64_t incarnation,
          const view_holder& views, metrics::registry& registry, local_gate gate);

    /// Connects to the gates of a new view, so that no request waits for a connection.
    void on_view_changed();
    /// Refuses new requests; those in flight continue.
    void begin_shutdown();
    std::size_t in_flight() const noexcept { return in_flight_; }
    void stop();

private:
    struct in_flight_request {
        wire::ForwardRequest request;
        http_reply reply;
        rank priority = rank::urgent;
        time_point arrived;
        time_point deadline;
        bool may_have_run = false; ///< an attempt was lost after it may have reached its gate
        refusal last_refusal = refusal::no_owner;
        std::uint32_t attempts = 0;
    };
    using request_ptr = std::shared_ptr<in_flight_request>;

    void handle(const http_request& request, http_reply reply);
    request_ptr make_request(const http_request& request, const profile::match& matched,
                             http_reply reply) const;
    void route(const request_ptr& it);
    void forward(const request_ptr& it, const std::string& instance);
    void on_reply(const request_ptr& it, const transport::reply& received);
    void on_response(const request_ptr& it, const wire::ForwardResponse& response);
    bool should_retry(const in_flight_request& it, const wire::ForwardResponse& response) const;
    void schedule_reroute(const request_ptr& it);
    void finish(const request_ptr& it, const wire::ForwardResponse& response);
    void count_response(const in_flight_request& it, const wire::ForwardResponse& response);

    asio::io_context& context_;
    const settings::instance_settings& settings_;
    const view_holder& views_;
    metrics::registry& registry_;
    local_gate gate_;
    peer_mesh mesh_;
    std::unique_ptr<http_server> server_;
    std::size_t in_flight_ = 0;
    std::uint64_t next_request_ = 1;
    bool stopping_ = false;
};

} // namespace kingcupseam::app
