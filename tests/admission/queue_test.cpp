#include "admission/flood.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::admission;
using namespace std::chrono_literals;
using kingcupseam::test::flood_options;
using kingcupseam::test::flood_simulation;

namespace {

const time_point start{1s};

queue_options options(std::uint32_t slots, double standard, double deferrable) {
    queue_options result;
    result.slots = slots;
    result.ranks = {rank_policy{0, 256}, rank_policy{standard, 256}, rank_policy{deferrable, 256}};
    return result;
}

queued_request request(std::uint64_t id, rank value, duration timeout = 10s, bool exclusive = false) {
    return {id, value, start, start + timeout, exclusive};
}

std::optional<std::uint64_t> next_id(queue& tested, time_point now = start) {
    std::vector<queued_request> expired;
    const auto chosen = tested.next(now, expired);
    return chosen ? std::optional(chosen->id) : std::nullopt;
}

/// A second may hold one request less than the share, because a request cannot be split between seconds.
bool keeps_share(const test::flood_result& seen, rank value, double share, double slots) {
    return seen.mean_share(value, slots) >= share * 0.98 &&
           seen.smallest_share(value, slots) >= share - 0.02 / slots;
}

test::flood_result flood(queue& tested, double slots, std::size_t flooding, std::uint64_t seed) {
    const double capacity = slots * 100;
    flood_options load;
    load.arrivals_per_second = {capacity * 0.4, capacity * 0.4, capacity * 0.4};
    load.arrivals_per_second[flooding] = capacity * 2;
    load.timeout.fill(1s);
    return flood_simulation(tested, load, seed).run(12);
}

} // namespace

// Guards against a flood of one rank that takes the slot time guaranteed to the others.
TEST_CASE("a queue serves urgent requests first and keeps the guaranteed shares of the other ranks") {
    const auto tested = make_priority_queue_with_shares(options(1, 0, 0));
    SUBCASE("without shares the order is by rank, then by arrival") {
        const std::array<rank, 4> order{rank::deferrable, rank::standard, rank::urgent, rank::urgent};
        for (std::uint64_t n = 0; n < order.size(); ++n) {
            CHECK(tested->admit(request(n, order[n]), start) == admit_result::admitted);
        }
        for (const std::uint64_t expected : {2U, 3U, 1U, 0U}) {
            CHECK(next_id(*tested) == expected);
            CHECK_FALSE(next_id(*tested));
            tested->finished(expected, 1ms, start);
        }
    }
    SUBCASE("a flood of urgent or deferrable requests leaves each rank its share in each second") {
        for (const std::uint32_t slots : {2U, 6U}) {
            for (const std::size_t flooding : {0U, 2U}) {
                CAPTURE(slots);
                CAPTURE(flooding);
                const auto shared = make_priority_queue_with_shares(options(slots, 0.30, 0.15));
                const auto seen = flood(*shared, slots, flooding, 7);
                CHECK(seen.most_running <= slots);
                CHECK(keeps_share(seen, rank::standard, 0.30, slots));
                CHECK(keeps_share(seen, rank::deferrable, 0.15, slots));
            }
        }
    }
    SUBCASE("the share check detects a queue without shares during an urgent flood") {
        const auto without = make_priority_queue_with_shares(options(2, 0, 0));
        const auto seen = flood(*without, 2, 0, 7);
        CHECK_FALSE(keeps_share(seen, rank::standard, 0.30, 2));
        CHECK_FALSE(keeps_share(seen, rank::deferrable, 0.15, 2));
    }
    SUBCASE("the share check detects a queue in arrival order during an urgent flood") {
        const auto fifo = make_fifo_queue(options(2, 0.30, 0.15));
        CHECK_FALSE(keeps_share(flood(*fifo, 2, 0, 7), rank::standard, 0.30, 2));
    }
    SUBCASE("slot time that other ranks leave unused goes to urgent requests") {
        const auto shared = make_priority_queue_with_shares(options(2, 0.30, 0.15));
        flood_options load;
        load.arrivals_per_second = {400, 0, 0};
        CHECK(flood_simulation(*shared, load, 3).run(6).mean_share(rank::urgent, 2) > 0.97);
    }
}

// Guards against requests that wait although it is clear on arrival that they will miss their deadline, and
// against refusing requests that can be served.
TEST_CASE("a queue refuses at once what cannot be served in time") {
    const auto tested = make_priority_queue_with_shares(options(2, 0.25, 0));
    SUBCASE("each rank has its own queue limit, so a flood of one rank does not get the others refused") {
        for (std::uint64_t n = 0; n < 256; ++n) {
            CHECK(tested->admit(request(n, rank::deferrable, 1h), start) == admit_result::admitted);
        }
        CHECK(tested->admit(request(900, rank::deferrable, 1h), start) == admit_result::queue_full);
        CHECK(tested->saturated(rank::deferrable, 1h, start));
        CHECK(tested->admit(request(901, rank::urgent, 1h), start) == admit_result::admitted);
    }
    SUBCASE("the expected wait counts only requests that are served before the new one") {
        for (std::uint64_t n = 0; n < 20; ++n) {
            tested->admit(request(n, rank::deferrable), start);
        }
        while (next_id(*tested)) {
        }
        CHECK(tested->admit(request(100, rank::deferrable, 50ms), start) ==
              admit_result::would_miss_deadline);
        CHECK(tested->saturated(rank::deferrable, 50ms, start));
        CHECK(tested->admit(request(101, rank::urgent, 50ms), start) == admit_result::admitted);
    }
    SUBCASE("a guaranteed share shortens the expected wait behind an urgent flood") {
        for (std::uint64_t n = 0; n < 200; ++n) {
            tested->admit(request(n, rank::urgent), start);
        }
        while (next_id(*tested)) {
        }
        CHECK(tested->admit(request(300, rank::standard, 100ms), start) == admit_result::admitted);
        CHECK(tested->admit(request(301, rank::deferrable, 100ms), start) ==
              admit_result::would_miss_deadline);
    }
    SUBCASE("a lasting slowdown saturates the queue, a few outliers do not") {
        const auto run = [&](std::uint64_t id, duration service) {
            tested->admit(request(id, rank::urgent, 1h), start);
            next_id(*tested);
            tested->finished(id, service, start);
        };
        for (std::uint64_t n = 0; n < 40; ++n) {
            run(n, n % 20 == 0 ? 5s : 10ms);
        }
        for (std::uint64_t n = 100; n < 104; ++n) {
            tested->admit(request(n, rank::urgent, 1h), start);
        }
        next_id(*tested);
        CHECK_FALSE(tested->saturated(rank::urgent, 100ms, start));
        for (std::uint64_t n = 200; n < 260; ++n) {
            run(n, 1s);
        }
        CHECK(tested->saturated(rank::urgent, 100ms, start));
    }
    SUBCASE("an idle upstream gets a request even if the estimate is too high, so that it is corrected") {
        queue_options slow = options(1, 0, 0);
        slow.initial_service_time = 10s;
        const auto cold = make_priority_queue_with_shares(slow);
        CHECK(cold->admit(request(1, rank::urgent, 50ms), start) == admit_result::admitted);
        CHECK(cold->admit(request(2, rank::urgent, 50ms), start) == admit_result::would_miss_deadline);
    }
    SUBCASE("expired requests are returned at dispatch, also while no slot is usable") {
        tested->admit(request(1, rank::urgent, 20ms), start);
        tested->set_slots(0);
        std::vector<queued_request> expired;
        CHECK_FALSE(tested->next(start + 20ms, expired));
        REQUIRE(expired.size() == 1);
        CHECK(expired[0].id == 1);
    }
    SUBCASE("during a flood few dispatched urgent requests end after their deadline") {
        const auto shared = make_priority_queue_with_shares(options(6, 0.15, 0.05));
        flood_options load;
        load.arrivals_per_second = {1000, 120, 60};
        const auto seen = flood_simulation(*shared, load, 9).run(12);
        CHECK(double(seen.late[0]) < 0.1 * double(seen.in_time[0]));
    }
    SUBCASE("a free slot takes a request whose deadline leaves just the service time") {
        tested->admit(request(1, rank::urgent), start);
        next_id(*tested);
        CHECK(tested->admit(request(2, rank::urgent, 11ms), start) == admit_result::admitted);
        CHECK(tested->admit(request(3, rank::urgent, 11ms), start) == admit_result::would_miss_deadline);
    }
    SUBCASE("cancel and drain remove waiting requests only") {
        tested->admit(request(1, rank::urgent), start);
        tested->admit(request(2, rank::urgent), start);
        CHECK(next_id(*tested) == 1U);
        CHECK_FALSE(tested->cancel(1));
        CHECK(tested->cancel(2));
        CHECK_FALSE(tested->cancel(2));
        tested->admit(request(3, rank::standard), start);
        CHECK(tested->drain().size() == 1);
        CHECK(tested->running() == 1);
        CHECK(tested->waiting(rank::standard) == 0);
    }
}

// Guards against more load than the health of an upstream allows, and against a crash that cannot be
// attributed to one request.
TEST_CASE("slots may be fractional and a suspected poison request runs alone") {
    SUBCASE("a fractional number of slots is used in full on average") {
        for (const double slots : {0.5, 1.3, 2.0}) {
            const auto tested = make_priority_queue_with_shares(options(2, 0, 0));
            tested->set_slots(slots);
            flood_options load;
            load.arrivals_per_second = {600, 0, 0};
            const double used = flood_simulation(*tested, load, 5).run(12).mean_share(rank::urgent, 1);
            CHECK(used > slots * 0.9);
            CHECK(used < slots * 1.05);
        }
    }
    SUBCASE("an exclusive request waits until no other runs, and later requests wait for its end") {
        for (const bool shares : {true, false}) {
            const auto settings = options(3, 0.2, 0);
            const auto tested =
                shares ? make_priority_queue_with_shares(settings) : make_fifo_queue(settings);
            tested->admit(request(1, rank::urgent), start);
            tested->admit(request(2, rank::urgent, 10s, true), start);
            tested->admit(request(3, rank::urgent), start);
            CHECK(next_id(*tested) == 1U);
            CHECK_FALSE(next_id(*tested));
            tested->finished(1, 5ms, start);
            CHECK(next_id(*tested) == 2U);
            CHECK_FALSE(next_id(*tested));
            tested->finished(2, 5ms, start);
            CHECK(next_id(*tested) == 3U);
        }
    }
    SUBCASE("an exclusive request of a rank with a share is not starved by an urgent flood") {
        const auto tested = make_priority_queue_with_shares(options(2, 0.2, 0));
        std::uint64_t id = 10;
        std::map<time_point, std::uint64_t> ends;
        time_point ran{};
        tested->admit(request(1, rank::standard, 10s, true), start);
        for (time_point now = start; now < start + 500ms && ran == time_point{}; now += 1ms) {
            tested->admit({++id, rank::urgent, now, now + 1s, false}, now);
            while (!ends.empty() && ends.begin()->first <= now) {
                tested->finished(ends.begin()->second, 10ms, now);
                ends.erase(ends.begin());
            }
            while (const auto chosen = next_id(*tested, now)) {
                ends[now + 10ms + duration(std::int64_t(ends.size()))] = *chosen;
                ran = *chosen == 1 ? now : ran;
            }
        }
        CHECK(ran != time_point{});
    }
}
