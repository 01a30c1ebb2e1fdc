#include "router/seed_watcher.h"

#include <kingcupseam/error.h>

#include <spdlog/spdlog.h>

#include <csignal>

namespace kingcupseam::router {

namespace {

constexpr std::chrono::seconds check_interval{3};

} // namespace

seed_watcher::seed_watcher(asio::io_context& context, settings_source read_settings,
                           std::function<void(const std::vector<std::string>&)> on_change)
    : read_settings_(std::move(read_settings)), on_change_(std::move(on_change)), signals_(context, SIGHUP),
      timer_(context) {
    wait_for_signal();
    schedule_check();
}

void seed_watcher::wait_for_signal() {
    signals_.async_wait([this](const asio::error_code& ec, int) {
        if (!ec) {
            wait_for_signal(); // first: a check that fails is not the last one
            spdlog::info("settings reload requested");
            check();
        }
    });
}

void seed_watcher::schedule_check() {
    timer_.expires_after(check_interval);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            schedule_check();
            check();
        }
    });
}

void seed_watcher::check() {
    try {
        auto ips = read_settings_().seeds;
        if (ips != seeds_) {
            seeds_ = std::move(ips);
            on_change_(seeds_);
        }
    } catch (const error& e) {
        spdlog::warn("settings not reloaded, the former ones stay in force: {}", e.what());
    }
}

} // namespace kingcupseam::router
