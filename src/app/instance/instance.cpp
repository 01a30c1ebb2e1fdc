#include "app/instance/instance.h"

#include "app/instance/control_plane.h"
#include "app/instance/entry.h"
#include "app/instance/gate.h"
#include "app/worker.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

namespace kingcupseam::app {

namespace {

std::uint64_t new_incarnation() {
    // Wall clock time, so that the incarnation increases with each restart.
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

class instance {
public:
    explicit instance(const settings::instance_settings& settings);
    void run();

private:
    void submit_to_gate(const wire::ForwardRequest& request, gate_reply reply);
    void stop_workers();
    void on_reload(const asio::error_code& ec);
    void start_shutdown();
    void poll_shutdown();
    void finish_shutdown();
    bool traffic_idle();

    settings::instance_settings settings_;
    std::uint64_t incarnation_ = new_incarnation();
    metrics::registry registry_;
    view_holder views_;
    handler_failures failures_{registry_};
    worker control_worker_{"control", failures_};
    worker entry_worker_{"entry", failures_};
    worker gate_worker_{"gate", failures_, on_handler_failure::end_process}; // holds the ledger
    std::unique_ptr<gate> gate_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<control_plane> control_;
    asio::signal_set signals_{gate_worker_.io, SIGTERM, SIGINT}; // the control thread may wait for its disk
    asio::signal_set reload_signals_{control_worker_.io, SIGHUP};
    asio::steady_timer shutdown_timer_{control_worker_.io};
    time_point shutdown_deadline_;
    std::atomic<std::size_t> entry_in_flight_{0};
    std::atomic<bool> gate_idle_{false};
};

instance::instance(const settings::instance_settings& settings) : settings_(settings) {
    gate_ = std::make_unique<gate>(gate_worker_.io, settings_, incarnation_, views_, registry_);
    entry_ = std::make_unique<entry>(entry_worker_.io, settings_, incarnation_, views_, registry_,
                                     [this](const wire::ForwardRequest& request, gate_reply reply) {
                                         submit_to_gate(request, std::move(reply));
                                     });
    control_ = std::make_unique<control_plane>(
        control_worker_.io, settings_, incarnation_, registry_,
        control_plane::observer{[this](std::shared_ptr<const routing_view> view) {
                                    views_.store(std::move(view));
                                    asio::post(gate_worker_.io, [this] { gate_->on_view_changed(); });
                                    asio::post(entry_worker_.io, [this] { entry_->on_view_changed(); });
                                },
                                [this](time_point end) { gate_->set_lease_end(end); }});
    gate_->set_report_observer([this](gate_report report) {
        asio::post(control_worker_.io, [this, report = std::move(report)]() mutable {
            control_->on_gate_report(std::move(report));
        });
    });
}

void instance::submit_to_gate(const wire::ForwardRequest& request, gate_reply reply) {
    gate_reply on_entry_thread = [this, reply = std::move(reply)](const wire::ForwardResponse& response) {
        asio::post(entry_worker_.io, [reply, response] { reply(response); });
    };
    asio::post(gate_worker_.io, [this, request, reply = std::move(on_entry_thread)]() mutable {
        gate_->submit(request, std::move(reply));
    });
}

void instance::run() {
    signals_.async_wait([this](const asio::error_code& ec, int) {
        if (!ec) {
            lifecycle::request_stop();
            asio::post(control_worker_.io, [this] { start_shutdown(); });
        }
    });
    spdlog::info("started instance={} data_center={} incarnation={}", settings_.name, settings_.data_center,
                 incarnation_);
    reload_signals_.async_wait([this](const asio::error_code& ec, int) { on_reload(ec); });
    try {
        gate_worker_.start();
        entry_worker_.start();
        lifecycle::accept_signals();
        control_worker_.run();
    } catch (...) {
        // What the other threads use is destroyed before them.
        stop_workers();
        throw;
    }
    stop_workers();
    spdlog::info("stopped instance={}", settings_.name);
}

void instance::stop_workers() {
    entry_worker_.stop();
    gate_worker_.stop();
}

void instance::on_reload(const asio::error_code& ec) {
    if (!ec) {
        spdlog::warn("settings not reloaded: they take effect at the next start");
        reload_signals_.async_wait([this](const asio::error_code& next, int) { on_reload(next); });
    }
}

void instance::start_shutdown() {
    spdlog::info("stopping instance={}", settings_.name);
    shutdown_deadline_ = steady_now() + settings_.shutdown_grace;
    control_->begin_shutdown();
    poll_shutdown();
}

void instance::poll_shutdown() {
    constexpr duration poll_interval = std::chrono::milliseconds(20);
    asio::post(entry_worker_.io, [this] { entry_in_flight_ = entry_->in_flight(); });
    asio::post(gate_worker_.io, [this] { gate_idle_ = gate_->idle(); });
    if (control_->unready_period_elapsed()) {
        asio::post(entry_worker_.io, [this] { entry_->begin_shutdown(); });
    }
    const bool done =
        control_->handed_over() && control_->unready_period_elapsed() && entry_in_flight_ == 0 && gate_idle_;
    if (done || steady_now() > shutdown_deadline_) {
        finish_shutdown();
        return;
    }
    shutdown_timer_.expires_after(poll_interval);
    shutdown_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            poll_shutdown();
        }
    });
}

void instance::finish_shutdown() {
    asio::post(entry_worker_.io, [this] { entry_->stop(); });
    asio::post(gate_worker_.io, [this] { gate_->stop(); });
    control_->stop();
    control_worker_.work_guard.reset();
    control_worker_.io.stop();
}

} // namespace

void run_instance(const settings::instance_settings& settings) {
    instance it(settings);
    it.run();
}

} // namespace kingcupseam::app
