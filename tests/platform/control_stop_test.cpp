#include "platform/single_process.h"

#include <asio.hpp>
#include <fmt/format.h>

#include <array>
#include <csignal>
#include <thread>

namespace kingcupseam::platform::test {

namespace {

constexpr int stops = 6;
constexpr int operators = 8;
constexpr milliseconds time_of_orders{200};

std::string order(int version) {
    const std::string table = R"({"columns":[],"rows":[]})";
    const std::string body = fmt::format(R"({{"version":"{:08x}","routes":{},"services":{},"limits":{{}}}})",
                                         version, table, table);
    return fmt::format("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// Sends one order after another until the connection ends.
void send_orders(const asio::ip::tcp::endpoint& to, int first_version) {
    asio::io_context context;
    asio::ip::tcp::socket connection(context);
    asio::error_code ec;
    connection.connect(to, ec);
    std::array<char, 4096> answer{};
    for (int version = first_version; !ec; version += operators) {
        asio::write(connection, asio::buffer(order(version)), ec);
        if (!ec) {
            connection.read_some(asio::buffer(answer), ec);
        }
    }
}

} // namespace

// Guards against requests that wait for the control thread and outlive the context of their connections.
TEST_CASE("a control instance that stops while orders wait ends with success") {
    for (int n = 0; n < stops; ++n) {
        CAPTURE(n);
        single_process it("control");
        it.start();
        REQUIRE(it.logs("leads=true"));
        std::vector<std::thread> threads;
        threads.reserve(operators);
        for (int i = 0; i < operators; ++i) {
            threads.emplace_back(send_orders,
                                 asio::ip::tcp::endpoint(asio::ip::make_address(it.ip()), it.operator_port),
                                 i + 1);
        }
        const bool proposed = it.logs("configuration proposed");
        std::this_thread::sleep_for(time_of_orders);
        it.process().signal(SIGTERM);
        const auto exit_code = it.process().wait(std::chrono::seconds(6));
        it.process().kill();
        for (auto& thread : threads) {
            thread.join();
        }
        CHECK(proposed);
        CHECK(exit_code == 0);
    }
}

} // namespace kingcupseam::platform::test
