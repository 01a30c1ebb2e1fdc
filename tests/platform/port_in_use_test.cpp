#include "platform/single_process.h"

#include <asio.hpp>

#include <csignal>
#include <vector>

namespace kingcupseam::platform::test {

namespace {

asio::ip::tcp::endpoint endpoint_of(const single_process& it, std::uint16_t port) {
    return {asio::ip::make_address(it.ip()), port};
}

/// True for a connection whose request is answered within 2 s.
bool answers(const asio::ip::tcp::endpoint& server) {
    http_caller caller;
    return caller.send("GET", server.address().to_string() + ":" + std::to_string(server.port()), "/")
               .status != 0;
}

} // namespace

// Guards against a start that fails for good because a port is in use for a moment.
TEST_CASE("a process whose port is in use listens once it is free") {
    asio::io_context context;
    SUBCASE("held by another socket") {
        for (const std::string role : {"entry", "control"}) {
            CAPTURE(role);
            single_process it(role);
            const auto main_port = role == "entry" ? it.caller_port : it.operator_port;
            std::vector<asio::ip::tcp::acceptor> held;
            for (const auto port : {it.peer_port, it.metrics_port, main_port}) {
                held.emplace_back(context, endpoint_of(it, port));
            }
            it.start();
            CHECK(it.logs("listen failed server=metrics"));
            CHECK(it.logs("listen failed server=links"));
            CHECK(it.logs(role == "entry" ? "listen failed server=callers" : "listen failed server=control"));
            held.clear();
            CHECK(it.logs(role == "entry" ? "listening server=callers" : "listening server=control"));
            CHECK(answers(endpoint_of(it, main_port)));
            CHECK(it.logs("listening server=metrics"));
            CHECK(answers(endpoint_of(it, it.metrics_port)));
        }
    }
    SUBCASE("and stops when it is asked to while it waits") {
        for (const std::string role : {"entry", "control"}) {
            CAPTURE(role);
            single_process it(role);
            const asio::ip::tcp::acceptor held(context, endpoint_of(it, it.metrics_port));
            it.start();
            REQUIRE(it.logs("listen failed server=metrics"));
            it.process().signal(SIGTERM);
            CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
        }
    }
}

} // namespace kingcupseam::platform::test
