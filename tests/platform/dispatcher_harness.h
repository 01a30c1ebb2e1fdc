#pragma once

#include "provider_protocol.h"
#include "router/dispatcher.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::platform::test {

using app::http_request;
using app::http_response;
using std::chrono::milliseconds;

inline constexpr duration max_test_time = std::chrono::seconds(5);

/// Upstream whose answers the test provides; nullopt leaves a request unanswered.
class fake_upstream {
public:
    using answer_function = std::function<std::optional<http_response>(const http_request&)>;

    fake_upstream(asio::io_context& context, std::uint16_t port, answer_function on_request)
        : server_(context, options(port),
                  [this, on_request = std::move(on_request)](const http_request& it,
                                                             const app::http_reply& reply) {
                      ++requests;
                      if (auto answer = on_request(it)) {
                          reply(std::move(*answer));
                      } else {
                          held_.emplace_back(it, reply);
                      }
                  }) {}
    /// Answers the requests that were left unanswered so far.
    void answer_held(const std::function<http_response(const http_request&)>& answer_to) {
        for (const auto& [request, reply] : std::exchange(held_, {})) {
            reply(answer_to(request));
        }
    }
    int requests = 0;
    int closed = 0;

private:
    app::http_server_options options(std::uint16_t port) {
        app::http_server_options result;
        result.listen = {"127.0.0.1", port};
        result.max_pipelined = 2;
        result.on_connection_closed = [this](std::uint64_t) { ++closed; };
        return result;
    }

    std::vector<std::pair<http_request, app::http_reply>> held_;
    app::http_server server_;
};

inline http_response signed_answer(const http_request& request) {
    return {200,
            {{"X-Request-Id", request.header("X-Request-Id")}, {"X-Response-Signature", "sig"}},
            "body",
            false};
}

/// The other entries. Records forwarded requests; the test answers them through the callbacks.
class fake_gates : public router::gate_network {
public:
    void set_upstreams(const std::vector<const directory::upstream*>&) override {}
    bool is_gate(const directory::upstream&) override { return gate.empty(); }
    std::string gate_of(const directory::upstream&) override { return linked ? gate : std::string(); }
    std::uint64_t forward(const std::string&, router::routed_request request, duration limit,
                          on_end done) override {
        forwarded.push_back(std::move(request));
        limits.push_back(limit);
        callbacks.push_back(std::move(done));
        return callbacks.size();
    }
    void withdraw(const std::string&, std::uint64_t number) override { withdrawn.push_back(number); }

    std::string gate = "other entry";
    bool linked = true; ///< whether the gate can be reached
    std::vector<router::routed_request> forwarded;
    std::vector<duration> limits;
    std::vector<on_end> callbacks;
    std::vector<std::uint64_t> withdrawn;
};

class harness {
public:
    // Differs between test programs that run at the same time, and no outgoing connection takes it.
    static inline const std::uint16_t first_port = static_cast<std::uint16_t>(10240 + ::getpid() % 2000 * 10);

    explicit harness(fake_upstream::answer_function on_request,
                     std::unique_ptr<router::protocol_adapter> adapter = make_provider_protocol())
        : upstream(context, first_port, std::move(on_request)), protocol(std::move(adapter)),
          under_test(context, *protocol, options(), registry) {}

    /// @param keyed whether the upstream owns the service's key range
    /// @param port of the upstream
    void configure(bool keyed = false, std::int32_t slots = 4, std::uint16_t port = first_port,
                   std::int64_t started_ms = 1, bool owned = true) {
        directory::snapshot state;
        auto config = std::make_shared<directory::configuration>();
        config->version = 1;
        config->limits = limits;
        config->services["s"] = {"s", "/health", 10, keyed, {}};
        const auto add = [&](const char* name, const char* prefix, execution runs, std::int32_t attempts) {
            config->routes[name] = {name, "h",      prefix,    runs, milliseconds(1500), milliseconds(400),
                                    1,    attempts, {{"s", 1}}};
        };
        add("safe", "/safe/", execution::idempotent, 2);
        add("once", "/once/", execution::idempotent, 1);
        add("unsafe", "/unsafe/", execution::at_most_once, 2);
        state.index = 1;
        state.config = config;
        state.upstreams["u"] = {{"u", started_ms}, "s", "d", {"127.0.0.1", port}, slots, false, false};
        if (keyed && owned) {
            state.ranges["s"][0] = {0, directory::last_key, {"u", started_ms}, 1};
        }
        under_test.set_directory(std::make_shared<const directory::snapshot>(state));
    }

    void configure_without_owner() { configure(true, 4, first_port, 1, false); }

    void configure(const directory::caller_limits& wanted) {
        limits = wanted;
        configure();
    }

    using answer_slot = std::optional<http_response>;
    void start(const std::string& target) { start(target, milliseconds(1000), answer); }
    void start(const std::string& target, duration limit, answer_slot& result) {
        http_request request;
        request.method = "GET";
        request.target = target;
        request.connection = 7;
        const auto ms = std::chrono::duration_cast<milliseconds>(limit).count();
        request.headers = {{"Host", "h"},
                           {"X-Request-Id", "id-1"},
                           {"X-Deadline-Ms", std::to_string(ms)},
                           {"X-Shard-Key", "5"}};
        request.body = body;
        result.reset();
        under_test.handle(std::move(request), [&result](http_response it) { result = std::move(it); });
    }
    http_response send(const std::string& target, const std::string& with_body) {
        body = with_body;
        return send(target);
    }
    http_response send(const std::string& target) {
        start(target);
        run_until([this] { return answer.has_value(); });
        REQUIRE(answer);
        return *answer;
    }
    template <class Condition>
    void run_until(const Condition& condition, duration limit = max_test_time) {
        const time_point end = steady_now() + limit;
        while (!condition() && steady_now() < end) {
            context.run_one_for(milliseconds(20));
            context.restart();
        }
        CHECK(condition());
    }

    asio::io_context context;
    fake_upstream upstream;
    std::unique_ptr<router::protocol_adapter> protocol;
    metrics::registry registry;
    router::dispatcher under_test;
    std::optional<http_response> answer;
    directory::caller_limits limits;
    std::string body; ///< of the following requests

private:
    static router::dispatcher_options options() {
        router::dispatcher_options result;
        result.data_center = "d";
        return result;
    }
};

} // namespace kingcupseam::platform::test
