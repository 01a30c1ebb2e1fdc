#include <doctest/doctest.h>

#include <kingcupseam/ledger.h>

using namespace kingcupseam;
using namespace kingcupseam::ledger;
using namespace std::chrono_literals;

namespace {

const time_point start{1s};
const std::vector<std::string> names{"r1", "r2", "r3"};

record make(const std::string& key, std::uint64_t epoch = 5) {
    return {"s", 1, key, epoch, 0, record_state::begun, 0, "", "d"};
}

/// A writer that has fenced shard 1 at epoch 5 with an empty window and has dispatched the key "first". The
/// test supplies all replies.
struct fenced_writer {
    writer tested{30ms, 10s};
    std::vector<decision> decisions;

    fenced_writer() {
        const auto fence = begin(make("first"));
        REQUIRE(fence.size() == 3);
        REQUIRE(fence[0].fence);
        tested.on_fence_reply(fence[0].operation, "r1", {true, 5, {}}, start);
        const auto writes = tested.on_fence_reply(fence[0].operation, "r2", {true, 5, {}}, start);
        REQUIRE(writes.size() == 3);
        tested.on_fence_reply(fence[0].operation, "r3", {true, 5, {}}, start);
        reply(writes[0].operation, "r1", true);
        reply(writes[0].operation, "r2", true);
        REQUIRE(decisions.size() == 1);
        REQUIRE(decisions[0].result == verdict::dispatch);
        decisions.clear();
        REQUIRE(tested.pending() == 0);
    }
    std::vector<replica_request> begin(const record& wanted, time_point now = start) {
        return tested.begin(
            wanted, names, [this](const decision& it) { decisions.push_back(it); }, now);
    }
    std::vector<replica_request> reply(std::uint64_t operation, const std::string& from, bool accepted,
                                       std::optional<record> existing = {}, std::uint64_t epoch = 5) {
        return tested.on_write_reply(operation, from, {accepted, epoch, std::move(existing)}, start);
    }
};

} // namespace

// Guards against a dispatch without a majority, or after the attempt was reported as failed.
TEST_CASE("the writer counts each replica once and never resumes a failed attempt") {
    fenced_writer it;
    const auto writes = it.begin(make("k"));
    REQUIRE(writes.size() == 3);
    const auto id = writes[0].operation;
    SUBCASE("repeated replies and replies of other instances do not count toward the majority") {
        it.reply(id, "r1", true);
        it.reply(id, "r1", true);
        it.reply(id, "r9", true);
        CHECK(it.decisions.empty());
        it.reply(id, "r3", true);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::dispatch);
        it.reply(id, "r2", true);
        CHECK(it.decisions.size() == 1);
    }
    SUBCASE("an acceptance after the attempt failed does not dispatch") {
        it.reply(id, "r1", true);
        it.reply(id, "r2", false);
        const auto cleanup = it.tested.tick(start + 30ms);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::unavailable);
        REQUIRE(cleanup.size() == 3);
        CHECK(cleanup[0].write->state == record_state::not_run);
        CHECK(cleanup[0].write->attempt == writes[0].write->attempt);
        it.reply(id, "r3", true);
        CHECK(it.decisions.size() == 1);
        SUBCASE("a resend is a later attempt, which a delayed not_run cannot replace") {
            const auto again = it.begin(make("k"));
            REQUIRE(again.size() == 3);
            CHECK(again[0].write->attempt > cleanup[0].write->attempt);
        }
        SUBCASE("the not_run writes end too") {
            it.tested.tick(start + 60ms);
            CHECK(it.tested.pending() == 0);
        }
    }
    SUBCASE("a begun record of another gate, missing in the window, makes the key in doubt unless a majority "
            "accepts") {
        it.reply(id, "r1", false, make("k", 3));
        it.reply(id, "r2", true);
        CHECK(it.decisions.empty());
        it.tested.on_replica_failed(id, "r3", start);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::in_doubt);
    }
    SUBCASE("an answer that a replica already has is returned") {
        record known = make("k", 3);
        known.state = record_state::answered;
        known.answer = "a";
        it.reply(id, "r1", false, known);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::answer);
        CHECK(it.decisions[0].known->answer == "a");
    }
    SUBCASE("a replica that knows a higher epoch makes the gate stale at once") {
        it.reply(id, "r1", true);
        it.reply(id, "r2", false, {}, 9);
        it.reply(id, "r3", true);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::stale);
    }
    SUBCASE("duplicates wait and get the decision of a failed attempt") {
        CHECK(it.begin(make("k")).empty());
        it.tested.tick(start + 30ms);
        REQUIRE(it.decisions.size() == 2);
        CHECK(it.decisions[0].result == verdict::unavailable);
        CHECK(it.decisions[1].result == verdict::unavailable);
    }
    SUBCASE("a higher epoch of the same gate fences again and ends writes in progress") {
        const auto fence = it.begin(make("other", 6));
        REQUIRE(fence.size() == 3);
        CHECK(fence[0].fence);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::stale);
        CHECK(it.begin(make("k", 5)).empty());
        CHECK(it.decisions.back().result == verdict::stale);
    }
}

// Guards against a second run of a key through a duplicate or a resend.
TEST_CASE("duplicates get the recorded result, and a key whose result could not be recorded is in doubt") {
    fenced_writer it;
    record result = make("first");
    result.state = record_state::answered;
    result.answer = "a";
    std::optional<bool> recorded;
    const auto finish = [&](const record& wanted) {
        return it.tested.finish(
            wanted, names, [&](bool majority) { recorded = majority; }, start);
    };
    CHECK(it.begin(make("first")).empty());
    SUBCASE("the waiting duplicate and a later resend get the recorded answer") {
        const auto writes = finish(result);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::answer);
        it.reply(writes[0].operation, "r1", true);
        CHECK_FALSE(recorded);
        it.reply(writes[0].operation, "r2", true);
        CHECK(recorded == true);
        it.begin(make("first"));
        CHECK(it.decisions.back().result == verdict::answer);
        CHECK(it.decisions.back().known->answer == "a");
    }
    SUBCASE("lost writes of an answer are resent to the replicas that have not replied") {
        const auto writes = finish(result);
        it.reply(writes[0].operation, "r1", true);
        const auto again = it.tested.tick(start + 30ms);
        REQUIRE(again.size() == 2);
        CHECK(again[0].replica == "r2");
        it.reply(again[0].operation, "r3", true);
        CHECK(recorded == true);
    }
    SUBCASE("later resends are in doubt if a majority refuses the answer") {
        const auto writes = finish(result);
        it.reply(writes[0].operation, "r1", false);
        it.reply(writes[0].operation, "r2", false);
        CHECK(recorded == false);
        it.begin(make("first"));
        CHECK(it.decisions.back().result == verdict::in_doubt);
    }
    SUBCASE("an abandoned request is in doubt until its late answer is recorded") {
        it.tested.abandon("s", 1, "first");
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::in_doubt);
        it.begin(make("first"));
        CHECK(it.decisions.back().result == verdict::in_doubt);
        CHECK(finish(result).size() == 3);
        it.begin(make("first"));
        CHECK(it.decisions.back().result == verdict::answer);
    }
    SUBCASE("a result for a key that this writer did not dispatch is ignored") {
        record other = result;
        other.key = "unknown";
        CHECK(finish(other).empty());
        CHECK(recorded == false);
    }
    SUBCASE("the writer keeps a key longer than the replicas do, then drops it") {
        finish(result);
        it.begin(make("first"), start + 11s);
        CHECK(it.decisions.back().result == verdict::answer);
        CHECK(it.begin(make("first"), start + 13s).size() == 3);
    }
}

// Guards against a callback that invalidates an operation which the writer still uses.
TEST_CASE("a callback may call the writer again") {
    writer tested(30ms);
    bool recorded = false;
    std::vector<replica_request> nested;
    const auto on_decision = [&](const decision& it) {
        record result = *it.known;
        result.state = record_state::not_run;
        nested = tested.finish(
            result, {"r1"}, [&](bool majority) { recorded = majority; }, start);
    };
    const auto fence = tested.begin(make("k"), {"r1"}, on_decision, start);
    const auto write = tested.on_fence_reply(fence.at(0).operation, "r1", {true, 5, {}}, start);
    tested.on_write_reply(write.at(0).operation, "r1", {true, 5, {}}, start);
    REQUIRE(nested.size() == 1);
    tested.on_write_reply(nested[0].operation, "r1", {true, 5, {}}, start);
    CHECK(recorded);
}

// Guards against a dispatch that no replica has recorded.
TEST_CASE("without replicas nothing is dispatched and the key is in doubt") {
    writer tested(30ms);
    std::optional<decision> decisions;
    CHECK(tested
              .begin(
                  make("k"), {}, [&](const decision& it) { decisions = it; }, start)
              .empty());
    REQUIRE(decisions);
    CHECK(decisions->result == verdict::in_doubt);
    CHECK_FALSE(decisions->known);
}

// Guards against reporting `not-run` for a request that is refused early although its key ran before.
TEST_CASE("look_up() finds the outcome of a key and records nothing") {
    fenced_writer it;
    const auto look_up = [&](const record& wanted) {
        it.decisions.clear();
        return it.tested.look_up(
            wanted, names, [&](const decision& found) { it.decisions.push_back(found); }, start);
    };
    const auto look_up_at_once = [&](const record& wanted) {
        CHECK(look_up(wanted).empty());
        REQUIRE(it.decisions.size() == 1);
        return it.decisions[0];
    };
    SUBCASE("a lookup in a fenced shard sends nothing, and an absent key can still begin") {
        const auto absent = look_up_at_once(make("k"));
        CHECK(absent.result == verdict::unavailable);
        CHECK_FALSE(absent.known);
        CHECK(it.tested.pending() == 0);
        CHECK(it.begin(make("k")).size() == 3);
    }
    SUBCASE("a key in progress is in doubt at once, since the refused request may not wait") {
        CHECK(look_up_at_once(make("first")).result == verdict::in_doubt);
        it.tested.abandon("s", 1, "first");
        const auto abandoned = look_up_at_once(make("first"));
        CHECK(abandoned.result == verdict::in_doubt);
        CHECK(abandoned.known);
    }
    SUBCASE("the key of a request that has ended") {
        record result = make("first");
        result.state = record_state::answered;
        result.answer = "a";
        SUBCASE("with an answer: the same request gets it, another one a conflict") {
            it.tested.finish(
                result, names, [](bool) {}, start);
            const auto found = look_up_at_once(make("first"));
            CHECK(found.result == verdict::answer);
            CHECK(found.known->answer == "a");
            auto other = make("first");
            other.digest = "another request";
            CHECK(look_up_at_once(other).result == verdict::conflict);
        }
        SUBCASE("without a start: the key is unavailable") {
            result.state = record_state::not_run;
            it.tested.finish(
                result, names, [](bool) {}, start);
            CHECK(look_up_at_once(make("first")).result == verdict::unavailable);
        }
    }
    SUBCASE("a shard that is not fenced yet is fenced once for all waiting lookups") {
        const auto fence = look_up(make("k", 6));
        REQUIRE(fence.size() == 3);
        CHECK(fence[0].fence);
        CHECK(it.decisions.empty());
        int second_decisions = 0;
        const auto second = it.tested.look_up(
            make("k2", 6), names, [&](const decision&) { ++second_decisions; }, start);
        CHECK(second.empty());
        SUBCASE("an earlier attempt in the window of one replica of the majority is found") {
            const record begun = make("k", 5);
            it.tested.on_fence_reply(fence[0].operation, "r1", {true, 6, {}}, start);
            CHECK(it.decisions.empty());
            CHECK(it.tested.on_fence_reply(fence[0].operation, "r2", {true, 6, {begun}}, start).empty());
            REQUIRE(it.decisions.size() == 1);
            CHECK(it.decisions[0].result == verdict::in_doubt);
            CHECK(it.decisions[0].known);
            CHECK(second_decisions == 1);
        }
        SUBCASE("without a majority of windows the key is in doubt") {
            it.tested.on_replica_failed(fence[0].operation, "r1", start);
            it.tested.tick(start + 30ms);
            REQUIRE(it.decisions.size() == 1);
            CHECK(it.decisions[0].result == verdict::in_doubt);
            CHECK_FALSE(it.decisions[0].known);
        }
        SUBCASE("a replica that knows a higher epoch makes the gate stale") {
            it.tested.on_fence_reply(fence[0].operation, "r1", {false, 9, {}}, start);
            REQUIRE(it.decisions.size() == 1);
            CHECK(it.decisions[0].result == verdict::stale);
        }
    }
}

// Guards against a second run of a key whose record was dropped under a shorter retention.
TEST_CASE("a longer retention extends existing records, and the guaranteed age of keys grows with time") {
    SUBCASE("replica") {
        replica tested({.retention = 10s});
        CHECK(tested.write(make("k"), start).accepted);
        tested.set_retention(60s);
        tested.fence("s", 1, 5, start + 30s);
        CHECK(tested.size() == 1);
        tested.set_retention(5s);
        tested.fence("s", 1, 5, start + 59s);
        CHECK(tested.size() == 1);
        tested.fence("s", 1, 5, start + 61s);
        CHECK(tested.size() == 0);
    }
    SUBCASE("writer") {
        fenced_writer it;
        record result = make("first");
        result.state = record_state::answered;
        it.tested.finish(
            result, names, [](bool) {}, start);
        it.tested.set_retention(60s);
        it.begin(make("first"), start + 70s);
        REQUIRE(it.decisions.size() == 1);
        CHECK(it.decisions[0].result == verdict::answer);
    }
    SUBCASE("guaranteed age") {
        guaranteed_retention tested(10s);
        tested.set_retention(600s, start);
        CHECK(tested.at(start) == 600s);
        tested.set_retention(3600s, start + 100s);
        CHECK(tested.at(start + 110s) == 600s);
        CHECK(tested.at(start + 210s) == 700s);
        tested.set_retention(650s, start + 210s);
        CHECK(tested.at(start + 210s) == 650s);
        CHECK(tested.at(start + 9999s) == 650s);
    }
}
