#include "router/gate_links.h"
#include "router/routing_codec.h"
#include "support/free_port.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;

constexpr duration max_test_time = std::chrono::seconds(10);
constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t max_answer_bytes = 32 * mebibyte;

/// A body whose bytes tell their place, so that lost, repeated or reordered parts are seen.
std::string long_body(std::size_t bytes) {
    std::string result;
    result.reserve(bytes + 16);
    while (result.size() < bytes) {
        result += std::to_string(result.size()) + '\n';
    }
    result.resize(bytes);
    return result;
}

directory::upstream gated_upstream() {
    return {{"u", 1}, "s", "south", {"127.0.0.1", 1}, 2, false, false};
}

/// An entry and a gate, each with a context of its own, so that the entry can stop to read.
class entry_and_gate {
public:
    explicit entry_and_gate(std::size_t entry_limit = max_answer_bytes,
                            std::size_t gate_limit = max_answer_bytes)
        : entry(entry_context, {{to_string(entry_address), 1}, "north"}, entry_address, no_requests(),
                entry_limit) {
        gate.emplace(gate_context, transport::peer_identity{{to_string(gate_address), 1}, "south"},
                     gate_address, store_requests(), gate_limit);
        entry.set_entries({{to_string(entry_address), "north"}, {to_string(gate_address), "south"}});
        REQUIRE(run_until([&] { return !entry.gate_of(gated_upstream()).empty(); }));
    }

    /// Forwards a request; its result is stored at the returned position of results.
    std::size_t forward(execution runs = execution::at_most_once) {
        routed_request request;
        request.request.id = "id";
        request.service = "s";
        request.runs = runs;
        request.time_left = max_test_time;
        const std::size_t position = results.size();
        results.emplace_back();
        numbers.push_back(
            entry.forward(to_string(gate_address), request, max_test_time,
                          [this, position](routed_result it) { results[position] = std::move(it); }));
        REQUIRE(run_until([&] { return replies.size() == position + 1; }));
        return position;
    }
    void answer(std::size_t position, const std::string& body) {
        replies[position]({200, {{"X-Signature", "sig"}}, body, false}, {"u", 1});
    }
    bool has_result(std::size_t position) {
        return run_until([&] { return results[position].has_value(); });
    }
    static void run(asio::io_context& context) {
        context.run_for(milliseconds(1));
        context.restart();
    }
    bool run_until(const std::function<bool()>& condition) {
        const time_point end = steady_now() + max_test_time;
        while (!condition() && steady_now() < end) {
            run(entry_context);
            run(gate_context);
        }
        return condition();
    }

    asio::io_context entry_context;
    asio::io_context gate_context;
    endpoint_address entry_address{"127.0.0.1", test::free_port()};
    endpoint_address gate_address{"127.0.0.1", test::free_port()};
    gate_links entry;
    std::optional<gate_links> gate;
    std::vector<routed_reply> replies; ///< of the requests that the gate has received
    std::vector<std::optional<routed_result>> results;
    std::vector<std::uint64_t> numbers;
    int withdrawn = 0;
    int disconnected = 0;

private:
    static gate_links::receiver no_requests() {
        return {
            [](const routed_request&, std::uint64_t, std::uint64_t, const routed_reply&) { return false; },
            [](std::uint64_t, std::uint64_t) {}, [](std::uint64_t) {}};
    }
    gate_links::receiver store_requests() {
        return {[this](const routed_request&, std::uint64_t, std::uint64_t, routed_reply reply) {
                    replies.push_back(std::move(reply));
                    return true;
                },
                [this](std::uint64_t, std::uint64_t) { ++withdrawn; },
                [this](std::uint64_t) { ++disconnected; }};
    }
};

} // namespace

// Guards against the end of the gate's process, with all its requests, when an answer is longer than a frame.
TEST_CASE("a gate passes a long answer to the entry that forwarded the request") {
    entry_and_gate it;
    const std::size_t asked = it.forward();

    SUBCASE("whole, up to the longest that an entry accepts") {
        for (const std::size_t bytes : {9 * mebibyte, max_answer_bytes}) {
            const std::string body = long_body(bytes);
            const std::size_t position = it.forward();
            it.answer(position, body);
            REQUIRE(it.has_result(position));
            CHECK(it.results[position]->end == routed_end::answered);
            CHECK(it.results[position]->answer.status == 200);
            CHECK(it.results[position]->answer.header("X-Signature") == "sig");
            CHECK(it.results[position]->answered_by.id == "u");
            CHECK((it.results[position]->answer.body == body));
        }
        CHECK_FALSE(it.gate->sending());
    }
    // Guards against callers that wait until another caller's long answer has passed.
    SUBCASE("and short answers between its parts") {
        const std::size_t short_one = it.forward();
        it.answer(asked, long_body(max_answer_bytes));
        it.answer(short_one, "short");
        REQUIRE(it.has_result(short_one));
        CHECK(it.results[short_one]->answer.body == "short");
        CHECK_FALSE(it.results[asked]);
        CHECK(it.has_result(asked));
    }
    SUBCASE("but not once the entry has withdrawn the request") {
        it.answer(asked, long_body(max_answer_bytes));
        REQUIRE(it.gate->sending());
        it.entry.withdraw(to_string(it.gate_address), it.numbers[asked]);
        REQUIRE(it.run_until([&] { return it.withdrawn == 1 && !it.gate->sending(); }));
        const std::size_t next = it.forward();
        it.answer(next, long_body(max_answer_bytes));
        REQUIRE(it.has_result(next));
        CHECK(it.results[next]->end == routed_end::answered);
        CHECK_FALSE(it.results[asked]);
    }
    // Guards against a part of an answer that is taken for the whole.
    SUBCASE("and a request whose answer was cut off ends as lost") {
        it.answer(asked, long_body(max_answer_bytes));
        for (int i = 0; i < 3; ++i) {
            entry_and_gate::run(it.gate_context);
            entry_and_gate::run(it.entry_context);
        }
        REQUIRE(it.gate->sending());
        it.gate.reset();
        REQUIRE(it.has_result(asked));
        CHECK(it.results[asked]->end == routed_end::lost);
    }
}

// Guards against long answers that fill the memory of a process, or the limit of unsent bytes, at which the
// link closes with all its requests.
TEST_CASE("long answers between entries take up bounded memory") {
    SUBCASE("an entry that does not read for a while gets them later, on the same link") {
        entry_and_gate it(2 * max_answer_bytes, 2 * max_answer_bytes);
        const std::string body = long_body(max_answer_bytes);
        const std::size_t first = it.forward();
        const std::size_t second = it.forward();
        it.answer(first, body);
        it.answer(second, body);
        const time_point end = steady_now() + milliseconds(300);
        while (steady_now() < end) {
            entry_and_gate::run(it.gate_context);
        }
        CHECK(it.gate->sending());
        REQUIRE(it.has_result(first));
        REQUIRE(it.has_result(second));
        CHECK((it.results[first]->answer.body == body));
        CHECK((it.results[second]->answer.body == body));
        CHECK(it.disconnected == 0);
    }
    SUBCASE("a gate that sends others tells at once that the answer is lost") {
        entry_and_gate it(max_answer_bytes, mebibyte);
        const std::size_t first = it.forward();
        const std::size_t second = it.forward();
        const std::string body = long_body(mebibyte);
        it.answer(first, body);
        it.answer(second, body);
        REQUIRE(it.has_result(second));
        CHECK(it.results[second]->end == routed_end::lost);
        REQUIRE(it.has_result(first));
        CHECK((it.results[first]->answer.body == body));

        SUBCASE("and sends the next one when they are sent") {
            const std::size_t third = it.forward();
            it.answer(third, body);
            REQUIRE(it.has_result(third));
            CHECK(it.results[third]->end == routed_end::answered);
        }
    }
    SUBCASE("an entry without room ends the request as lost and withdraws it at the gate") {
        entry_and_gate it(mebibyte, max_answer_bytes);
        const std::size_t asked = it.forward(execution::idempotent);
        it.answer(asked, long_body(4 * mebibyte));
        REQUIRE(it.has_result(asked));
        CHECK(it.results[asked]->end == routed_end::lost);
        CHECK(it.run_until([&] { return it.withdrawn == 1 && !it.gate->sending(); }));
        const std::size_t next = it.forward();
        it.answer(next, long_body(mebibyte));
        REQUIRE(it.has_result(next));
        CHECK(it.results[next]->end == routed_end::answered);
    }
    SUBCASE("an answer with headers longer than a frame is lost") {
        entry_and_gate it;
        const std::size_t asked = it.forward();
        it.replies[asked]({200, {{"X-Long", std::string(9 * mebibyte, 'x')}}, {}, false}, {"u", 1});
        REQUIRE(it.has_result(asked));
        CHECK(it.results[asked]->end == routed_end::lost);
    }
}

// Guards against an answer without some of its parts that is taken for the whole.
TEST_CASE("an answer of which not all parts have arrived is lost") {
    const routed_result sent{routed_end::answered, {200, {}, "end", false}, {}, {}};
    CHECK(decode_routed_result(encode(sent, 3), "abc").answer.body == "abcend");
    CHECK(decode_routed_result(encode(sent, 3), "ab").end == routed_end::lost);
    CHECK(decode_routed_result(encode(sent, 3)).end == routed_end::lost);
    CHECK(decode_routed_result(encode(sent), "abc").end == routed_end::lost);
}

} // namespace kingcupseam::router
