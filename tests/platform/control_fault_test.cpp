#include "platform/entry_processes.h"

namespace kingcupseam::platform::test {

// Guards against moving the keys of an upstream that is still at work on them.
TEST_CASE("an earlier answer that an upstream repeats is not taken for the answer to a release") {
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    raw_server::connection_ptr kept; // carried the last grant of the first upstream
    int releases = 0;
    int grants_of_second = 0;
    std::function<void(const raw_server::connection_ptr&)> serve_first;
    serve_first = [&](const raw_server::connection_ptr& peer) {
        peer->read_request([&, peer](const std::string& call) {
            if (call.starts_with("POST /release")) {
                // Requests run on these keys, so there is no answer yet.
                ++releases;
                kept->write(ok);
            } else {
                kept = peer;
                peer->write(ok);
            }
            serve_first(peer);
        });
    };
    std::function<void(const raw_server::connection_ptr&)> serve_second;
    serve_second = [&](const raw_server::connection_ptr& peer) {
        peer->read_request([&, peer](const std::string& call) {
            grants_of_second += call.starts_with("POST /grant") ? 1 : 0;
            peer->write(ok);
            serve_second(peer);
        });
    };
    entry_processes it([&](const auto& peer, int) { serve_first(peer); }, 1, true);
    raw_server second(it.context, [&](const auto& peer, int) { serve_second(peer); });
    REQUIRE(it.run_until([&] { return kept != nullptr; }));
    it.run_for(milliseconds(500));
    it.announce("second", second.port());
    it.announce("u", it.upstream.port(), true);
    REQUIRE(it.run_until([&] { return releases > 0; }));
    it.run_for(milliseconds(1000));
    CHECK(grants_of_second == 0);
}

} // namespace kingcupseam::platform::test
