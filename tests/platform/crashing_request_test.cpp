#include "dispatcher_harness.h"

#include "support/raw_server.h"

namespace kingcupseam::platform::test {

using kingcupseam::test::raw_server;

// Guards against a request that crashes one upstream after the other while its caller sends it again.
TEST_CASE("a request with which its upstream ended") {
    harness it([](const http_request& request) { return signed_answer(request); });
    raw_server crashing(it.context, [](const raw_server::connection_ptr& peer, int) {
        peer->read_request([peer](const std::string&) { peer->reset(); });
    });
    it.configure(false, 4, crashing.port(), 1);
    CHECK(it.send("/unsafe/1").status == 502);
    CHECK(it.under_test.take_report().crashed.empty());

    SUBCASE("is reported once the upstream is back as another life") {
        it.configure(false, 4, harness::first_port, 2);
        const auto report = it.under_test.take_report();
        REQUIRE(report.crashed.size() == 1);
        CHECK(report.crashed.front().upstream == directory::upstream_incarnation{"u", 1});
        const auto digest = report.crashed.front().digest;

        SUBCASE("and its next answer is reported while the leader watches it") {
            it.under_test.set_poison_requests({{digest, false}});
            CHECK(it.send("/unsafe/1").status == 200);
            CHECK(it.under_test.take_report().survived.contains(digest));
            CHECK(it.send("/unsafe/2").status == 200);
            CHECK(it.under_test.take_report().survived.empty());
        }
        SUBCASE("and reaches no upstream once the leader refuses it") {
            it.under_test.set_poison_requests({{digest, true}});
            CHECK(it.send("/unsafe/1").status == 503);
            CHECK(it.upstream.requests == 0);
            CHECK(it.send("/unsafe/2").status == 200);
        }
    }
}

} // namespace kingcupseam::platform::test
