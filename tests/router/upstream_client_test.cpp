#include "router/upstream_client.h"

#include "support/raw_server.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kingcupseam::router {

namespace {

using asio::ip::tcp;

const std::string ok_answer = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nhi";

/// Answers each request with the next of the given byte strings. An empty string closes the connection,
/// "reset" resets it, and "silence" sends nothing.
class scripted_upstream {
public:
    scripted_upstream(asio::io_context& context, std::vector<std::string> answers)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          answers_(std::move(answers)) {
        accept();
    }
    endpoint_address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    void stop() { acceptor_.close(); }

    int connections = 0;
    int requests = 0;

private:
    struct peer {
        explicit peer(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        std::array<char, 4096> input{};
    };

    void accept() {
        acceptor_.async_accept([this](const asio::error_code& ec, tcp::socket socket) {
            if (!ec) {
                ++connections;
                read(std::make_shared<peer>(std::move(socket)));
                accept();
            }
        });
    }
    void read(const std::shared_ptr<peer>& it) {
        it->socket.async_read_some(
            asio::buffer(it->input), [this, it](const asio::error_code& ec, std::size_t) {
                if (ec) {
                    return;
                }
                const std::string answer = answers_.at(static_cast<std::size_t>(requests++));
                if (answer == "reset") {
                    it->socket.set_option(asio::socket_base::linger(true, 0));
                    it->socket.close();
                } else if (answer.empty()) {
                    it->socket.close();
                } else if (answer != "silence") {
                    const bool unframed = answer.find("Length") == std::string::npos;
                    asio::write(it->socket, asio::buffer(answer));
                    if (unframed) {
                        it->socket.close();
                    } else {
                        read(it);
                    }
                } else {
                    read(it);
                }
            });
    }

    tcp::acceptor acceptor_;
    std::vector<std::string> answers_;
};

struct harness {
    explicit harness(std::vector<std::string> answers) : upstream(context, std::move(answers)) {}

    exchange request(const std::string& id = "a") {
        exchange result;
        result.target = upstream.address();
        result.bytes = "GET / HTTP/1.1\r\nX-Id: " + id + "\r\n\r\n";
        result.id = id;
        result.timeout = std::chrono::milliseconds(500);
        return result;
    }
    exchange_result send(exchange wanted) {
        std::optional<exchange_result> result;
        client.send(std::move(wanted), [&](exchange_result it) { result = std::move(it); });
        while (!result) {
            context.run_one();
        }
        return std::move(*result);
    }

    asio::io_context context;
    scripted_upstream upstream;
    upstream_client client{context, {"X-Id"}};
};

} // namespace

TEST_CASE("consecutive requests reuse one connection") {
    harness it({ok_answer, ok_answer, ok_answer});
    for (int i = 0; i < 3; ++i) {
        const auto result = it.send(it.request());
        CHECK(result.end == exchange_end::answered);
        CHECK(result.answer.body == "hi");
    }
    CHECK(it.upstream.connections == 1);
}

// Guards against giving a caller the answer to another request.
TEST_CASE("an answer to an earlier request is dropped") {
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold";
    harness it({late + ok_answer, ok_answer});
    CHECK(it.send(it.request()).answer.body == "hi");
    it.send(it.request());
    CHECK(it.upstream.connections == 2); // the connection is not reused after a stale answer
}

// Guards against taking a second answer to an earlier request for the answer to this one.
TEST_CASE("an answer is taken only when it belongs to the request for certain") {
    const std::string without_id = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    SUBCASE("without an id on a new connection it does") {
        harness it({without_id});
        CHECK(it.send(it.request()).end == exchange_end::answered);
    }
    SUBCASE("without an id on a kept connection it may belong to an earlier request") {
        harness it({ok_answer, without_id});
        it.send(it.request());
        CHECK(it.send(it.request()).end == exchange_end::unmatched);
    }
    SUBCASE("with another id and without a length it belongs to an earlier request") {
        harness it({"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\nold"});
        CHECK(it.send(it.request()).end == exchange_end::broken);
    }
    SUBCASE("a connection that carried an attempt with the same id is not used") {
        harness it({ok_answer, ok_answer});
        auto again = it.request();
        again.excluded_connections = {it.send(it.request()).connection};
        CHECK(it.send(again).end == exchange_end::answered);
        CHECK(it.upstream.connections == 2);
    }
}

// Guards against cutting a request right after it was sent: a thread that was busy until the limit of the
// connect had passed took that limit for the one of the answer (LOST).
TEST_CASE("a connection that was made while the thread was busy carries its request") {
    harness it({ok_answer});
    std::optional<exchange_result> result;
    const time_point begun = steady_now();
    auto request = it.request();
    request.timeout = std::chrono::seconds(2);
    it.client.send(std::move(request), [&](exchange_result ended) { result = std::move(ended); });
    std::this_thread::sleep_for(std::chrono::milliseconds(350));
    while (!result) {
        it.context.run_one();
    }
    CHECK(result->end == exchange_end::answered);
    CHECK(result->answer.body == "hi");
    CHECK(it.upstream.requests == 1);
    CHECK(steady_now() - begun < std::chrono::seconds(2));
}

// Guards against a request that is sent only to be cut at once, as its time passed while the thread was busy.
TEST_CASE("a request whose time has passed before its connection was made is not sent") {
    harness it({ok_answer});
    std::optional<exchange_result> result;
    auto request = it.request();
    request.timeout = std::chrono::milliseconds(100);
    it.client.send(std::move(request), [&](exchange_result ended) { result = std::move(ended); });
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    while (!result) {
        it.context.run_one();
    }
    CHECK(result->end == exchange_end::not_sent);
    it.context.run_for(std::chrono::milliseconds(50));
    CHECK(it.upstream.requests == 0);
}

// Guards against passing on "100 Continue" as the answer.
TEST_CASE("an interim answer is not the answer") {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    harness it({interim + interim + ok_answer, ok_answer});
    CHECK(it.send(it.request()).answer.body == "hi");
    CHECK(it.send(it.request()).answer.body == "hi");
    CHECK(it.upstream.connections == 1);
}

// Guards against taking the extra bytes for the answer to the next request.
TEST_CASE("extra bytes after a complete answer close the connection") {
    harness it({ok_answer + "more", ok_answer});
    CHECK(it.send(it.request()).answer.body == "hi");
    CHECK(it.send(it.request()).answer.body == "hi");
    CHECK(it.upstream.connections == 2);
}

// Guards against passing on a part of an answer as the whole.
TEST_CASE("an answer that is cut off is not complete") {
    // The scripted upstream keeps the connection open after an answer with "Length" in it.
    const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhi";
    SUBCASE("the rest of a body of known length does not arrive") {
        harness it({cut + "", "reset"});
        CHECK(it.send(it.request()).end == exchange_end::timeout);
    }
    SUBCASE("the connection is closed before the first byte") {
        harness it({""});
        CHECK(it.send(it.request()).end == exchange_end::broken);
    }
    SUBCASE("the connection is reset") {
        harness it({"reset"});
        CHECK(it.send(it.request()).end == exchange_end::broken);
    }
    SUBCASE("an answer without a length is complete at the end of the connection") {
        harness it({"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall"});
        const auto result = it.send(it.request());
        CHECK(result.end == exchange_end::answered);
        CHECK(result.answer.body == "all");
    }
}

// Guards against the end of a connection that is taken for the end of an answer although a reset came first:
// the system reports a reset once, and the write of the request may get it before the read.
TEST_CASE("an answer without a length is complete only if the upstream ended it") {
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart";
    bool ended = false;
    SUBCASE("not when its connection is reset") {}
    SUBCASE("but when a reset refuses the rest of the request after the end") {
        ended = true;
    }
    asio::io_context context;
    kingcupseam::test::raw_server upstream(context, [&](const auto& peer, int) {
        peer->read_head([&, peer](const std::string&) {
            peer->write(answer);
            if (ended) {
                peer->end_answers();
            }
            peer->reset();
        });
    });
    upstream_client client(context, {"X-Id"});
    exchange upload;
    upload.target = {"127.0.0.1", upstream.port()};
    upload.bytes = "POST / HTTP/1.1\r\nX-Id: a\r\nContent-Length: 8000000\r\n\r\n";
    upload.body = std::string(8'000'000, 'x');
    upload.id = "a";
    upload.timeout = std::chrono::milliseconds(2000);
    std::optional<exchange_result> result;
    client.send(std::move(upload), [&](exchange_result it) { result = std::move(it); });
    while (!result) {
        context.run_one();
    }
    CHECK(result->end == (ended ? exchange_end::answered : exchange_end::broken));
    CHECK(result->answer.body == (ended ? "part" : ""));
}

TEST_CASE("bytes that are not HTTP are malformed") {
    harness it({"\x01\x02 nonsense Length\r\n\r\n"});
    CHECK(it.send(it.request()).end == exchange_end::malformed);
}

// Guards against a retry of a request that may run only once and may have arrived.
TEST_CASE("the result tells whether the request may have arrived") {
    harness it({"silence"});
    SUBCASE("connection refused: not sent") {
        auto wanted = it.request();
        it.upstream.stop();
        CHECK(it.send(std::move(wanted)).end == exchange_end::not_sent);
    }
    SUBCASE("no answer: timeout") {
        CHECK(it.send(it.request()).end == exchange_end::timeout);
    }
}

} // namespace kingcupseam::router
