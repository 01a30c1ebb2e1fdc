#include <doctest/doctest.h>

#include "app/http_client.h"
#include "support/raw_server.h"

#include <kingcupseam/error.h>

#include <cstdlib>
#include <optional>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;
using test::raw_server;

namespace {

const std::string ok_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Name: Value\r\n\r\nok";

/// Answers every request on a connection.
void answer_every_request(const raw_server::connection_ptr& it) {
    it->read_request([it](const std::string&) {
        it->write(ok_answer);
        answer_every_request(it);
    });
}

struct fixture {
    asio::io_context context;
    http_client client{context, {.max_connections_per_host = 64, .max_response_bytes = 1024UL * 1024}};

    http_call call_to(const std::string& url, const std::string& body = "") {
        http_call call;
        call.method = body.empty() ? "GET" : "POST";
        call.url = url;
        call.body = body;
        call.timeout = 300ms;
        call.connect_timeout = 200ms;
        return call;
    }
    /// Sends a call and waits for its result, which must arrive exactly once.
    http_result send_and_wait(http_call call) {
        std::optional<http_result> result;
        int results = 0;
        client.send(std::move(call), [&](http_result it) {
            ++results;
            result = std::move(it);
        });
        const auto end = steady_now() + 3s;
        while (!result && steady_now() < end) {
            context.run_one_for(50ms);
        }
        run_for(20ms);
        REQUIRE(results == 1);
        return *result;
    }
    void run_for(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }
};

} // namespace

// Guards against answers that lose or change a part on their way, and against requests that libcurl changes:
// it would normalise paths, add headers and use a proxy from the environment.
TEST_CASE_FIXTURE(fixture, "a call sends its request unchanged and returns the whole answer") {
    std::string seen;
    raw_server server(context, [&](const auto& it, int) {
        it->read_request([&seen, it](const std::string& request) {
            seen = request;
            it->write(ok_answer);
        });
    });
    SUBCASE("status, lower-case headers and body arrive") {
        const auto result = send_and_wait(call_to(server.url("/a/../b?c=d")));
        CHECK(result.failure == http_failure::none);
        CHECK(result.connected);
        CHECK(result.answer.status == 200);
        CHECK(result.answer.body == "ok");
        CHECK(result.answer.headers.back() == std::pair<std::string, std::string>("x-name", "Value"));
        CHECK(seen.compare(0, 25, "GET /a/../b?c=d HTTP/1.1\r\n", 25) == 0);
    }
    SUBCASE("a large body is sent without an Expect header, which would cost a round trip and a second of "
            "waiting") {
        auto call = call_to(server.url(), std::string(2'000'000, 'x'));
        call.headers = {{"Idempotency-Key", "k"}, {"X-Empty", ""}};
        CHECK(send_and_wait(call).failure == http_failure::none);
        CHECK(seen.find("Expect") == std::string::npos);
        CHECK(seen.find("Content-Type") == std::string::npos);
        CHECK(seen.find("Idempotency-Key: k\r\n") != std::string::npos);
        CHECK(seen.find("X-Empty:") != std::string::npos);
        CHECK(seen.size() > 2'000'000);
    }
    SUBCASE("a proxy from the environment is ignored, because it would see and could repeat requests") {
        ::setenv("http_proxy", "http://127.0.0.1:1", 1);
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::none);
        ::unsetenv("http_proxy");
    }
    SUBCASE("a header with a line break is refused, because it could add a request") {
        auto call = call_to(server.url());
        call.headers = {{"X-Name", "a\r\nX-Other: b"}};
        CHECK_THROWS_AS(client.send(call, [](const http_result&) {}), invalid_input);
        CHECK_THROWS_AS(client.send(call_to("ftp://127.0.0.1/"), [](const http_result&) {}), invalid_input);
    }
}

// Guards against a client that sends a redirected request again, possibly to another server.
TEST_CASE_FIXTURE(fixture, "a redirect is returned as the answer and is not followed") {
    raw_server server(context, [](const auto& it, int) {
        it->read_request([it](const std::string&) {
            it->write("HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n");
        });
    });
    const auto result = send_and_wait(call_to(server.url()));
    CHECK(result.answer.status == 302);
    CHECK(server.accepted() == 1);
}

// Guards against a request that is treated as possibly run, and so not sent elsewhere, although none of its
// bytes has been sent.
TEST_CASE_FIXTURE(fixture, "a failure before any byte was sent is reported as not connected or not sent") {
    SUBCASE("nothing listens on the port") {
        raw_server server(context, [](const auto&, int) {});
        const auto url = server.url();
        server.stop_listening();
        const auto result = send_and_wait(call_to(url));
        CHECK(result.failure == http_failure::not_connected);
        CHECK_FALSE(result.connected);
    }
    SUBCASE("the connection cannot be established in time") {
        // A listener whose backlog is full neither accepts nor refuses connections.
        asio::ip::tcp::acceptor listener(context);
        listener.open(asio::ip::tcp::v4());
        listener.bind({asio::ip::make_address("127.0.0.1"), 0});
        listener.listen(0);
        std::vector<asio::ip::tcp::socket> backlog;
        for (int n = 0; n < 3; ++n) {
            backlog.emplace_back(context);
            backlog.back().non_blocking();
            backlog.back().async_connect(listener.local_endpoint(), [](auto) {});
        }
        run_for(50ms);
        const auto port = std::to_string(listener.local_endpoint().port());
        const auto result = send_and_wait(call_to("http://127.0.0.1:" + port + "/"));
        CHECK(result.failure == http_failure::not_connected);
        CHECK_FALSE(result.connected);
    }
    SUBCASE("a call that waited for a connection until its timeout was not sent") {
        raw_server server(context,
                          [](const auto& it, int) { it->read_request([it](const std::string&) {}); });
        http_client limited_client(context, {.max_connections_per_host = 1});
        std::vector<http_failure> failures;
        for (int n = 0; n < 2; ++n) {
            limited_client.send(call_to(server.url()),
                                [&](const http_result& it) { failures.push_back(it.failure); });
        }
        run_for(500ms);
        REQUIRE(failures.size() == 2);
        CHECK(failures[0] == http_failure::timeout);
        CHECK(failures[1] == http_failure::not_sent);
        CHECK(server.accepted() == 1);
    }
}

// Guards against a second run of an at-most-once request: a request that is reported as not sent may be sent
// again, although the peer may have read and run it.
TEST_CASE_FIXTURE(fixture,
                  "a failure after the peer may have read the request is never reported as not sent") {
    SUBCASE("the peer accepts and closes at once") {
        raw_server server(context, [](const auto& it, int) { it->close(); });
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::broken);
    }
    SUBCASE("the peer closes in the middle of the request") {
        raw_server server(context, [](const auto& it, int) {
            it->socket.async_wait(asio::ip::tcp::socket::wait_read, [it](auto) { it->reset(); });
        });
        CHECK(send_and_wait(call_to(server.url(), std::string(4'000'000, 'x'))).failure ==
              http_failure::broken);
    }
    SUBCASE("the peer closes after the request without an answer") {
        raw_server server(context, [](const auto& it, int) {
            it->read_request([it](const std::string&) { it->close(); });
        });
        CHECK(send_and_wait(call_to(server.url(), "body")).failure == http_failure::broken);
        CHECK(server.accepted() == 1);
    }
    SUBCASE("the peer goes silent") {
        raw_server server(context,
                          [](const auto& it, int) { it->read_request([it](const std::string&) {}); });
        const auto result = send_and_wait(call_to(server.url()));
        CHECK(result.failure == http_failure::timeout);
        CHECK(result.connected);
    }
    SUBCASE("the answer is larger than allowed") {
        raw_server server(context, [](const auto& it, int) {
            it->read_request([it](const std::string&) {
                it->write_async("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" +
                                std::string(2000000, 'x'));
            });
        });
        CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
    }
}

// Guards against a truncated answer that is passed on as complete.
TEST_CASE_FIXTURE(fixture, "an incomplete answer is reported as a failure") {
    std::string text;
    raw_server server(context, [&](const auto& it, int) {
        it->read_request([&text, it](const std::string&) {
            it->write(text);
            it->close();
        });
    });
    SUBCASE("the body is shorter than its Content-Length") {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort";
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::cut_off);
    }
    SUBCASE("the connection closes within the headers, which libcurl reports as success") {
        text = "HTTP/1.1 200 OK\r\nX-Name: Value\r\nContent-Le";
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::cut_off);
    }
    SUBCASE("a body without a declared length could be truncated unnoticed") {
        text = "HTTP/1.1 200 OK\r\n\r\nbody";
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::cut_off);
    }
    SUBCASE("the last chunk is missing") {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::cut_off);
    }
    SUBCASE("a chunked body with its last chunk is complete") {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        const auto result = send_and_wait(call_to(server.url()));
        CHECK(result.failure == http_failure::none);
        CHECK(result.answer.body == "body");
    }
}

// Guards against bytes that libcurl accepts although they are no HTTP answer.
TEST_CASE_FIXTURE(fixture, "a malformed answer is reported as a failure") {
    std::string text;
    raw_server server(context, [&](const auto& it, int) {
        it->read_request([&text, it](const std::string&) {
            it->write(text);
            it->close();
        });
    });
    SUBCASE("its status is not three digits from 100 to 599") {
        for (const std::string line :
             {"HTTP/1.1 000 x", "HTTP/1.1 099 x", "HTTP/1.1 20 x", "HTTP/1.1 600 x", "HTTP/1.1 0200 x",
              "HTTP/1.1  200 x", "HTTP/2.0 200 x", "HTTP/1.1 000"}) {
            CAPTURE(line);
            text = line + "\r\nContent-Length: 2\r\n\r\nok";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
    SUBCASE("the name of a field is no token") {
        for (const std::string field : {"X Name: v", " X-Name: v", "\tX-Name: v", "X-Name : v", " : v",
                                        "Content-Length : 2", "X-\x01Name: v", "X-\x7fName: v", "X\tName: v",
                                        "X-Name\t: v", "X-N\xc3\xa4me: v", ": v", "X-Name", " "}) {
            CAPTURE(field);
            text = "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
            text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + field + "\r\n\r\nok";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
    SUBCASE("the name of a field hides how the body is framed") {
        for (const std::string field :
             {"Transfer -Encoding: chunked", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked"}) {
            CAPTURE(field);
            text = "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
    SUBCASE("the name of a trailer is no token") {
        for (const std::string field : {"X Name: v", " X-Name: v", "X-Name : v"}) {
            CAPTURE(field);
            text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
    SUBCASE("the value of a field has a control byte") {
        for (const std::string& value : {std::string("a\0b", 3),
                                         std::string("a\x01"
                                                     "b"),
                                         std::string("a\rb")}) {
            CAPTURE(value);
            text = "HTTP/1.1 200 OK\r\nX-Name: " + value + "\r\nContent-Length: 2\r\n\r\nok";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
    SUBCASE("its transfer coding is not chunked") {
        for (const std::string coding :
             {"gzip", "x", "identity", "", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked,",
              "chunked;q=1", "chunkedx", "chunked\r\nTransfer-Encoding: chunked",
              "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked"}) {
            for (const std::string body : {"ok", "2\r\nok\r\n0\r\n\r\n"}) {
                CAPTURE(coding);
                CAPTURE(body);
                text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
                text.append(coding).append("\r\n\r\n").append(body);
                CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
            }
        }
    }
    SUBCASE("its length is ambiguous") {
        for (const std::string fields :
             {"Content-Length: 2\r\nContent-Length: 1\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n",
              "Content-Length: 2, 2\r\n", "Content-Length: +2\r\n", "Content-Length: -2\r\n",
              "Content-Length: 0x2\r\n", "Content-Length: \r\n", "Content-Length: 18446744073709551618\r\n",
              "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"}) {
            CAPTURE(fields);
            text = "HTTP/1.1 200 OK\r\n" + fields + "\r\nok";
            CHECK(send_and_wait(call_to(server.url())).failure != http_failure::none);
        }
    }
}

// Guards against the end of the process: libcurl 7.88 follows a stale pointer when a handle that has read an
// answer reads one whose head begins with a blank.
TEST_CASE_FIXTURE(fixture, "an answer whose head begins with a blank does no harm after other answers") {
    raw_server server(context, [](const auto& it, int number) {
        it->read_request([it, number](const std::string&) {
            const std::string blank = number % 2 == 0 ? " " : "";
            it->write("HTTP/1.1 200 OK\r\n" + blank + "X-Name: v\r\nContent-Length: 2\r\n\r\nok");
            it->close();
        });
    });
    for (int n = 1; n <= 4; ++n) {
        CAPTURE(n);
        const auto result = send_and_wait(call_to(server.url()));
        CHECK((result.failure == http_failure::none) == (n % 2 == 1));
    }
}

// Guards against a part of an answer that is taken for the whole, since the failure of the write hides the
// reset.
TEST_CASE_FIXTURE(fixture, "an answer that a reset cuts off during an upload is incomplete") {
    std::string text;
    SUBCASE("without a length") {
        text = "HTTP/1.1 200 OK\r\n\r\npart";
    }
    SUBCASE("with a length") {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart";
    }
    SUBCASE("in chunks") {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    }
    raw_server server(context, [&](const auto& it, int) {
        it->read_head([&text, it](const std::string&) {
            it->write(text);
            it->reset();
        });
    });
    const auto result = send_and_wait(call_to(server.url(), std::string(8'000'000, 'x')));
    CHECK(result.failure != http_failure::none);
}

// Guards against a new connection for each call, and against requests that libcurl sends again by itself when
// a reused connection closes although the peer may have run them.
TEST_CASE_FIXTURE(fixture, "a request on a pooled connection is sent at most once") {
    SUBCASE("the next call reuses the connection, and a call with fresh_connection does not") {
        raw_server server(context, [](const auto& it, int) { answer_every_request(it); });
        send_and_wait(call_to(server.url()));
        send_and_wait(call_to(server.url()));
        CHECK(server.accepted() == 1);
        auto call = call_to(server.url());
        call.fresh_connection = true;
        CHECK(send_and_wait(call).failure == http_failure::none);
        CHECK(server.accepted() == 2);
        send_and_wait(call_to(server.url()));
        CHECK(server.accepted() == 2);
    }
    SUBCASE("a connection that closed while idle is replaced before anything is written") {
        raw_server server(context, [](const auto& it, int) {
            it->read_request([it](const std::string&) {
                it->write(ok_answer);
                it->close();
            });
        });
        CHECK(send_and_wait(call_to(server.url())).failure == http_failure::none);
        run_for(50ms);
        CHECK(send_and_wait(call_to(server.url(), "body")).failure == http_failure::none);
        CHECK(server.accepted() == 2);
    }
    SUBCASE("a request lost on a reused connection is not sent again") {
        int requests = 0;
        raw_server server(context, [&](const auto& it, int) {
            it->read_request([&requests, it](const std::string&) {
                ++requests;
                it->write(ok_answer);
                it->read_request([&requests, it](const std::string&) {
                    ++requests;
                    it->close();
                });
            });
        });
        for (const char* body : {"body", ""}) {
            requests = 0;
            CHECK(send_and_wait(call_to(server.url())).failure == http_failure::none);
            const auto result = send_and_wait(call_to(server.url(), body));
            CHECK(result.failure == http_failure::broken);
            CHECK(result.connected);
            CHECK(requests == 2);
        }
        CHECK(server.accepted() == 2);
    }
    SUBCASE("a request lost on a reused connection is not sent on another idle one") {
        int requests = 0;
        bool close_without_answer = false;
        std::function<void(raw_server::connection_ptr)> serve = [&](const raw_server::connection_ptr& it) {
            it->read_request([&, it](const std::string&) {
                ++requests;
                if (close_without_answer) {
                    it->close();
                    return;
                }
                it->write(ok_answer);
                serve(it);
            });
        };
        raw_server server(context, [&](const auto& it, int) { serve(it); });
        int answered = 0;
        for (int n = 0; n < 3; ++n) {
            client.send(call_to(server.url()), [&](const http_result&) { ++answered; });
        }
        run_for(100ms);
        REQUIRE(answered == 3);
        REQUIRE(server.accepted() == 3);
        close_without_answer = true;
        CHECK(send_and_wait(call_to(server.url(), "body")).failure == http_failure::broken);
        CHECK(requests == 4);
    }
}

// Guards against a cancelled call that reports no result or several, or that leaves its connection open.
TEST_CASE_FIXTURE(fixture, "a cancelled call ends exactly once") {
    bool closed = false;
    raw_server server(context, [&](const auto& it, int) {
        it->read_request([&closed, it](const std::string&) {
            it->socket.async_wait(asio::ip::tcp::socket::wait_read, [&closed, it](auto) { closed = true; });
        });
    });
    std::vector<http_failure> reported;
    const auto id =
        client.send(call_to(server.url()), [&](const http_result& it) { reported.push_back(it.failure); });
    run_for(50ms);
    SUBCASE("its connection is closed and it ends exactly once") {
        client.cancel(id);
        client.cancel(id);
        run_for(400ms);
        CHECK(reported == std::vector{http_failure::cancelled});
        CHECK(closed);
    }
    SUBCASE("cancelling after the end has no effect") {
        run_for(400ms);
        client.cancel(id);
        run_for(50ms);
        CHECK(reported == std::vector{http_failure::timeout});
    }
}
