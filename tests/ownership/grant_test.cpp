#include <doctest/doctest.h>

#include <kingcupseam/ownership.h>

using namespace kingcupseam;
using namespace kingcupseam::ownership;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours(1)};
const auto never = time_point::max();
const grant_holder::scope low_shards{{{0, 9}}, {"hot"}, {"moved"}};

/// Delivers one push to the upstream and its answer to the gate, without delay.
void exchange(grant_issuer& gate, grant_holder& upstream, time_point now, time_point gate_lease_end) {
    const auto sent = gate.poll(now, gate_lease_end);
    if (!sent) {
        return;
    }
    std::optional<grant_holder::scope> granted;
    if (sent->with_shards) {
        granted = sent->revoke ? grant_holder::scope{} : low_shards;
    }
    const auto answer = upstream.receive(sent->epoch, sent->version, sent->lease, sent->token, granted, now);
    REQUIRE(answer == grant_holder::reply::accepted);
    gate.on_accepted(sent->epoch, sent->version, now);
    gate.on_token(upstream.issue_token(now), now, now);
}

} // namespace

// Guards against a request that runs without a live grant, and against a gate that takes a grant for ended
// while it is live.
TEST_CASE("a grant is live from the second push to the end of its lease") {
    grant_issuer gate(600ms, 150ms);
    grant_holder upstream(1);
    gate.assign(5, 4);
    exchange(gate, upstream, start, start + 10s);
    CHECK_FALSE(gate.may_dispatch(start));
    CHECK(upstream.check(5, 3, "k", start) == grant_refusal::no_lease);
    exchange(gate, upstream, start, start + 10s);
    CHECK(gate.may_dispatch(start));
    CHECK(upstream.check(5, 3, "k", start) == grant_refusal::none);

    SUBCASE("only granted keys run") {
        CHECK(upstream.check(5, 30, "k", start) == grant_refusal::not_granted);
        CHECK(upstream.check(5, 30, "hot", start) == grant_refusal::none);
        CHECK(upstream.check(5, 3, "moved", start) == grant_refusal::not_granted);
        CHECK(upstream.check(4, 3, "k", start) == grant_refusal::lower_epoch);
    }
    SUBCASE("dispatch stops before the lease ends, and the gate never assumes an earlier end than the "
            "upstream") {
        CHECK_FALSE(gate.may_dispatch(start + 600ms - dispatch_margin(600ms)));
        CHECK(gate.may_dispatch(start + 600ms - dispatch_margin(600ms) - 1us));
        CHECK(gate.may_live_until() >= upstream.live_until());
        CHECK(upstream.check(5, 3, "k", start + 600ms) == grant_refusal::no_lease);
    }
    SUBCASE("a revocation that is acknowledged ends the grant at once") {
        gate.revoke(7);
        CHECK_FALSE(gate.may_dispatch(start + 1ms));
        CHECK_FALSE(gate.revoked(start + 1ms));
        exchange(gate, upstream, start + 1ms, start + 10s);
        CHECK(gate.revoked(start + 1ms));
        CHECK(upstream.check(7, 3, "k", start + 1ms) != grant_refusal::none);
    }
    SUBCASE("a revocation without an answer ends once the grant must have expired") {
        gate.revoke(7);
        CHECK(gate.poll(start + 1ms, start + 10s)->revoke);
        gate.on_failure(start + 2ms);
        CHECK(gate.failures() == 1);
        CHECK_FALSE(gate.revoked(upstream.live_until()));
        CHECK(gate.revoked(gate.may_live_until()));
    }
    SUBCASE("a higher epoch at the upstream ends dispatch of the former gate") {
        gate.on_higher_epoch(9, start + 1ms);
        CHECK_FALSE(gate.may_dispatch(start + 1ms));
        CHECK_FALSE(gate.poll(start + 1s, start + 10s));
    }
}

// Guards against a lease that lasts longer because its message was under way for long.
TEST_CASE("a grant that the network delays does not extend the lease") {
    grant_holder upstream(2);
    const auto token = upstream.issue_token(start);
    CHECK(upstream.receive(5, 4, 600ms, token, low_shards, start + 500ms) == grant_holder::reply::accepted);
    CHECK(upstream.live_until() == start + 600ms);
    CHECK(upstream.receive(5, 4, 600ms, token, std::nullopt, start + 900ms) == grant_holder::reply::accepted);
    CHECK(upstream.check(5, 3, "k", start + 900ms) == grant_refusal::no_lease);

    SUBCASE("an unknown token, or one older than a minute, does not extend the grant") {
        upstream.receive(5, 4, 600ms, "unknown", std::nullopt, start + 1s);
        CHECK(upstream.live_until() == start + 600ms);
        upstream.receive(5, 4, 600s, token, std::nullopt, start + 61s);
        CHECK(upstream.live_until() == start + 600ms);
    }
}

// Guards against an upstream that runs shards again that it has lost.
TEST_CASE("delayed grants of a lower epoch or version change nothing") {
    grant_holder upstream(3);
    const auto token = upstream.issue_token(start);
    upstream.receive(8, 8, 600ms, token, grant_holder::scope{}, start);
    CHECK(upstream.receive(7, 7, 600ms, token, low_shards, start) == grant_holder::reply::lower_epoch);
    CHECK(upstream.receive(8, 7, 600ms, token, low_shards, start) == grant_holder::reply::lower_epoch);
    CHECK(upstream.check(8, 3, "k", start) == grant_refusal::not_granted);
    CHECK(upstream.receive(9, 9, 600ms, token, std::nullopt, start) == grant_holder::reply::shards_missing);
    CHECK(upstream.epoch() == 9);
    CHECK(upstream.version() == 8);
    CHECK(upstream.receive(9, 8, 600ms, token, low_shards, start) == grant_holder::reply::lower_epoch);
}

// Guards against an upstream that runs shards after its gate was replaced.
TEST_CASE("no grant outlasts the lease of its gate") {
    grant_issuer gate(600ms, 150ms);
    grant_holder upstream(4);
    gate.assign(5, 4);
    exchange(gate, upstream, start, start + 200ms);
    exchange(gate, upstream, start, start + 200ms);
    CHECK(gate.may_live_until() <= start + 200ms);
    CHECK(upstream.live_until() <= start + 200ms);
    CHECK_FALSE(gate.poll(start + 200ms, start + 200ms));
    CHECK(gate.may_live_until() <= start + 200ms);
}

// Guards against a move that completes while a grant of the former gate is live.
TEST_CASE("a gate that took over does not report an acknowledgement that it never got") {
    grant_issuer gate(600ms, 150ms);
    grant_holder upstream(6);
    gate.revoke(9);
    CHECK(gate.revoked(start));
    CHECK_FALSE(gate.acknowledged());
    exchange(gate, upstream, start, start + 10s);
    CHECK(gate.acknowledged());
}

// Guards against a lease for a grant that the upstream has not accepted.
TEST_CASE("requests renew only an accepted grant") {
    grant_issuer gate(600ms, 150ms);
    grant_holder upstream(5);
    gate.assign(5, 4);
    CHECK_FALSE(gate.renew_with_request(start, never));
    exchange(gate, upstream, start, start + 10s);
    exchange(gate, upstream, start, start + 10s);
    REQUIRE(gate.renew_with_request(start + 10ms, start + 10s));
    CHECK_FALSE(gate.renew_with_request(start + 10ms, start + 5ms));
    gate.on_shards_missing(start + 20ms);
    CHECK_FALSE(gate.may_dispatch(start + 20ms));
    CHECK(gate.poll(start + 20ms, start + 10s)->with_shards);
}

// Guards against reporting an upstream as lost after one short disturbance of the network, or because of old
// failures right after it registered again.
TEST_CASE("failures count as missed renewals, not as single pushes") {
    grant_issuer gate(600ms, 150ms);
    gate.assign(5, 5);
    REQUIRE(gate.poll(start, never));
    gate.assign(6, 6);
    REQUIRE(gate.poll(start + 10ms, never));
    gate.on_failure(start + 100ms);
    gate.on_failure(start + 110ms);
    CHECK(gate.failures() == 1);

    SUBCASE("the next renewal counts") {
        gate.on_failure(start + 260ms);
        CHECK(gate.failures() == 2);
        SUBCASE("a new epoch after the upstream registered again resets the count") {
            gate.assign(7, 7);
            CHECK(gate.failures() == 0);
        }
    }
    SUBCASE("a move does not reset the first missed renewal") {
        gate.assign(7, 7);
        CHECK(gate.failures() == 1);
    }
}
