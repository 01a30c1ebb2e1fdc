#include <doctest/doctest.h>

#include <kingcupseam/transport.h>

#include <peer_types.h>

#include <functional>
#include <thread>
#include <vector>

using namespace kingcupseam;
using namespace kingcupseam::transport;
using namespace std::chrono_literals;

namespace {

const endpoint_address listen_address{"127.0.0.1", 31411};
constexpr auto test_limit = 3s;

bool run_until(asio::io_context& context, const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + test_limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.restart();
        context.run_for(5ms);
    }
    return true;
}

/// Replies to a request with its own payload.
void echo(const std::shared_ptr<connection>& from, frame received) {
    from->send({frame_type::forward_response, received.correlation, std::move(received.payload)});
}

peer_identity identity(const std::string& name) {
    return {{name, 1}, "north"};
}

/// A peer that accepts connections and sends only its hello.
struct silent_peer {
    explicit silent_peer(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address(listen_address.ip), listen_address.port}) {
        accept();
    }
    void accept() {
        acceptor.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            if (!ec) {
                ++accepted;
                wire::Hello hello;
                hello.instance = "silent";
                hello.protocol_version = 1;
                asio::write(socket, asio::buffer(encode_frame({frame_type::hello, 0, encode(hello)})));
                sockets.push_back(std::move(socket));
                accept();
            }
        });
    }
    asio::ip::tcp::acceptor acceptor;
    std::vector<asio::ip::tcp::socket> sockets;
    int accepted = 0;
};

} // namespace

// Guards against requests that wait on a connection that no longer works, and against a false report that a
// request was not sent.
TEST_CASE("a link sends requests to a peer") {
    asio::io_context context;

    SUBCASE("that replies") {
        peer_server peer(context, listen_address, identity("b"), {}, echo);
        peer_link to_peer(context, listen_address, identity("a"), {}, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));

        SUBCASE("each request gets its own reply") {
            int matched = 0;
            for (int n = 0; n < 100; ++n) {
                const std::string payload = std::to_string(n);
                to_peer.request({frame_type::forward_request, 0, payload}, 1s,
                                [&matched, payload](const reply& it) {
                                    matched += it.answer && it.answer->payload == payload ? 1 : 0;
                                });
            }
            CHECK(run_until(context, [&] { return matched == 100; }));
        }
        // Guards against the end of a process that is asked to send more than a frame holds.
        SUBCASE("a request that is too long for a frame fails as not_sent, and the link stays up") {
            std::optional<reply> result;
            to_peer.request({frame_type::forward_request, 0, std::string(max_payload_bytes + 1, 'x')}, 1s,
                            [&](reply it) { result = std::move(it); });
            to_peer.notify({frame_type::forward_request, 0, std::string(max_payload_bytes + 1, 'x')});
            REQUIRE(run_until(context, [&] { return result.has_value(); }));
            CHECK(result->failure == link_failure::not_sent);
            const std::string longest(max_payload_bytes, 'x');
            bool same = false;
            to_peer.request({frame_type::forward_request, 0, longest}, 3s,
                            [&](const reply& it) { same = it.answer && it.answer->payload == longest; });
            CHECK(run_until(context, [&] { return same; }));
        }
        SUBCASE("a malformed frame closes that connection only") {
            asio::ip::tcp::socket raw(context);
            raw.connect({asio::ip::make_address(listen_address.ip), listen_address.port});
            asio::write(raw, asio::buffer(std::string("\xff\xff\xff\xff", 4)));
            CHECK(run_until(context, [&] { return peer.malformed_frames() == 1; }));
            CHECK(to_peer.up());
        }
    }
    // Guards against a result that comes before the sender knows the number of its request.
    SUBCASE("a request beyond the bound of unsent bytes ends later, and fails as not_sent") {
        peer_server peer(context, listen_address, identity("b"), {}, echo);
        link_options options;
        options.max_unsent_bytes = 1000;
        peer_link to_peer(context, listen_address, identity("a"), options, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        std::optional<reply> result;
        const auto number = to_peer.request({frame_type::forward_request, 0, std::string(1001, 'x')}, 1s,
                                            [&](reply it) { result = std::move(it); });
        CHECK(number != 0);
        CHECK_FALSE(result);
        REQUIRE(run_until(context, [&] { return result.has_value(); }));
        CHECK(result->failure == link_failure::not_sent);
    }
    SUBCASE("a request on a link that is down fails as not_sent, so that it may be sent elsewhere") {
        peer_link to_nobody(context, listen_address, identity("a"), {}, nullptr);
        std::optional<reply> result;
        to_nobody.request({frame_type::forward_request, 0, "x"}, 1s,
                          [&](reply it) { result = std::move(it); });
        REQUIRE(run_until(context, [&] { return result.has_value(); }));
        CHECK(result->failure == link_failure::not_sent);
    }
    SUBCASE("a silent connection is closed and dialled again") {
        silent_peer peer(context);
        peer_link to_peer(context, listen_address, identity("a"), {}, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        std::optional<reply> result;
        to_peer.request({frame_type::forward_request, 0, "x"}, 10s,
                        [&](reply it) { result = std::move(it); });
        const auto start = std::chrono::steady_clock::now();
        REQUIRE(run_until(context, [&] { return result.has_value(); }));
        // A silent connection must be detected within 1 s.
        CHECK(std::chrono::steady_clock::now() - start < 1s);
        CHECK(result->failure == link_failure::lost);
        CHECK(run_until(context, [&] { return peer.accepted >= 2 && to_peer.up(); }));
    }
    // Guards against a sender that fills its memory because it does not learn that the peer stopped to read.
    SUBCASE("and learns when its frames are written") {
        asio::io_context peer_context; // does not run, so that nothing is read
        std::shared_ptr<connection> to_reader;
        peer_server sender(context, listen_address, identity("b"), {},
                           [&](const std::shared_ptr<connection>& from, const frame&) { to_reader = from; });
        peer_link reader(peer_context, listen_address, identity("a"), {}, nullptr);
        const auto run_peer = [&] {
            peer_context.restart();
            peer_context.run_for(5ms);
            return true;
        };
        REQUIRE(run_until(context, [&] { return run_peer() && reader.up(); }));
        reader.notify({frame_type::forward_request, 0, "x"});
        REQUIRE(run_until(context, [&] { return run_peer() && to_reader; }));
        bool written = false;
        for (int i = 0; i < 3; ++i) {
            to_reader->send({frame_type::forward_response, 0, std::string(max_payload_bytes, 'x')});
        }
        to_reader->after_written([&] { written = true; });
        context.restart();
        context.run_for(50ms);
        CHECK_FALSE(written);
        CHECK(run_until(context, [&] { return run_peer() && written; }));
        bool again = false;
        to_reader->after_written([&] { again = true; });
        CHECK_FALSE(again);
        CHECK(run_until(context, [&] { return again; }));
        to_reader.reset();
    }
    SUBCASE("a request whose reply does not arrive in time fails as timeout") {
        peer_server peer(context, listen_address, identity("b"), {}, [](const auto&, const frame&) {});
        peer_link to_peer(context, listen_address, identity("a"), {}, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        std::optional<reply> result;
        to_peer.request({frame_type::forward_request, 0, "x"}, 50ms,
                        [&](reply it) { result = std::move(it); });
        REQUIRE(run_until(context, [&] { return result.has_value(); }));
        CHECK(result->failure == link_failure::timeout);
    }
}

TEST_CASE("datagrams reach the other channel, and oversize ones are dropped") {
    asio::io_context context;
    std::string received;
    datagram_channel b(context, {"127.0.0.1", 31412},
                       [&](const endpoint_address&, std::string_view it) { received = it; });
    datagram_channel a(context, {"127.0.0.1", 31413}, [](const endpoint_address&, std::string_view) {});
    a.send({"127.0.0.1", 31412}, std::string(max_datagram_bytes + 1, 'x'));
    a.send({"127.0.0.1", 31412}, "probe");
    CHECK(run_until(context, [&] { return !received.empty(); }));
    CHECK(received == "probe");
}

// Guards against sending the same headers uncompressed with every request: traffic between data centres is
// expensive.
TEST_CASE("a compressed link carries the same frames in fewer bytes") {
    asio::io_context context;
    link_options settings;
    settings.compress = true;
    peer_server peer(context, listen_address, identity("b"), settings, echo);
    peer_link to_peer(context, listen_address, identity("a"), settings, nullptr);
    REQUIRE(run_until(context, [&] { return to_peer.up(); }));
    const std::string headers = "Host: records.example\r\nUser-Agent: sdk-client/1.9.3\r\nAccept: */*\r\n";
    int matched = 0;
    for (int n = 0; n < 200; ++n) {
        const std::string payload = headers + std::to_string(n);
        to_peer.request({frame_type::forward_request, 0, payload}, 1s, [&matched, payload](const reply& it) {
            matched += it.answer && it.answer->payload == payload ? 1 : 0;
        });
    }
    CHECK(run_until(context, [&] { return matched == 200; }));
    CHECK(to_peer.bytes_sent() < 200 * headers.size() / 4);
    CHECK(to_peer.bytes_received() < 200 * headers.size() / 4);

    SUBCASE("also a frame larger than a compression block") {
        const std::string large(300000, 'x');
        bool same = false;
        to_peer.request({frame_type::forward_request, 0, large}, 1s,
                        [&](const reply& it) { same = it.answer && it.answer->payload == large; });
        CHECK(run_until(context, [&] { return same; }));
    }
    SUBCASE("also payloads that are compressed already, between others") {
        std::string text;
        for (int n = 0; n < 20000; ++n) {
            text += std::to_string(n * 7919);
        }
        const std::string compressed = compress(text);
        int same = 0;
        for (int n = 0; n < 6; ++n) {
            const bool stored = n % 2 == 0;
            const auto type = stored ? frame_type::directory_update_compressed : frame_type::forward_request;
            const std::string payload = stored ? compressed : headers;
            std::optional<reply> answer;
            to_peer.request({type, 0, payload}, 1s, [&](const reply& it) { answer = it; });
            CHECK(run_until(context, [&] { return answer.has_value(); }));
            same += answer && answer->answer && answer->answer->payload == payload ? 1 : 0;
        }
        CHECK(same == 6);
    }
    SUBCASE("also with a peer that does not compress") {
        const endpoint_address other{"127.0.0.1", 31412};
        peer_server plain(context, other, identity("c"), {}, echo);
        peer_link to_plain(context, other, identity("a"), settings, nullptr);
        REQUIRE(run_until(context, [&] { return to_plain.up(); }));
        bool same = false;
        to_plain.request({frame_type::forward_request, 0, headers}, 1s,
                         [&](const reply& it) { same = it.answer && it.answer->payload == headers; });
        CHECK(run_until(context, [&] { return same; }));
    }
}

// Guards against traffic on the many links that are idle most of the time.
TEST_CASE("a link without heartbeats when idle") {
    asio::io_context context;
    link_options settings;
    settings.heartbeat_when_idle = false;
    settings.heartbeat_interval = 20ms;
    settings.heartbeat_timeout = 100ms;

    SUBCASE("sends nothing and stays up") {
        peer_server peer(context, listen_address, identity("b"), settings, echo);
        peer_link to_peer(context, listen_address, identity("a"), settings, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        const auto sent = to_peer.bytes_sent();
        const auto end = steady_now() + 300ms;
        CHECK(run_until(context, [&] { return steady_now() > end; }));
        CHECK(to_peer.up());
        CHECK(to_peer.bytes_sent() == sent);

        SUBCASE("and waits for a reply longer than the heartbeat timeout while the peer is alive") {
            std::shared_ptr<connection> requester;
            frame received_request;
            peer_server slow(context, {"127.0.0.1", 31413}, identity("c"), settings,
                             [&](const std::shared_ptr<connection>& from, frame received) {
                                 requester = from;
                                 received_request = std::move(received);
                             });
            peer_link to_slow(context, {"127.0.0.1", 31413}, identity("a"), settings, nullptr);
            REQUIRE(run_until(context, [&] { return to_slow.up(); }));
            std::optional<reply> answer;
            to_slow.request({frame_type::forward_request, 0, "x"}, 1s, [&](const reply& it) { answer = it; });
            const auto later = steady_now() + 300ms;
            CHECK(run_until(context, [&] { return requester && steady_now() > later; }));
            CHECK_FALSE(answer);
            echo(requester, received_request);
            CHECK(run_until(context, [&] { return answer.has_value(); }));
            CHECK(answer->answer.has_value());
        }
    }
    // Guards against taking an own pause for the silence of the peer: requests in progress were given up.
    SUBCASE("keeps a pending request while this process itself does not run") {
        asio::io_context peer_context;
        peer_server peer(peer_context, listen_address, identity("b"), settings,
                         [&](const std::shared_ptr<connection>& from, const frame& received) {
                             auto timer = std::make_shared<asio::steady_timer>(peer_context, 500ms);
                             timer->async_wait([timer, from, received](auto) { echo(from, received); });
                         });
        std::thread peer_thread([&] { peer_context.run_for(2s); });
        peer_link to_peer(context, listen_address, identity("a"), settings, nullptr);
        const bool up = run_until(context, [&] { return to_peer.up(); });
        std::optional<reply> answer;
        to_peer.request({frame_type::forward_request, 0, "x"}, 2s, [&](const reply& it) { answer = it; });
        context.restart();
        context.run_for(5ms);
        std::this_thread::sleep_for(300ms);
        const bool answered = run_until(context, [&] { return answer.has_value(); });
        peer_context.stop();
        peer_thread.join();
        CHECK(up);
        REQUIRE(answered);
        CHECK(answer->answer.has_value());
    }
    // Guards against giving up requests in progress because the peer is slow for a moment.
    SUBCASE("with a silence limit keeps its requests while the peer is silent") {
        settings.silence_limit = 800ms;
        asio::io_context peer_context;
        duration pause{};
        peer_server peer(peer_context, listen_address, identity("b"), settings,
                         [&](const std::shared_ptr<connection>& from, const frame& received) {
                             std::this_thread::sleep_for(pause);
                             echo(from, received);
                         });
        peer_link to_peer(context, listen_address, identity("a"), settings, nullptr);
        std::vector<bool> states;
        to_peer.on_state_change([&](bool up) { states.push_back(up); });
        std::optional<reply> answer;
        const auto ask = [&] {
            std::thread peer_thread([&] { peer_context.run_for(2s); });
            const bool up = run_until(context, [&] { return to_peer.up(); });
            to_peer.request({frame_type::forward_request, 0, "x"}, 3s, [&](const reply& it) { answer = it; });
            const bool answered = run_until(context, [&] { return answer.has_value(); });
            peer_context.stop();
            peer_thread.join();
            return up && answered;
        };
        SUBCASE("which is up again when the peer is heard") {
            pause = 400ms;
            REQUIRE(ask());
            CHECK(answer->answer.has_value());
            CHECK(states == std::vector<bool>{true, false, true});
        }
        SUBCASE("but not beyond the limit") {
            pause = 1500ms;
            const time_point begun = steady_now();
            REQUIRE(ask());
            CHECK_FALSE(answer->answer.has_value());
            CHECK(answer->failure == link_failure::lost);
            CHECK(states == std::vector<bool>{true, false});
            CHECK(steady_now() - begun < 2s);
        }
    }
    // Guards against requests that wait for a frozen gate until their own timeout.
    SUBCASE("fails a pending request after the heartbeat timeout if the peer is silent") {
        silent_peer peer(context);
        peer_link to_peer(context, listen_address, identity("a"), settings, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        const time_point begun = steady_now();
        std::optional<reply> answer;
        to_peer.request({frame_type::forward_request, 0, "x"}, 2s, [&](const reply& it) { answer = it; });
        CHECK(run_until(context, [&] { return answer.has_value(); }));
        CHECK(answer->failure == link_failure::lost);
        CHECK(steady_now() - begun < 1s);
    }
}

// Guards against a settings file that ends the process: its seeds are dialled as they are.
TEST_CASE("a link to a name that is no address stays down") {
    asio::io_context context;
    peer_link to_peer(context, {"control.example", 1}, identity("a"), {}, nullptr);
    REQUIRE_NOTHROW(context.run_for(200ms));
    CHECK_FALSE(to_peer.up());
}

// Guards against a connection that is open and never read again, and against a thread that ends.
TEST_CASE("a handler that fails ends its connection, and the link is dialled again") {
    asio::io_context context;
    const auto run_past_failures = [&](const std::function<bool()>& condition) {
        int failures = 0;
        for (const auto end = std::chrono::steady_clock::now() + test_limit;
             !condition() && std::chrono::steady_clock::now() < end;) {
            try {
                context.restart();
                context.run_for(5ms);
            } catch (const std::runtime_error&) {
                ++failures;
            }
        }
        CHECK(condition());
        return failures;
    };
    SUBCASE("of a frame") {
        link_options patient;
        patient.heartbeat_timeout = 10s;
        peer_server peer(context, listen_address, identity("b"), patient,
                         [](const auto&, const frame&) { throw std::runtime_error("handler"); });
        peer_link to_peer(context, listen_address, identity("a"), patient, nullptr);
        int connected = 0;
        to_peer.on_state_change([&](bool up) { connected += up ? 1 : 0; });
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        std::optional<reply> ended;
        to_peer.request({frame_type::forward_request, 0, "x"}, 2s, [&](reply it) { ended = std::move(it); });
        CHECK(run_past_failures([&] { return ended && connected == 2; }) == 1);
        CHECK_FALSE(ended->answer);
        CHECK(ended->failure == link_failure::lost);
    }
    SUBCASE("of a request that has timed out; the others end too") {
        peer_server peer(context, listen_address, identity("b"), {}, [](const auto&, const frame&) {});
        peer_link to_peer(context, listen_address, identity("a"), {}, nullptr);
        REQUIRE(run_until(context, [&] { return to_peer.up(); }));
        int ended = 0;
        for (const auto timeout : {50ms, 50ms, 50ms, 100ms}) {
            to_peer.request({frame_type::forward_request, 0, "x"}, timeout, [&](const reply&) {
                if (++ended == 1) {
                    throw std::runtime_error("handler");
                }
            });
        }
        context.run_for(1ms);
        std::this_thread::sleep_for(60ms);
        CHECK(run_past_failures([&] { return ended == 4; }) == 1);
    }
}
