#include "platform/entry_processes.h"

namespace kingcupseam::platform::test {

namespace {

// Target of an entry on the smallest machine, which has 160 MB.
constexpr std::size_t max_peak = std::size_t{120} * 1000 * 1000;

/// Sends a piece again and again until the peer closes the connection.
void send_without_end(const raw_server::connection_ptr& peer, const std::shared_ptr<std::string>& piece) {
    asio::async_write(peer->socket, asio::buffer(*piece),
                      [peer, piece](const asio::error_code& ec, std::size_t) {
                          if (!ec) {
                              send_without_end(peer, piece);
                          }
                      });
}

std::string repeated(const std::string& text, std::size_t times) {
    std::string result;
    for (std::size_t n = 0; n < times; ++n) {
        result += text;
    }
    return result;
}

} // namespace

// Guards against an entry that keeps all bytes of faulty upstreams until it runs out of memory, which ends
// the requests of all its callers (issue 34).
TEST_CASE("answers without end do not exceed the memory of an entry") {
    constexpr int callers = 30;
    constexpr std::size_t piece_bytes = std::size_t{256} * 1024;
    std::string head = "HTTP/1.1 200 OK\r\n";
    std::string piece;
    SUBCASE("a body without a length") {
        head += "\r\n";
        piece = std::string(piece_bytes, 'x');
    }
    SUBCASE("a body in chunks") {
        head += "Transfer-Encoding: chunked\r\n\r\n";
        piece = "40000\r\n" + std::string(piece_bytes, 'x') + "\r\n";
    }
    SUBCASE("a body in chunks of one byte") {
        head += "Transfer-Encoding: chunked\r\n\r\n";
        piece = repeated("1\r\nx\r\n", 20'000);
    }
    SUBCASE("a long body of known length") {
        head += "Content-Length: 15000000\r\n\r\n";
        piece = std::string(piece_bytes, 'x');
    }
    SUBCASE("headers") {
        piece = repeated("A: b\r\n", 10'000);
    }
    SUBCASE("one header") {
        head += "A: ";
        piece = std::string(piece_bytes, 'x');
    }
    SUBCASE("interim answers") {
        head.clear();
        piece = repeated("HTTP/1.1 100 Continue\r\n\r\n", 10'000);
    }
    SUBCASE("bytes that are no answer") {
        head.clear();
        piece = std::string(piece_bytes, '\1');
    }
    const auto content = std::make_shared<std::string>(piece);
    entry_processes it(
        [&](const raw_server::connection_ptr& peer, int) {
            peer->read_request([&, peer](const std::string&) {
                peer->write(head);
                send_without_end(peer, content);
            });
        },
        1, false, "memory_mb = 160\n");
    for (int round = 0; round < 3; ++round) {
        std::vector<entry_processes::pending_ptr> requests;
        requests.reserve(callers);
        for (int n = 0; n < callers; ++n) {
            requests.push_back(it.start_request("/safe/" + std::to_string(round * callers + n)));
        }
        for (const auto& request : requests) {
            const int status = it.status_of(request);
            CHECK(status >= 500);
        }
    }
    CHECK(it.entry().running());
    CHECK(it.entry().peak_memory() < max_peak);
    MESSAGE("peak memory of the entry: " << it.entry().peak_memory() / 1000 / 1000 << " MB");
}

} // namespace kingcupseam::platform::test
