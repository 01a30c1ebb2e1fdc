#include "platform/single_process.h"

#include <asio.hpp>

#include <vector>

namespace kingcupseam::platform::test {

namespace {

constexpr std::size_t descriptors = 100;
constexpr std::size_t connections = 150;

asio::ip::tcp::endpoint endpoint_of(const single_process& it, std::uint16_t port) {
    return {asio::ip::make_address(it.ip()), port};
}

/// Opens more connections than the process has descriptors and closes them all.
void exhaust_descriptors(const asio::ip::tcp::endpoint& server) {
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> opened;
    for (std::size_t n = 0; n < connections; ++n) {
        opened.emplace_back(context).connect(server);
    }
    ::usleep(500'000);
}

/// True for a connection whose request is answered within 2 s.
bool answers(const asio::ip::tcp::endpoint& server) {
    http_caller caller;
    return caller.send("GET", server.address().to_string() + ":" + std::to_string(server.port()), "/")
               .status != 0;
}

} // namespace

// Guards against a server that stops accepting for good after one connection that it could not accept.
TEST_CASE("a process that had too many connections accepts again once they have closed") {
    SUBCASE("as an entry") {
        single_process it("entry");
        it.start({.max_descriptors = descriptors});
        REQUIRE(it.logs("entry started"));
        for (const auto port : {it.caller_port, it.readiness_port, it.metrics_port}) {
            CAPTURE(port);
            exhaust_descriptors(endpoint_of(it, port));
            CHECK(answers(endpoint_of(it, port)));
        }
        exhaust_descriptors(endpoint_of(it, it.peer_port));
        CHECK(answers(endpoint_of(it, it.caller_port)));
    }
    SUBCASE("as a control instance") {
        single_process it("control");
        it.start({.max_descriptors = descriptors});
        REQUIRE(it.logs("control instance started"));
        for (const auto port : {it.operator_port, it.metrics_port}) {
            CAPTURE(port);
            exhaust_descriptors(endpoint_of(it, port));
            CHECK(answers(endpoint_of(it, port)));
        }
    }
}

} // namespace kingcupseam::platform::test
