#include "router/control_links.h"
#include "router/link_settings.h"
#include "support/free_port.h"

#include <directory_types.h>
#include <doctest/doctest.h>

#include <functional>
#include <memory>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;
using transport::frame_type;

directory::snapshot_ptr directory_at(std::uint64_t index, bool configured) {
    directory::snapshot result;
    result.index = index;
    if (configured) {
        directory::configuration config;
        config.version = 1;
        result.config = std::make_shared<const directory::configuration>(std::move(config));
    }
    return std::make_shared<const directory::snapshot>(std::move(result));
}

} // namespace

// Guards against an entry that ends when a control instance has lost the configuration.
TEST_CASE("an entry keeps its directory when it is sent one without a configuration") {
    asio::io_context context;
    process_settings settings;
    settings.ip = std::string("127.0.0.1");
    settings.peer_port = test::free_port();
    settings.seeds = {settings.ip};
    int subscriptions = 0;
    transport::peer_server control(
        context, {settings.ip, settings.peer_port}, {{"control", 1}, "d"}, control_link_settings(),
        [&](const auto& from, const transport::frame& received) {
            if (received.type == frame_type::join_request) {
                wire::ControlStatus status;
                status.leads = true;
                from->send({frame_type::control_status, 0, transport::encode(status)});
            } else if (received.type == frame_type::directory_subscribe) {
                ++subscriptions;
                for (const auto& it : {directory_at(1, true), directory_at(2, false)}) {
                    from->send({frame_type::directory_update, 0, directory::encode_difference(nullptr, *it)});
                }
            }
        });
    directory::snapshot_ptr held;
    control_links::observer callbacks;
    callbacks.on_directory = [&](directory::snapshot_ptr it) { held = std::move(it); };
    callbacks.on_entries = [](const auto&) {};
    callbacks.on_poison_requests = [](const auto&) {};
    callbacks.on_limits = [](const auto&) {};
    metrics::registry registry;
    control_links entry(context, settings, registry, std::move(callbacks));
    const time_point end = steady_now() + std::chrono::seconds(5);
    while (subscriptions < 2 && steady_now() < end) {
        context.run_for(milliseconds(10));
        context.restart();
    }
    CHECK(subscriptions >= 2);
    REQUIRE(held);
    CHECK(held->index == 1);
    CHECK(held->config);
}

} // namespace kingcupseam::router
