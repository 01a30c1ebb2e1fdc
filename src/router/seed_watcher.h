#pragma once

#include "router/process.h"

#include <asio.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// Reports changed seeds of the settings, after SIGHUP and every few seconds. Keeps the former settings when
/// the new ones are invalid.
class seed_watcher {
public:
    seed_watcher(asio::io_context& context, settings_source read_settings,
                 std::function<void(const std::vector<std::string>& ips)> on_change);

private:
    void wait_for_signal();
    void wait_for_time();
    void check();

    settings_source read_settings_;
    std::function<void(const std::vector<std::string>&)> on_change_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::vector<std::string> known_;
};

} // namespace kingcupseam::router
