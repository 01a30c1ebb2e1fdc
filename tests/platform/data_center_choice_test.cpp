#include "dispatcher_harness.h"

namespace kingcupseam::platform::test {

// Guards against needless traffic between data centres, which is expensive: requests were sent to another one
// although a local upstream could answer in time.
TEST_CASE("a request without a key stays in its entry's data centre while it can be answered in time there") {
    const std::uint16_t remote_port = harness::first_port + 1;
    harness it([](const http_request&) { return std::nullopt; });
    fake_upstream remote(it.context, remote_port,
                         [](const http_request& request) { return signed_answer(request); });
    directory::snapshot state;
    auto config = std::make_shared<directory::configuration>();
    config->version = 1;
    config->services["s"] = {"s", "/health", 10, false, {}};
    config->routes["safe"] = {
        "safe", "h", "/safe/",  execution::idempotent, milliseconds(1500), milliseconds(400),
        1,      2,   {{"s", 1}}};
    state.index = 1;
    state.config = config;
    state.upstreams["near"] = {{"near", 1}, "s", "d", {"127.0.0.1", harness::first_port}, 1, false, false};
    state.upstreams["far"] = {{"far", 1}, "s", "e", {"127.0.0.1", remote_port}, 4, false, false};
    it.under_test.set_directory(std::make_shared<const directory::snapshot>(state));

    // One slot, and a service time of 100 ms as assumed before the first answer: the fourth request would be
    // answered after 400 ms.
    std::vector<harness::answer_slot> answers(4);
    for (std::size_t n = 0; n < 3; ++n) {
        it.start("/safe/1", milliseconds(1400), answers[n]);
    }
    it.run_until([&] { return it.upstream.requests == 1; });
    CHECK(remote.requests == 0);

    it.start("/safe/1", milliseconds(1400), answers[3]);
    it.run_until([&] { return answers[3].has_value(); });
    CHECK(answers[3]->status == 200);
    CHECK(remote.requests == 1);
}

} // namespace kingcupseam::platform::test
