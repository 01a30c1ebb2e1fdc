#include "router/process.h"

#include "app/body_gate.h"
#include "app/http_server.h"
#include "app/worker.h"
#include "router/control_links.h"
#include "router/descriptor_limits.h"
#include "router/dispatcher.h"
#include "router/gate_links.h"
#include "router/memory_limits.h"
#include "router/metrics_server.h"
#include "router/seed_watcher.h"
#include "router/stop_schedule.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

#include <atomic>
#include <csignal>
#include <memory>

namespace kingcupseam::router {

namespace {

constexpr duration report_interval = std::chrono::milliseconds(300);
constexpr int reports_per_usage_line = 7; ///< a line each 2.1 s
constexpr duration stop_poll_interval = std::chrono::milliseconds(50);
// Limit of pipelined requests that are read from one connection.
constexpr std::size_t max_pipelined = 16;

class entry_process {
public:
    entry_process(const settings_source& read_settings, const protocol_adapter& protocol);
    void run();

private:
    void make_servers(const protocol_adapter& protocol);
    void make_gates();
    /// Records how long a directory waited for the traffic thread.
    void record_handover(const directory::snapshot& held, duration waited);
    void schedule_report();
    void start_stopping();
    void poll_stop();

    process_settings settings_;
    metrics::registry registry_;
    app::handler_failures failures_{registry_};
    app::worker control_{"control", failures_};
    app::worker traffic_{"traffic", failures_};
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<app::http_server> callers_;
    std::unique_ptr<app::http_server> readiness_;
    std::unique_ptr<app::http_server> metrics_;
    std::unique_ptr<control_links> links_;
    std::unique_ptr<gate_links> gates_;
    seed_watcher seed_watcher_;
    asio::signal_set signals_{control_.io, SIGTERM, SIGINT};
    asio::steady_timer report_timer_{traffic_.io};
    int reports_ = 0;
    std::uint64_t reported_index_ = 0; ///< of the directory
    std::uint64_t served_version_ = 0; ///< of the configuration
    asio::steady_timer stop_timer_{traffic_.io};
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    time_point stopping_since_;
    stop_schedule stop_schedule_{settings_.grace_period};
};

entry_process::entry_process(const settings_source& read_settings, const protocol_adapter& protocol)
    : settings_(read_settings()),
      seed_watcher_(control_.io, read_settings,
                    [this](const std::vector<std::string>& ips) { links_->set_seeds(ips); }) {
    dispatcher_options options;
    options.data_center = settings_.data_center;
    options.leaving_send_time = settings_.drain_period * 3 / 4;
    options.retries.ratio = settings_.retry_ratio;
    options.retries.slack = settings_.retry_slack;
    options.retries.window = settings_.retry_window;
    options.max_answer_bytes = max_unfinished_answers(settings_.memory_mb);
    dispatcher_ = std::make_unique<dispatcher>(traffic_.io, protocol, options, registry_);
    make_servers(protocol);
    metrics_ = make_metrics_server(traffic_.io, settings_, registry_);
    control_links::observer callbacks;
    callbacks.on_directory = [this](directory::snapshot_ptr held) {
        const bool usable = held->config != nullptr;
        asio::post(traffic_.io, [this, held = std::move(held), since = steady_now()]() mutable {
            record_handover(*held, steady_now() - since);
            dispatcher_->set_directory(std::move(held));
        });
        if (usable && !ready_.exchange(true)) {
            spdlog::info("entry ready");
        }
    };
    callbacks.on_entries = [this](std::vector<entry_instance> entries) {
        asio::post(traffic_.io, [this, entries = std::move(entries)]() mutable {
            const int n = static_cast<int>(entries.size());
            gates_->set_entries(std::move(entries));
            dispatcher_->set_entry_count(n);
        });
    };
    callbacks.on_poison_requests = [this](std::vector<poison_request> listed) {
        asio::post(traffic_.io,
                   [this, listed = std::move(listed)] { dispatcher_->set_poison_requests(listed); });
    };
    callbacks.on_limits = [this](std::vector<limit_statement> listed) {
        asio::post(traffic_.io, [this, listed = std::move(listed)] { dispatcher_->set_limits(listed); });
    };
    links_ = std::make_unique<control_links>(control_.io, settings_, registry_, std::move(callbacks));
    make_gates();
}

void entry_process::make_gates() {
    gate_links::receiver callbacks;
    callbacks.on_request = [this](routed_request request, std::uint64_t connection, std::uint64_t number,
                                  routed_reply reply) {
        return dispatcher_->handle_routed(std::move(request), connection, number, std::move(reply));
    };
    callbacks.on_withdrawn = [this](std::uint64_t connection, std::uint64_t number) {
        dispatcher_->withdraw_routed(connection, number);
    };
    callbacks.on_disconnect = [this](std::uint64_t connection) {
        dispatcher_->on_connection_closed(connection);
    };
    gates_ = std::make_unique<gate_links>(traffic_.io, links_->self(),
                                          endpoint_address{settings_.ip, settings_.peer_port},
                                          std::move(callbacks), max_unfinished_answers(settings_.memory_mb));
    dispatcher_->set_gates(gates_.get());
}

void entry_process::make_servers(const protocol_adapter& protocol) {
    app::http_server_options options;
    options.name = "callers";
    options.listen = settings_.callers.value();
    options.max_connections = max_caller_connections(descriptor_limit());
    options.max_body_bytes = std::size_t{64} * 1024 * 1024;
    options.max_pipelined = max_pipelined;
    admission::body_budget_options bodies;
    bodies.max_bytes = max_long_bodies(settings_.memory_mb);
    options.bodies = std::make_shared<app::body_gate>(traffic_.io, bodies, registry_);
    options.on_connection_closed = [this](std::uint64_t connection) {
        // Deferred, since the server may be delivering an answer on this connection.
        asio::post(traffic_.io, [this, connection] { dispatcher_->on_connection_closed(connection); });
    };
    callers_ = std::make_unique<app::http_server>(
        traffic_.io, options, [this](app::http_request received, app::http_reply reply) {
            dispatcher_->handle(std::move(received), std::move(reply));
        });
    app::http_server_options readiness;
    readiness.name = "readiness";
    readiness.max_connections = max_service_connections(descriptor_limit());
    readiness.listen = settings_.readiness.value();
    readiness_ = std::make_unique<app::http_server>(
        traffic_.io, readiness, [this, &protocol](const app::http_request&, const app::http_reply& reply) {
            reply(protocol.write_readiness(ready_ && !stopping_ && callers_->accepting()));
        });
}

void entry_process::record_handover(const directory::snapshot& held, duration waited) {
    registry_
        .histogram_of("directory_handover_seconds",
                      "time for which directories waited for the traffic thread")
        .record(static_cast<std::uint64_t>(waited.count()));
    if (held.config && held.config->version != served_version_) {
        served_version_ = held.config->version;
        spdlog::info("configuration serves version={} index={} waited_ms={}", served_version_, held.index,
                     std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
    }
}

void entry_process::schedule_report() {
    report_timer_.expires_after(report_interval);
    report_timer_.async_wait([this](const asio::error_code& ec) {
        if (ec) {
            return;
        }
        schedule_report(); // first: a report that fails is not the last one
        auto report = dispatcher_->take_report();
        if (!report.empty() || report.directory_index != reported_index_) {
            reported_index_ = report.directory_index;
            asio::post(control_.io, [this, report = std::move(report)] { links_->send_report(report); });
        }
        if (++reports_ % reports_per_usage_line == 0) {
            dispatcher_->log_slot_usage();
        }
    });
}

void entry_process::start_stopping() {
    spdlog::info("entry stopping");
    stopping_ = true;
    asio::post(traffic_.io, [this] {
        stopping_since_ = steady_now();
        poll_stop();
        dispatcher_->start_draining(stopping_since_ + stop_schedule_.last_deadline());
    });
    links_->leave();
}

void entry_process::poll_stop() {
    stop_timer_.expires_after(stop_poll_interval);
    stop_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            poll_stop();
        }
    });
    const bool idle = dispatcher_->requests_in_flight() == 0 && !gates_->sending();
    const stop_step step = stop_schedule_.next(steady_now() - stopping_since_, idle);
    if (step != stop_step::serve) {
        dispatcher_->refuse_new_requests();
    }
    if (step == stop_step::end) {
        spdlog::info("entry stopped requests_cut={}", dispatcher_->requests_in_flight());
        stop_timer_.cancel();
        control_.io.stop();
    }
}

void entry_process::run() {
    spdlog::info("entry started name={} data_center={}", settings_.name, settings_.data_center);
    signals_.async_wait([this](const asio::error_code& ec, int) {
        if (!ec) {
            start_stopping();
        }
    });
    schedule_report();
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
    spdlog::info("entry ended requests_cut={}", dispatcher_->requests_in_flight());
}

} // namespace

void run_entry(const settings_source& read_settings, const protocol_adapter& protocol) {
    return_large_buffers();
    entry_process(read_settings, protocol).run();
}

} // namespace kingcupseam::router
