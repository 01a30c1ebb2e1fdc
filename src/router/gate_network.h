#pragma once

#include "app/http_server.h"
#include "router/protocol_adapter.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// A request that an entry forwards to the gate of its upstream.
struct routed_request {
    caller_request request;
    std::string service;
    execution runs = execution::idempotent;
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    std::int32_t hops = 1;             ///< entries that have handled it so far
    duration time_left{};              ///< until the caller's or the route's limit
    duration answer_time{};            ///< of time_left, set aside for the way of the gate's own answer back
    duration target_time_left{};       ///< until the target latency; negative after it
    std::optional<std::int32_t> stamp; ///< link_delay::stamp() as it was sent; set by the link
};

enum class routed_end : std::uint8_t {
    answered,     ///< the gate's answer is the answer to the caller
    not_accepted, ///< it has not run and may be sent by another entry
    lost,         ///< the gate may have sent it to an upstream
    silent, ///< the gate has not been heard for a while; the request is still there and may be withdrawn
};

struct routed_result {
    routed_end end = routed_end::not_accepted;
    app::http_response answer; ///< when answered
    duration handled{};        ///< time at the gate, without the way there and back; when answered
    directory::upstream_incarnation answered_by{}; ///< empty id for an answer of the gate itself
};

/// Answers a forwarded request. @p answered_by as in routed_result
using routed_reply =
    std::function<void(app::http_response answer, const directory::upstream_incarnation& answered_by)>;

/// Forwards requests to other entries. The gate of an upstream is the entry of its data centre that sends all
/// requests to it, so that a single queue knows its free slots. Any entry may still send to any upstream: a
/// gate reduces waiting and traffic, and correctness does not depend on it.
class gate_network {
public:
    using on_end = std::function<void(routed_result)>;

    gate_network() = default;
    gate_network(const gate_network&) = delete;
    gate_network& operator=(const gate_network&) = delete;
    virtual ~gate_network() = default;

    /// The upstreams that have a gate.
    virtual void set_upstreams(const std::vector<const directory::upstream*>& upstreams) = 0;
    /// True when this entry is the gate of @p target or its substitute.
    virtual bool is_gate(const directory::upstream& target) = 0;
    /// Name of the gate of @p target; empty when this entry sends to the upstream itself.
    virtual std::string gate_of(const directory::upstream& target) = 0;
    /// Calls @p done once with the end, asynchronously, unless the request is withdrawn first. Before that it
    /// calls it with routed_end::silent each time that the gate falls silent, if the request may run again.
    /// @param limit time after which the request counts as lost
    /// @returns a number for withdraw()
    virtual std::uint64_t forward(const std::string& gate, routed_request request, duration limit,
                                  on_end done) = 0;
    virtual void withdraw(const std::string& gate, std::uint64_t number) = 0;
};

} // namespace kingcupseam::router
