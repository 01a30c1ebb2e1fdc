#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

#include "support/failure.h"

using namespace kingcupseam;
using test::failure_of;

namespace {

const std::string top = "name = \"p\"\n";
const std::string look_up = "[[services.rules]]\nmethod = \"GET\"\npath = \"/s/{key}/a\"\nrank = \"urgent\"\n"
                            "runs = \"idempotent\"\n";
const std::string order = "[[services.rules]]\nmethod = \"POST\"\npath = \"/s/{key}/b\"\nrank = "
                          "\"standard\"\nruns = \"at-most-once\"\n";
const std::string one_service = "[[services]]\nname = \"s\"\n";

profile::profile parse(const std::string& text) {
    return profile::parse_profile("p.toml", text);
}

std::string problem(const std::string& text) {
    return failure_of([&] { parse(text); });
}

bool names(const std::string& message, const std::string& key) {
    return message.rfind("p.toml: " + key + ": ", 0) == 0;
}

std::string rule_with_path(const std::string& path) {
    return "[[services.rules]]\nmethod = \"GET\"\npath = \"" + path +
           "\"\nrank = \"urgent\"\nruns = \"idempotent\"\n";
}

} // namespace

TEST_CASE("an operator writes a profile") {
    SUBCASE("the shortest profile has the documented defaults") {
        const auto it = parse(top + one_service + look_up);
        CHECK(it.services[0].shards == 4096);
        CHECK(it.services[0].rules[0].deadline == std::chrono::seconds(1));
        CHECK(it.ledger_retention == std::chrono::minutes(10));
        CHECK(it.home_hold == std::chrono::hours(2));
        CHECK(it.retries.budget_fraction == 0.1);
    }
    SUBCASE("the shipped profiles are valid and keep at-most-once work apart from lookups") {
        for (const char* name : {"navalsig", "cairnmark"}) {
            const std::string file = std::string(KINGCUPSEAM_SOURCE_DIR "/profiles/") + name + ".toml";
            const auto it = profile::parse_profile(file, config::read_file(file));
            CHECK(it.name == name);
            REQUIRE(it.services.size() == 2);
            CHECK(it.services[0].shards == 4096);
            CHECK(it.services[1].shards == 1024);
            CHECK(it.services[0].rules[0].runs == execution::idempotent);
            CHECK(it.services[0].rules[0].priority == rank::urgent);
            CHECK(it.services[0].rules[1].runs == execution::at_most_once);
            CHECK(it.services[1].rules[0].runs == execution::at_most_once);
            CHECK(it.services[1].rules[0].priority == rank::deferrable);
        }
    }
    SUBCASE("every value can be set") {
        const auto it =
            parse(top +
                  "ledger_retention_s = 30\nhome_hold_s = 60\n[ranks.urgent]\nmax_waiting = 9\n"
                  "[ranks.standard]\nguaranteed_share = 0.6\n[ranks.deferrable]\nguaranteed_share = 0.3\n"
                  "[retries]\nbudget_fraction = 0.2\nmax_attempts = 2\nfirst_backoff_ms = 1\n"
                  "max_backoff_ms = 7\n" +
                  one_service + "shards = 65536\n" + order + "deadline_ms = 60\nmax_body_bytes = 0\n");
        CHECK(it.ranks[0].max_waiting == 9);
        CHECK(it.ranks[2].guaranteed_share == 0.3);
        CHECK(it.retries.max_backoff == std::chrono::milliseconds(7));
        CHECK(it.services[0].rules[0].max_body_bytes == 0);
    }
}

TEST_CASE("a mistake in a profile is found before it is in force") {
    const std::string valid = top + one_service + look_up;

    SUBCASE("values out of range name the key") {
        CHECK(names(problem(top + one_service + "shards = 0\n" + look_up), "services[0].shards"));
        CHECK(names(problem(top + one_service + "shards = 65537\n" + look_up), "services[0].shards"));
        CHECK(names(problem(valid + "deadline_ms = 0\n"), "services[0].rules[0].deadline_ms"));
        CHECK(names(problem(valid + "deadline_ms = 60001\n"), "services[0].rules[0].deadline_ms"));
        CHECK(names(problem(valid + "[retries]\nbudget_fraction = 1.1\n"), "retries.budget_fraction"));
        CHECK(names(problem("ledger_retention_s = 0\n" + valid), "ledger_retention_s"));
        CHECK(names(problem("home_hold_s = 604801\n" + valid), "home_hold_s"));
        CHECK(names(problem(valid + "[ranks.soon]\nmax_waiting = 1\n"), "ranks.soon"));
    }
    SUBCASE("shares that leave urgent work nothing") {
        const std::string shares =
            "[ranks.standard]\nguaranteed_share = 0.5\n[ranks.deferrable]\nguaranteed_share = 0.41\n";
        CHECK(problem(valid + shares) == "p.toml: ranks: the guaranteed shares must sum to at most 0.9");
    }
    SUBCASE("rank and runs have no default, so that no order becomes repeatable by omission") {
        const std::string rule = "[[services.rules]]\nmethod = \"POST\"\npath = \"/s/{key}\"\n";
        CHECK(names(problem(top + one_service + rule + "rank = \"urgent\"\n"), "services[0].rules[0].runs"));
        CHECK(names(problem(top + one_service + rule + "runs = \"idempotent\"\n"),
                    "services[0].rules[0].rank"));
    }
    SUBCASE("a path without exactly one key, or that no request can have") {
        for (const char* path :
             {"/s/a", "/s/{key}/{key}", "s/{key}", "/s//{key}", "/s/{key}/", "/s/x{key}", "/s/{id}/{key}",
              "/s/../{key}", "/s/%41/{key}", "/s/{key}?q", "/1/2/3/4/5/6/7/8/9/10/11/12/13/14/15/16/{key}"}) {
            CAPTURE(std::string(path));
            CHECK(names(problem(top + one_service + rule_with_path(path)), "services[0].rules[0].path"));
        }
    }
    SUBCASE("two rules that match the same request, in one service or in two") {
        const std::string other = "[[services]]\nname = \"t\"\n";
        for (const char* path : {"/s/{key}/a", "/{any}/{key}/a", "/s/x/{key}", "/s/{any}/{key}"}) {
            CAPTURE(std::string(path));
            CHECK(problem(valid + rule_with_path(path)).find("matches requests that s /s/{key}/a") !=
                  std::string::npos);
            CHECK(problem(valid + other + rule_with_path(path)).find("matches requests that s") !=
                  std::string::npos);
        }
        CHECK(problem(valid + rule_with_path("/s/{key}/b")) == "no failure");
        CHECK(problem(valid + order) == "no failure");
    }
    SUBCASE("two services of the same name, no service, no rule") {
        CHECK(problem(valid + one_service + order) == "p.toml: services[1].name: is used by two services");
        CHECK(names(problem(top), "services"));
        CHECK(names(problem(top + one_service), "services[0].rules"));
    }
    SUBCASE("a record that would be forgotten while its request can still run") {
        const std::string late = one_service + order + "deadline_ms = 3000\n";
        CHECK(names(problem("ledger_retention_s = 2\n" + top + late), "ledger_retention_s"));
        CHECK(problem("ledger_retention_s = 3\n" + top + late) == "no failure");
    }
    SUBCASE("a first backoff above the longest one") {
        CHECK(names(problem(valid + "[retries]\nfirst_backoff_ms = 200\n"), "retries.first_backoff_ms"));
    }
    SUBCASE("content too large to be copied to every instance") {
        CHECK(names(problem(valid + "#" + std::string(profile::max_content_bytes, 'x')), "text"));
    }
}
