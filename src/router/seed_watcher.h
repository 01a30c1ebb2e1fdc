#pragma once

#include "router/process.h"

#include <asio.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// Reads the settings on SIGHUP and every few seconds and reports changed seeds. Invalid settings are logged
/// and ignored.
class seed_watcher {
public:
    seed_watcher(asio::io_context& context, settings_source read_settings,
                 std::function<void(const std::vector<std::string>& ips)> on_change);

private:
    void wait_for_signal();
    void schedule_check();
    void check();

    settings_source read_settings_;
    std::function<void(const std::vector<std::string>&)> on_change_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::vector<std::string> seeds_;
};

} // namespace kingcupseam::router
