#include "app/stand_in_announcer.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace kingcupseam::app {

namespace {

constexpr std::chrono::milliseconds announce_interval{500}; // docs/protocol.md
constexpr std::chrono::milliseconds announce_timeout{400};  // ends before the next announcement

} // namespace

stand_in_announcer::stand_in_announcer(asio::io_context& context, const stand_in_options& settings,
                                       std::uint64_t incarnation, std::function<bool()> should_announce)
    : settings_(settings), incarnation_(incarnation), should_announce_(std::move(should_announce)),
      client_(context, {}), timer_(context) {}

void stand_in_announcer::drain() {
    draining_ = true;
    tick();
}

void stand_in_announcer::tick() {
    if (!settings_.instances.empty() && (draining_ || should_announce_())) {
        announce();
    }
    timer_.expires_after(announce_interval);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            tick();
        }
    });
}

void stand_in_announcer::announce() {
    const auto& instance = settings_.instances[next_instance_++ % settings_.instances.size()];
    const nlohmann::json body{{"name", settings_.name},
                              {"incarnation", std::to_string(incarnation_)},
                              {"service", settings_.service},
                              {"address", to_string(settings_.listen)},
                              {"slots", settings_.slots},
                              {"connections", settings_.max_connections},
                              {"checks_grants", settings_.checks_grants},
                              {"state", draining_ ? "draining" : "active"}};
    http_call call;
    call.method = "POST";
    call.url = "http://" + to_string(instance) + "/v1/announce";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.timeout = announce_timeout;
    client_.send(std::move(call), [this, instance](const http_result& result) {
        if (result.failure == http_failure::none && result.answer.status == 400) {
            spdlog::error("{} rejects the announcement: {}", to_string(instance), result.answer.body);
        }
    });
}

} // namespace kingcupseam::app
