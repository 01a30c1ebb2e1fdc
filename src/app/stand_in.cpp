#include "app/commands.h"
#include "app/stand_in_announcer.h"
#include "app/stand_in_endpoints.h"
#include "app/stand_in_options.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <random>

namespace kingcupseam::app {

namespace {

constexpr std::chrono::milliseconds drain_poll_interval{20};

/// Returns a random incarnation. It does not come from the seed, because it must differ between starts with
/// the same seed.
std::uint64_t draw_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

class stand_in_process {
public:
    explicit stand_in_process(const stand_in_options& settings)
        : settings_(settings), endpoints_(context_, settings),
          announcer_(context_, settings, draw_incarnation(),
                     [this] { return !endpoints_.holds_live_grant(); }),
          signals_(context_, SIGTERM, SIGINT), drain_timer_(context_) {
        signals_.async_wait([this](const asio::error_code& ec, int) {
            if (!ec) {
                drain();
            }
        });
        for (const auto& it : settings.faults) {
            schedule_fault(it);
        }
    }
    void run() {
        spdlog::info("{} of {} serves on {}", settings_.name, settings_.service, to_string(settings_.listen));
        announcer_.start();
        context_.run();
    }

private:
    void schedule_fault(const scheduled_fault& fault) {
        auto timer = std::make_shared<asio::steady_timer>(context_, fault.after);
        timer->async_wait([this, timer, fault](const asio::error_code& ec) {
            if (!ec) {
                endpoints_.start_fault(fault.kind, fault.length, fault.fraction);
            }
        });
    }
    void drain() {
        spdlog::info("{} drains", settings_.name);
        endpoints_.drain();
        announcer_.drain();
        drain_deadline_ = steady_now() + settings_.drain_limit;
        poll_drain();
    }
    void poll_drain() {
        // Waits for two idle polls in a row, so that the last answers have been sent.
        idle_polls_ = endpoints_.drained() ? idle_polls_ + 1 : 0;
        if (idle_polls_ == 2 || steady_now() >= drain_deadline_) {
            spdlog::info("{} exits", settings_.name);
            context_.stop();
            return;
        }
        drain_timer_.expires_after(drain_poll_interval);
        drain_timer_.async_wait([this](const asio::error_code& ec) {
            if (!ec) {
                poll_drain();
            }
        });
    }

    const stand_in_options settings_;
    asio::io_context context_{1};
    stand_in_endpoints endpoints_;
    stand_in_announcer announcer_;
    asio::signal_set signals_;
    asio::steady_timer drain_timer_;
    time_point drain_deadline_;
    int idle_polls_ = 0;
};

} // namespace

int run_stand_in(const arguments& args) {
    const auto settings = parse_stand_in_options(args);
    if (settings) {
        stand_in_process(*settings).run();
    }
    return exit_success;
}

} // namespace kingcupseam::app
