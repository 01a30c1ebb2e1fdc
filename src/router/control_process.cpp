#include "router/process.h"

#include "app/http_server.h"
#include "app/worker.h"
#include "router/control_node.h"
#include "router/descriptor_limits.h"
#include "router/memory_limits.h"
#include "router/metrics_server.h"
#include "router/seed_watcher.h"
#include "router/upstream_client.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

#include <csignal>
#include <memory>
#include <utility>

namespace kingcupseam::router {

namespace {

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr duration grant_timeout = std::chrono::milliseconds(700);
// A release is answered when no request runs on its keys any more.
constexpr duration release_timeout = std::chrono::seconds(3);
// Answers to grants and releases have a few headers and no body.
constexpr std::size_t max_call_answers = std::size_t{1024} * 1024;
// Enough for a configuration with some thousand routes.
constexpr std::size_t max_order_bytes = std::size_t{8} * 1024 * 1024;

std::string_view to_string(key_ranges::call_result value) {
    switch (value) {
    case key_ranges::call_result::done:
        return "done";
    case key_ranges::call_result::refused:
        return "refused";
    case key_ranges::call_result::wrong_upstream:
        return "wrong-upstream";
    case key_ranges::call_result::unanswered:
        return "unanswered";
    case key_ranges::call_result::not_sent:
        return "not-sent";
    }
    return "invalid";
}

key_ranges::call_result to_call_result(const exchange_result& it, const protocol_adapter& protocol) {
    switch (it.end) {
    case exchange_end::answered:
        if (it.answer.status == status_ok) {
            return key_ranges::call_result::done;
        }
        return protocol.read_answer({}, it.answer).wrong_upstream ? key_ranges::call_result::wrong_upstream
                                                                  : key_ranges::call_result::refused;
    case exchange_end::not_sent:
        return key_ranges::call_result::not_sent;
    case exchange_end::broken:
    case exchange_end::malformed:
    case exchange_end::unmatched:
    case exchange_end::timeout:
        break;
    }
    return key_ranges::call_result::unanswered;
}

upstream_client_options call_client_options() {
    upstream_client_options result;
    result.max_answer_bytes = max_call_answers;
    return result;
}

class control_process {
public:
    control_process(const settings_source& read_settings, const protocol_adapter& protocol);
    void run();

private:
    using on_call_result = std::function<void(key_ranges::call_result, std::string handover)>;
    void send_call(const key_ranges::call& call, on_call_result done);
    void report_call(const on_call_result& done, key_ranges::call_result result, std::string handover);
    /// Answers 500 if it fails, unless it has been answered.
    void serve_order(app::http_request received, app::http_reply reply);

    process_settings settings_;
    const protocol_adapter& protocol_;
    metrics::registry registry_;
    app::handler_failures failures_{registry_};
    app::worker traffic_{"traffic", failures_};
    // Destroyed before traffic_: handlers that have not run hold replies, and these hold connections of
    // traffic_.
    app::worker control_{"control", failures_};
    upstream_client client_{traffic_.io, call_client_options()};
    std::unique_ptr<control_node> node_;
    std::unique_ptr<app::http_server> server_;
    std::unique_ptr<app::http_server> metrics_;
    seed_watcher seed_watcher_;
    asio::signal_set signals_{traffic_.io, SIGTERM, SIGINT}; // the control thread may wait for its disk
};

control_process::control_process(const settings_source& read_settings, const protocol_adapter& protocol)
    : settings_(read_settings()), protocol_(protocol),
      seed_watcher_(control_.io, read_settings,
                    [this](const std::vector<std::string>& ips) { node_->set_seeds(ips); }) {
    node_ = std::make_unique<control_node>(
        control_.io, settings_, registry_,
        [this](const key_ranges::call& call, on_call_result done) { send_call(call, std::move(done)); });
    metrics_ = make_metrics_server(traffic_.io, settings_, registry_);
    app::http_server_options options;
    options.name = "control";
    options.max_connections = max_caller_connections(descriptor_limit());
    options.listen = settings_.control.value();
    options.max_body_bytes = max_order_bytes;
    server_ = std::make_unique<app::http_server>(
        traffic_.io, options, [this](app::http_request received, app::http_reply reply) {
            asio::post(control_.io,
                       [this, received = std::move(received), reply = std::move(reply)]() mutable {
                           serve_order(std::move(received), std::move(reply));
                       });
        });
}

void control_process::serve_order(app::http_request received, app::http_reply reply) {
    const auto answered = std::make_shared<bool>(false);
    const app::http_reply on_traffic_thread = [this, answered,
                                               reply = std::move(reply)](app::http_response answer) {
        if (!std::exchange(*answered, true)) {
            asio::post(traffic_.io, [reply, answer = std::move(answer)] { reply(answer); });
        }
    };
    try {
        protocol_.serve_control(std::move(received), on_traffic_thread, *node_);
    } catch (const std::exception&) {
        on_traffic_thread({status_failed, {}, {}, false}); // it may have been carried out
        throw;
    }
}

void control_process::send_call(const key_ranges::call& call, on_call_result done) {
    asio::post(traffic_.io, [this, call, done = std::move(done)]() mutable {
        exchange request;
        request.target = call.address;
        try {
            request.bytes = protocol_.write_call(call);
        } catch (const std::exception&) {
            // Without a result the lease manager would wait for this call for ever.
            report_call(done, key_ranges::call_result::not_sent, {});
            throw;
        }
        request.timeout = call.kind == key_ranges::call_kind::grant ? grant_timeout : release_timeout;
        // Answers have no id, and a second one to an earlier call must not end a release: its keys would move
        // while requests run on them.
        request.new_connection = call.new_connection || call.kind == key_ranges::call_kind::release;
        client_.send(std::move(request), [this, call, done = std::move(done)](const exchange_result& it) {
            auto result = key_ranges::call_result::unanswered;
            std::string handover;
            try {
                result = to_call_result(it, protocol_);
                handover = protocol_.read_handover(it.answer);
            } catch (const std::exception&) {
                report_call(done, key_ranges::call_result::unanswered, {});
                throw;
            }
            report_call(done, result, std::move(handover));
            // Grants and releases are called orders in the names of the metric and the log event.
            registry_
                .counter_of("orders_total", "orders to upstreams by kind and result",
                            {{"kind", call.kind == key_ranges::call_kind::grant ? "grant" : "release"},
                             {"result", std::string(to_string(result))}})
                .add();
            if (result != key_ranges::call_result::done) {
                spdlog::info("order failed kind={} upstream={} first={} last={} epoch={} result={} status={}",
                             call.kind == key_ranges::call_kind::grant ? "grant" : "release", call.target.id,
                             call.first, call.last, call.epoch, to_string(result), it.answer.status);
            }
        });
    });
}

void control_process::report_call(const on_call_result& done, key_ranges::call_result result,
                                  std::string handover) {
    asio::post(control_.io, [done, result, handover = std::move(handover)] { done(result, handover); });
}

void control_process::run() {
    spdlog::info("control instance started name={} data_center={}", settings_.name, settings_.data_center);
    signals_.async_wait([this](const asio::error_code& ec, int) {
        if (!ec) {
            spdlog::info("control instance stopping");
            lifecycle::request_stop();
            control_.io.stop();
        }
    });
    traffic_.start();
    lifecycle::accept_signals();
    try {
        control_.run();
    } catch (...) {
        // What the traffic thread uses is destroyed before the thread.
        traffic_.stop();
        throw;
    }
    traffic_.stop();
}

} // namespace

void run_control(const settings_source& read_settings, const protocol_adapter& protocol) {
    return_large_buffers();
    control_process(read_settings, protocol).run();
}

} // namespace kingcupseam::router
