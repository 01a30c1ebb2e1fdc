#include "dispatcher_harness.h"

#include "support/raw_server.h"

namespace kingcupseam::platform::test {

using kingcupseam::test::raw_server;

// Guards against a poison request that crashes one upstream after another while its caller retries it.
TEST_CASE("a request that was in flight when its upstream crashed") {
    harness it([](const http_request& request) { return signed_answer(request); });
    raw_server crashing(it.context, [](const raw_server::connection_ptr& peer, int) {
        peer->read_request([peer](const std::string&) { peer->reset(); });
    });
    it.configure(false, 4, crashing.port(), 1);
    CHECK(it.send("/unsafe/1").status == 502);
    CHECK(it.under_test.take_report().crashed.empty());

    SUBCASE("is reported when a later incarnation of the upstream appears") {
        it.configure(false, 4, harness::first_port, 2);
        const auto report = it.under_test.take_report();
        REQUIRE(report.crashed.size() == 1);
        CHECK(report.crashed.front().upstream == directory::upstream_incarnation{"u", 1});
        const auto digest = report.crashed.front().digest;

        SUBCASE("and an answer to it is reported while the leader lists it") {
            it.under_test.set_poison_requests({{digest, false}});
            CHECK(it.send("/unsafe/1").status == 200);
            CHECK(it.under_test.take_report().survived.contains(digest));
            CHECK(it.send("/unsafe/2").status == 200);
            CHECK(it.under_test.take_report().survived.empty());
        }
        SUBCASE("and is not sent any more when the leader refuses it") {
            it.under_test.set_poison_requests({{digest, true}});
            CHECK(it.send("/unsafe/1").status == 503);
            CHECK(it.upstream.requests == 0);
            CHECK(it.send("/unsafe/2").status == 200);
        }
    }
}

} // namespace kingcupseam::platform::test
