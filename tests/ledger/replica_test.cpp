#include <doctest/doctest.h>

#include <kingcupseam/ledger.h>

#include <algorithm>

using namespace kingcupseam;
using namespace kingcupseam::ledger;
using namespace std::chrono_literals;

namespace {

const time_point start{1s};

record make(const std::string& key, std::uint64_t epoch, std::uint64_t attempt, record_state state,
            const std::string& answer = "") {
    return {"s", 1, key, epoch, attempt, state, 200, answer, "d"};
}

record begun(std::uint64_t epoch, std::uint64_t attempt) {
    return make("k", epoch, attempt, record_state::begun);
}
record not_run(std::uint64_t epoch, std::uint64_t attempt) {
    return make("k", epoch, attempt, record_state::not_run);
}
record answered(std::uint64_t epoch, std::uint64_t attempt) {
    return make("k", epoch, attempt, record_state::answered, "a");
}

} // namespace

// Guards against a replaced gate or a delayed message that overwrites what a later gate must know.
TEST_CASE("a replica keeps the records that a later gate depends on") {
    replica tested({});
    SUBCASE("a write below the fenced epoch is refused, so that a replaced gate cannot record anything") {
        CHECK(tested.fence("s", 1, 7, start).accepted);
        const auto reply = tested.write(begun(6, 1), start);
        CHECK_FALSE(reply.accepted);
        CHECK(reply.fenced_epoch == 7);
        CHECK_FALSE(tested.fence("s", 1, 6, start).accepted);
        CHECK(tested.fence("s", 1, 7, start).accepted);
        CHECK(tested.size() == 0);
        CHECK(tested.write({"s", 2, "k", 1, 1, record_state::begun, 0, "", "d"}, start).accepted);
    }
    SUBCASE("begun does not replace begun of another gate or an answer") {
        CHECK(tested.write(begun(1, 1), start).accepted);
        CHECK(tested.write(begun(1, 1), start).accepted); // a repeated message
        const auto reply = tested.write(begun(2, 5), start);
        CHECK_FALSE(reply.accepted);
        CHECK(reply.existing == begun(1, 1));
        CHECK(tested.write(answered(2, 1), start).accepted);
        CHECK_FALSE(tested.write(begun(3, 9), start).accepted);
        CHECK_FALSE(tested.write(not_run(3, 9), start).accepted);
        CHECK(tested.fence("s", 1, 4, start).window == std::vector<record>{answered(2, 1)});
    }
    SUBCASE("a new attempt may begin after not_run, but a delayed begun of the old attempt is refused") {
        tested.write(begun(1, 1), start);
        CHECK(tested.write(not_run(1, 1), start).accepted);
        CHECK_FALSE(tested.write(begun(1, 1), start).accepted);
        CHECK(tested.write(begun(1, 2), start).accepted);
    }
    SUBCASE("a delayed not_run of the first attempt does not replace the second, which may be running") {
        tested.write(begun(1, 1), start);
        tested.write(not_run(1, 1), start);
        tested.write(begun(1, 2), start);
        CHECK_FALSE(tested.write(not_run(1, 1), start).accepted);
        CHECK(tested.fence("s", 1, 2, start).window.at(0).state == record_state::begun);
    }
}

// Guards against a second run of a key whose record was dropped to make space.
TEST_CASE("a full replica refuses writes and drops no record early") {
    replica_options settings;
    settings.max_records = 3;
    settings.max_answer_bytes = 100;
    settings.retention = 10s;
    replica tested(settings);
    SUBCASE("a full window refuses new keys until the retention has passed") {
        for (const char* it : {"a", "b", "c"}) {
            CHECK(tested.write(make(it, 1, 1, record_state::begun), start).accepted);
        }
        CHECK_FALSE(tested.write(make("e", 1, 1, record_state::begun), start + 9s).accepted);
        CHECK(tested.write(make("a", 1, 1, record_state::answered, "x"), start + 9s).accepted);
        CHECK(tested.write(make("e", 1, 1, record_state::begun), start + 10s).accepted);
        CHECK(tested.size() == 2);
        CHECK_FALSE(tested.write(make("a", 1, 2, record_state::begun), start + 10s).accepted);
    }
    SUBCASE("an answer over the limit is refused and the record stays begun") {
        tested.write(begun(1, 1), start);
        CHECK_FALSE(
            tested.write(make("k", 1, 1, record_state::answered, std::string(101, 'x')), start).accepted);
        CHECK(tested.fence("s", 1, 2, start).window.at(0).state == record_state::begun);
    }
    SUBCASE("memory stays within the limit and returns to zero") {
        settings.max_total_bytes = 1000;
        settings.max_records = 1000;
        replica small(settings);
        std::size_t accepted = 0;
        for (int n = 0; n < 100; ++n) {
            accepted +=
                small.write(make("key" + std::to_string(n), 1, 1, record_state::begun), start).accepted;
        }
        CHECK(accepted < 10);
        CHECK(small.size() == accepted);
        small.fence("s", 1, 1, start + 11s);
        CHECK(small.size() == 0);
        CHECK(small.bytes() == 0);
    }
}

// Guards against a majority that includes a replica without its records.
TEST_CASE("a replica that lost its records serves only after the windows of the others are installed") {
    replica tested({}, replica_start::awaiting_install);
    CHECK_FALSE(tested.write(begun(1, 1), start).accepted);
    CHECK_FALSE(tested.fence("s", 1, 9, start).accepted);
    SUBCASE("the latest record of each key is kept, whatever the order of the windows") {
        for (const bool swapped : {false, true}) {
            replica installed({}, replica_start::awaiting_install);
            const shard_window a{"s", 1, 5, {begun(3, 2), make("m", 2, 1, record_state::not_run)}};
            const shard_window b{"s", 1, 5, {answered(3, 2), make("m", 2, 2, record_state::begun)}};
            installed.install(swapped ? std::vector{b, a} : std::vector{a, b}, start);
            CHECK(installed.ready());
            CHECK(installed.size() == 2);
            CHECK(installed.shards().size() == 1);
            CHECK_FALSE(installed.write(make("x", 4, 1, record_state::begun), start).accepted);
            auto window = installed.fence("s", 1, 6, start).window;
            std::sort(window.begin(), window.end(),
                      [](const auto& l, const auto& r) { return l.key < r.key; });
            CHECK(window.at(0) == answered(3, 2));
            CHECK(window.at(1).state == record_state::begun);
        }
    }
}

// Guards against an age of a key that is derived from bytes that are not a time.
TEST_CASE("the creation time is read from UUIDv7 keys only") {
    const auto at = creation_time("018f2c3a-1b2c-7def-8123-456789abcdef");
    REQUIRE(at);
    CHECK(at->time_since_epoch() == std::chrono::milliseconds(0x018f2c3a1b2c));
    for (const char* it : {"", "018f2c3a-1b2c-4def-8123-456789abcdef", "018f2c3a-1b2c-7def-c123-456789abcdef",
                           "018f2c3a11b2c-7def-8123-456789abcdef", "018f2c3g-1b2c-7def-8123-456789abcdef"}) {
        CHECK_FALSE(creation_time(it));
    }
}
