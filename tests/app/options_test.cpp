#include <doctest/doctest.h>

#include "app/load_options.h"
#include "app/load_workload.h"
#include "app/stand_in_answer.h"
#include "app/stand_in_options.h"

#include <kingcupseam/error.h>

#include <algorithm>
#include <map>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;

// Guards against load options that are misread, and invalid values that are accepted.
TEST_CASE("load options are parsed and invalid ones are refused") {
    const arguments base{"--address", "127.0.0.1:80,127.0.0.1:81"};
    const auto parse_with = [&](arguments more) {
        more.insert(more.begin(), base.begin(), base.end());
        return parse_load_options(more);
    };
    SUBCASE("the total rate is divided by the mix, and --rank-rate overrides the rate of one rank") {
        const auto it = parse_with({"--rate", "200", "--mix", "5:4:1", "--rank-rate", "deferrable:7"});
        REQUIRE(it);
        CHECK(it->addresses.size() == 2);
        CHECK(it->rates == std::array<double, 3>{100, 80, 7});
    }
    SUBCASE("floods and lateness limits are parsed per rank") {
        const auto it = parse_with({"--flood", "deferrable:500:2:3.5", "--late-after", "urgent:50"});
        REQUIRE(it);
        CHECK(it->floods == std::vector{flood{rank::deferrable, 500, 2s, 3500ms}});
        CHECK(it->late_after[0] == 50ms);
        CHECK(it->late_after[1] == 1s);
    }
    SUBCASE("an invalid value is refused") {
        for (const arguments& wrong : std::vector<arguments>{{"--rate", "-1"},
                                                             {"--rate", "many"},
                                                             {"--mix", "1:2"},
                                                             {"--mix", "0:0:0"},
                                                             {"--flood", "urgent:1:3:2"},
                                                             {"--flood", "soon:1:1:2"},
                                                             {"--flood", "urgent:1:1"},
                                                             {"--late-after", "urgent"},
                                                             {"--firm", "other"},
                                                             {"--keys", "0"},
                                                             {"--keys", "-1"},
                                                             {"--resend", "1.5"},
                                                             {"--json", "--csv"},
                                                             {"--unheard-of"},
                                                             {"stray"}}) {
            CAPTURE(wrong.front());
            CHECK_THROWS_AS(parse_with(wrong), invalid_input);
        }
        CHECK_THROWS_AS(parse_load_options({}), invalid_input);
        CHECK_THROWS_AS(parse_load_options({"--address", "localhost"}), invalid_input);
    }
    SUBCASE("--judge needs no address") {
        CHECK(parse_load_options({"--judge", "folder"})->addresses.empty());
    }
}

// Guards against stand-in options that are misread, and invalid values that are accepted.
TEST_CASE("stand-in options are parsed and invalid ones are refused") {
    const arguments base{"--name", "u1", "--service", "registry", "--listen", "127.0.0.1:90"};
    const auto parse_with = [&](arguments more) {
        more.insert(more.begin(), base.begin(), base.end());
        return parse_stand_in_options(more);
    };
    SUBCASE("values are converted from their units") {
        const auto it =
            parse_with({"--service-time", "12.5", "--no-grant-checks", "--instance", "127.0.0.1:1",
                        "--instance", "127.0.0.1:2", "--fault", "cut-off:10:20:0.5"});
        REQUIRE(it);
        CHECK(it->service_time == 12500us);
        CHECK_FALSE(it->checks_grants);
        CHECK(it->instances.size() == 2);
        CHECK(it->faults == std::vector{scheduled_fault{fault_kind::cut_off, 10ms, 20ms, 0.5}});
    }
    SUBCASE("an invalid value is refused") {
        for (const arguments& wrong : std::vector<arguments>{{"--slots", "0"},
                                                             {"--slots", "-1"},
                                                             {"--fault", "burn:0:1"},
                                                             {"--fault", "late:0"},
                                                             {"--fault", "late:0:1:2"},
                                                             {"--cold-start", "0.5"},
                                                             {"--load-misreport", "-1"}}) {
            CAPTURE(wrong.front());
            CHECK_THROWS_AS(parse_with(wrong), invalid_input);
        }
        CHECK_THROWS_AS(parse_stand_in_options({"--name", "u1"}), invalid_input);
        CHECK_THROWS_AS(
            parse_stand_in_options({"--name", "a b", "--service", "s", "--listen", "127.0.0.1:90"}),
            invalid_input);
    }
}

// Guards against a stand-in that is faster or slower than configured, or that does not warm up.
TEST_CASE("service times have the configured mean and decline from the cold-start factor") {
    stand_in_options settings;
    settings.service_time = 10ms;
    settings.cold_start = 3;
    settings.cold_start_period = 1s;
    const time_point start(5s);
    SUBCASE("fixed service times") {
        service_time_source source(settings, start);
        CHECK(source.next(start) == 30ms);
        CHECK(source.next(start + 500ms) == 20ms);
        CHECK(source.next(start + 2s) == 10ms);
    }
    SUBCASE("lognormal service times") {
        settings.service_time_spread = 0.5;
        service_time_source source(settings, start);
        duration sum{};
        for (int n = 0; n < 20000; ++n) {
            sum += source.next(start + 2s);
        }
        CHECK(sum / 20000 > 9800us);
        CHECK(sum / 20000 < 10200us);
    }
}

// Guards against load runs that are not reproducible or do not have the configured rates and hot keys.
TEST_CASE("the planned requests follow the load options") {
    load_options settings;
    settings.rates = {400, 100, 0};
    settings.length = 10s;
    settings.keys = 1000;
    const auto plan = [](const load_options& it) {
        std::vector<planned_request> all;
        workload source(it);
        while (auto next = source.next()) {
            all.push_back(*next);
        }
        return all;
    };
    SUBCASE("the same seed gives the same requests, in time order") {
        const auto all = plan(settings);
        CHECK(all == plan(settings));
        CHECK(
            std::is_sorted(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
        CHECK(all.size() > 4700);
        CHECK(all.size() < 5300);
    }
    SUBCASE("a flood adds requests only between its start and end") {
        settings.floods = {{rank::deferrable, 1000, 2s, 4s}};
        std::size_t count = 0;
        for (const auto& it : plan(settings)) {
            if (it.priority == rank::deferrable) {
                ++count;
                CHECK(it.at >= 2s);
                CHECK(it.at < 4s);
            }
        }
        CHECK(count > 1800);
        CHECK(count < 2200);
    }
    SUBCASE("a key skew makes a few keys hot, and a shift moves the load to other keys") {
        settings.key_skew = 1.2;
        settings.hot_key_shift = 5s;
        std::map<std::string, int> first;
        std::map<std::string, int> second;
        for (const auto& it : plan(settings)) {
            ++(it.at < 5s ? first : second)[it.key];
        }
        CHECK(first["key-0"] > 250);
        CHECK(second["key-0"] < 50);
        CHECK(second["key-919"] > 250); // key-0 shifted by 7919 modulo 1000 keys
    }
}

// Guards against a truncated or altered answer that the load generator counts as valid.
TEST_CASE("a stand-in answer is decoded only if it is complete and undamaged") {
    const stand_in_answer answer{"k", "id", "POST", "/path", "u1", 7};
    const auto body = encode_answer(answer, 400);
    CHECK(body.size() == 400);
    CHECK(decode_answer(body) == answer);
    CHECK_FALSE(decode_answer(body.substr(0, 399)));
    auto damaged = body;
    damaged.replace(damaged.find("\"id\""), 4, "\"ie\"");
    CHECK_FALSE(decode_answer(damaged));
    CHECK_FALSE(decode_answer("[]"));
}
