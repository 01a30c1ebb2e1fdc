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

/// A caller's request as the dispatcher sees it.
struct caller_request {
    std::string id; ///< of this attempt of the caller
    std::string method;
    std::string target; ///< path and query as sent
    std::string host;
    std::optional<directory::key_number> key;
    std::optional<duration> time_limit; ///< how long the caller waits
    app::header_list headers;           ///< that are passed on
    std::string body;
    std::uint64_t connection = 0;
};

/// Load that an upstream reports with an answer.
struct reported_load {
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
};

/// What an upstream's answer says beside its bytes.
struct answer_metadata {
    bool not_executed = false;     ///< the upstream states that the request did not run
    bool unproven_refusal = false; ///< its status promises that nothing ran, but the upstream does not say so
    bool wrong_upstream = false;   ///< it is another upstream, or does not hold the key
    bool authentic = false;        ///< carries the upstream's signature, and the body as it was made
    std::optional<reported_load> load;
};

/// A report of an upstream about itself.
struct announcement {
    directory::upstream upstream;
    std::int64_t sequence = 0; ///< increases with each report of one life
    duration warm_up_left{};   ///< for which it is slower than usual
};

/// What control instances offer to upstreams and operators. @p done is called once on the control thread.
class control_api {
public:
    using on_accepted = std::function<void(bool accepted)>;
    /// The document in force, or empty when this instance cannot be sure which one is the newest.
    using on_document = std::function<void(std::optional<std::string> document)>;

    control_api() = default;
    control_api(const control_api&) = delete;
    control_api& operator=(const control_api&) = delete;
    virtual ~control_api() = default;

    virtual void announce(announcement report, on_accepted done) = 0;
    /// The upstream ends, or has ended.
    virtual void depart(std::string upstream_id, on_accepted done) = 0;
    /// Accepted once it is committed; one that is not newer changes nothing and is accepted too.
    virtual void accept_configuration(directory::configuration wanted, on_accepted done) = 0;
    virtual void read_configuration(on_document done) = 0;
};

/// The forms in which callers, upstreams and operators speak. An implementation translates and decides
/// nothing.
class protocol_adapter {
public:
    protocol_adapter() = default;
    protocol_adapter(const protocol_adapter&) = delete;
    protocol_adapter& operator=(const protocol_adapter&) = delete;
    virtual ~protocol_adapter() = default;

    /// Header that carries the request's id, also in answers of upstreams.
    virtual std::string id_header() const = 0;
    /// @throws invalid_input
    virtual caller_request read_request(app::http_request received) const = 0;
    /// Bytes of a request to an upstream.
    /// @param left time after which the upstream stops work
    virtual std::string write_attempt(const caller_request& request, const directory::upstream& target,
                                      duration left) const = 0;
    virtual answer_metadata read_answer(const caller_request& request,
                                        const app::http_response& answer) const = 0;
    /// Leaves out what concerns only the connection to the upstream.
    virtual app::http_response write_answer(app::http_response answer) const = 0;
    virtual app::http_response write_readiness(bool ready) const = 0;

    virtual std::string write_call(const key_ranges::call& order) const = 0;
    /// Token of an answered release; empty when there is none.
    virtual std::string read_handover(const app::http_response& answer) const = 0;

    /// Serves upstreams and operators. @p reply is called later, on the control thread.
    virtual void serve_control(app::http_request received, const app::http_reply& reply,
                               control_api& api) const = 0;
};

} // namespace kingcupseam::router
