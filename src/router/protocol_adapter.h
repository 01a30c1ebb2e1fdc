#pragma once

#include "app/http_server.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/key_ranges.h>
#include <kingcupseam/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupseam::router {

/// A caller's request, independent of the protocol.
struct caller_request {
    std::string id; ///< differs between attempts of the caller
    std::string method;
    std::string target; ///< path and query as received
    std::string host;
    std::optional<directory::key_number> key;
    std::optional<duration> time_limit; ///< how long the caller waits for the answer
    app::header_list headers;           ///< headers to forward
    app::shared_bytes body;
    std::uint64_t connection = 0;
};

/// Number of requests and slots that an upstream reports with an answer.
struct reported_load {
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
};

/// What an upstream asks of its callers in an answer.
struct backpressure {
    /// Requests per second that it accepts from all instances together, until an answer names another limit
    /// or none.
    std::optional<double> max_rate;
    duration pause{};     ///< time for which it wants no requests from this instance
    bool leaving = false; ///< it is about to stop
    bool operator==(const backpressure&) const = default;
};

/// Properties of an upstream's answer.
struct answer_metadata {
    bool not_executed = false; ///< the upstream states that the request did not run
    /// The status implies that the request did not run, but the upstream does not state it.
    bool unproven_refusal = false;
    bool wrong_upstream = false; ///< sent to the wrong upstream, or to one that does not own the key
    bool authentic = false;      ///< carries the upstream's signature and an unmodified body
    std::optional<reported_load> load;
    backpressure asked;
};

/// A report of an upstream about itself.
struct announcement {
    directory::upstream upstream;
    std::int64_t sequence = 0; ///< increases with each report of an incarnation
    duration warm_up_left{};   ///< remaining time in which it is slower than usual
};

/// Operations of control instances for upstreams and operators. Each calls @p done once on the control
/// thread.
class control_api {
public:
    using on_accepted = std::function<void(bool accepted)>;
    /// The configuration in force; empty when this instance does not know the newest one.
    using on_document = std::function<void(std::optional<std::string> document)>;

    control_api() = default;
    control_api(const control_api&) = delete;
    control_api& operator=(const control_api&) = delete;
    virtual ~control_api() = default;

    virtual void announce(announcement report, on_accepted done) = 0;
    /// The upstream is stopping or has stopped.
    virtual void depart(std::string upstream_id, on_accepted done) = 0;
    /// Accepted when committed. A configuration that is not newer is accepted without a change.
    virtual void accept_configuration(directory::configuration wanted, on_accepted done) = 0;
    virtual void read_configuration(on_document done) = 0;
};

/// Translates between the protocols of callers, upstreams and operators and the types of the router. An
/// implementation makes no routing decisions.
class protocol_adapter {
public:
    protocol_adapter() = default;
    protocol_adapter(const protocol_adapter&) = delete;
    protocol_adapter& operator=(const protocol_adapter&) = delete;
    virtual ~protocol_adapter() = default;

    /// Header with the request id, in requests and in answers of upstreams.
    virtual std::string id_header() const = 0;
    /// @throws invalid_input
    virtual caller_request read_request(app::http_request received) const = 0;
    /// Serializes a request to an upstream up to its body, which follows unchanged.
    /// @param left time after which the upstream stops working on it
    virtual std::string write_attempt(const caller_request& request, const directory::upstream& target,
                                      duration left) const = 0;
    virtual answer_metadata read_answer(const caller_request& request,
                                        const app::http_response& answer) const = 0;
    /// Removes headers that concern only the connection to the upstream.
    virtual app::http_response write_answer(app::http_response answer) const = 0;
    virtual app::http_response write_readiness(bool ready) const = 0;

    /// Serializes a grant or release to an upstream.
    virtual std::string write_call(const key_ranges::call& call) const = 0;
    /// Handover token in the answer to a release; empty when there is none.
    virtual std::string read_handover(const app::http_response& answer) const = 0;

    /// Handles requests of upstreams and operators. @p reply is called on the control thread.
    virtual void serve_control(app::http_request received, const app::http_reply& reply,
                               control_api& api) const = 0;
};

} // namespace kingcupseam::router
