#include "dispatcher_harness.h"

#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::platform::test {

namespace {

http_response limited_answer(const http_request& request, const std::string& limit) {
    auto answer = signed_answer(request);
    if (!limit.empty()) {
        answer.headers.emplace_back("Server-Limit", limit);
    }
    return answer;
}

struct caller {
    std::optional<http_response> answer;
    time_point sent;
};

/// Sends a request each interval, for a time.
std::vector<std::shared_ptr<caller>> send_for(harness& it, duration interval, duration time,
                                              const std::string& target = "/unsafe/1") {
    std::vector<std::shared_ptr<caller>> result;
    const time_point begun = steady_now();
    for (time_point next = begun; next < begun + time; next += interval) {
        it.run_until([&] { return steady_now() >= next; });
        const auto sender = std::make_shared<caller>();
        sender->sent = steady_now();
        result.push_back(sender);
        http_request request;
        request.method = "GET";
        request.target = target;
        request.connection = 7;
        request.headers = {{"Host", "h"},
                           {"X-Request-Id", "id-" + std::to_string(result.size())},
                           {"X-Deadline-Ms", "1400"},
                           {"X-Shard-Key", "5"}};
        it.under_test.handle(std::move(request),
                             [sender](http_response answer) { sender->answer = std::move(answer); });
    }
    return result;
}

} // namespace

// Guards against an upstream that gets far more requests than the limit that it states in its answers.
TEST_CASE("an upstream that limits the rate of its requests gets no more") {
    std::string limit = "10";
    harness it([&](const http_request& request) { return limited_answer(request, limit); });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    bool keyed = true;
    int shares = 1;

    SUBCASE("from its gate") {}
    SUBCASE("from an entry that is not its gate, which has its share") {
        gates.gate = "other entry";
        gates.linked = false;
        shares = 5;
        limit = "50";
    }
    SUBCASE("from each of the entries, where there are no gates") {
        keyed = false;
        shares = 5;
        limit = "50";
    }
    it.configure(keyed);
    it.under_test.set_entry_count(shares);
    REQUIRE(it.send("/unsafe/1").status == 200);
    it.upstream.requests = 0;

    const auto callers = send_for(it, milliseconds(10), milliseconds(2000));
    it.run_until([&] { return it.under_test.requests_in_flight() == 0; });
    CHECK(it.upstream.requests <= 10 * 2 + 8);
    CHECK(it.upstream.requests >= 10 * 2 - 4);
    for (const auto& sender : callers) {
        REQUIRE(sender->answer);
        if (sender->answer->status != 200) {
            CHECK(sender->answer->status == 503);
            CHECK(std::stod(sender->answer->header("Retry-After")) > 0);
        }
    }
    const auto report = it.under_test.take_report();
    REQUIRE(report.limits.size() == 1);
    CHECK(report.limits.front().upstream == directory::upstream_incarnation{"u", 1});
    CHECK(report.limits.front().max_rate == std::stod(limit));
    CHECK(it.under_test.take_report().limits.empty());
}

TEST_CASE("an upstream's limit ends with its first answer that states none") {
    std::string limit = "5";
    harness it([&](const http_request& request) { return limited_answer(request, limit); });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true);
    REQUIRE(it.send("/unsafe/1").status == 200);
    limit.clear();
    it.run_until([&] { return it.send("/unsafe/1").status == 200; });
    it.upstream.requests = 0;
    send_for(it, milliseconds(10), milliseconds(500));
    it.run_until([&] { return it.under_test.requests_in_flight() == 0; });
    CHECK(it.upstream.requests > 30);
    CHECK_FALSE(it.under_test.take_report().limits.front().max_rate);
}

// Guards against an entry that sends at full rate until its own first answer, after its start or that of a
// gate.
TEST_CASE("an entry keeps to a limit that the leader lists before it has had an answer") {
    harness it([&](const http_request& request) { return limited_answer(request, "10"); });
    it.configure();
    it.under_test.set_limits({{{"u", 1}, 10.0, {}}});
    send_for(it, milliseconds(10), milliseconds(1000));
    it.run_until([&] { return it.under_test.requests_in_flight() == 0; });
    CHECK(it.upstream.requests <= 10 + 8);

    SUBCASE("but not to one of an earlier incarnation") {
        it.configure(false, 4, harness::first_port, 2);
        it.upstream.requests = 0;
        CHECK(it.send("/unsafe/1").status == 200);
    }
}

// Guards against refused callers that all return at once, when there is still no room.
TEST_CASE("callers that a limit has no room for are told different times to return") {
    harness it([&](const http_request& request) { return limited_answer(request, "5"); });
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true);
    REQUIRE(it.send("/unsafe/1").status == 200);
    const time_point begun = steady_now();
    const auto callers = send_for(it, milliseconds(1), milliseconds(20));
    it.run_until([&] { return it.under_test.requests_in_flight() == 0; });
    std::vector<double> returns; // seconds after the start
    for (const auto& sender : callers) {
        if (sender->answer->status == 503) {
            const std::chrono::duration<double> sent = sender->sent - begun;
            returns.push_back(sent.count() + std::stod(sender->answer->header("Retry-After")));
        }
    }
    REQUIRE(returns.size() > 5);
    for (std::size_t n = 1; n < returns.size(); ++n) {
        CHECK(returns[n] - returns[n - 1] > 0.15); // one in 200 ms
    }
}

TEST_CASE("a limit is read from the answers of the upstream that states it") {
    const auto protocol = make_provider_protocol();
    const auto read = [&](int status, const std::string& text) {
        return protocol->read_answer({}, {status, {{"Server-Limit", text}}, {}, false}).asked.max_rate;
    };
    CHECK(read(200, "7.5") == 7.5);
    CHECK(read(503, "0") == 0.0);
    for (const char* text : {"", "-1", "nan", "inf", "1e999", "7 ", "a", "0x10"}) {
        CAPTURE(text);
        CHECK_FALSE(read(200, text));
    }
    CHECK_FALSE(read(421, "7.5"));
}

} // namespace kingcupseam::platform::test
