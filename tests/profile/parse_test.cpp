#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

#include "support/failure.h"

using namespace kingcupseam;
using test::failure_of;

namespace {

const std::string name_line = "name = \"p\"\n";
const std::string lookup_rule =
    "[[services.rules]]\nmethod = \"GET\"\npath = \"/s/{key}/a\"\nrank = \"urgent\"\n"
    "runs = \"idempotent\"\n";
const std::string order_rule = "[[services.rules]]\nmethod = \"POST\"\npath = \"/s/{key}/b\"\nrank = "
                               "\"standard\"\nruns = \"at-most-once\"\n";
const std::string service_header = "[[services]]\nname = \"s\"\n";

profile::profile parse(const std::string& text) {
    return profile::parse_profile("p.toml", text);
}

/// Error message, or "no failure".
std::string parse_error(const std::string& text) {
    return failure_of([&] { parse(text); });
}

bool error_names(const std::string& message, const std::string& key) {
    return message.rfind("p.toml: " + key + ": ", 0) == 0;
}

std::string rule_with_path(const std::string& path) {
    return "[[services.rules]]\nmethod = \"GET\"\npath = \"" + path +
           "\"\nrank = \"urgent\"\nruns = \"idempotent\"\n";
}

} // namespace

// Guards against defaults that change unnoticed, values that are not read, and shipped profiles that no
// longer parse.
TEST_CASE("valid profiles are parsed with their values and the documented defaults") {
    SUBCASE("a profile with only the required keys has the documented defaults") {
        const auto it = parse(name_line + service_header + lookup_rule);
        CHECK(it.services[0].shards == 4096);
        CHECK(it.services[0].rules[0].deadline == std::chrono::seconds(1));
        CHECK(it.ledger_retention == std::chrono::minutes(10));
        CHECK(it.home_hold == std::chrono::hours(2));
        CHECK(it.retries.budget_fraction == 0.1);
    }
    SUBCASE("the shipped profiles are valid, with lookups idempotent and all other requests at-most-once") {
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
        const auto it = parse(
            name_line +
            "ledger_retention_s = 30\nhome_hold_s = 60\n[ranks.urgent]\nmax_waiting = 9\n"
            "[ranks.standard]\nguaranteed_share = 0.6\n[ranks.deferrable]\nguaranteed_share = 0.3\n"
            "[retries]\nbudget_fraction = 0.2\nmax_attempts = 2\nfirst_backoff_ms = 1\n"
            "max_backoff_ms = 7\n" +
            service_header + "shards = 65536\n" + order_rule + "deadline_ms = 60\nmax_body_bytes = 0\n");
        CHECK(it.ranks[0].max_waiting == 9);
        CHECK(it.ranks[2].guaranteed_share == 0.3);
        CHECK(it.retries.max_backoff == std::chrono::milliseconds(7));
        CHECK(it.services[0].rules[0].max_body_bytes == 0);
    }
}

// Guards against a profile that is accepted although requests could then be routed by the wrong rule, run
// twice or get no capacity.
TEST_CASE("invalid profiles are refused") {
    const std::string valid = name_line + service_header + lookup_rule;

    SUBCASE("the error for a value out of range names the key") {
        CHECK(error_names(parse_error(name_line + service_header + "shards = 0\n" + lookup_rule),
                          "services[0].shards"));
        CHECK(error_names(parse_error(name_line + service_header + "shards = 65537\n" + lookup_rule),
                          "services[0].shards"));
        CHECK(error_names(parse_error(valid + "deadline_ms = 0\n"), "services[0].rules[0].deadline_ms"));
        CHECK(error_names(parse_error(valid + "deadline_ms = 60001\n"), "services[0].rules[0].deadline_ms"));
        CHECK(error_names(parse_error(valid + "[retries]\nbudget_fraction = 1.1\n"),
                          "retries.budget_fraction"));
        CHECK(error_names(parse_error("ledger_retention_s = 0\n" + valid), "ledger_retention_s"));
        CHECK(error_names(parse_error("home_hold_s = 604801\n" + valid), "home_hold_s"));
        CHECK(error_names(parse_error(valid + "[ranks.soon]\nmax_waiting = 1\n"), "ranks.soon"));
    }
    SUBCASE("guaranteed shares that leave no capacity for urgent requests") {
        const std::string shares =
            "[ranks.standard]\nguaranteed_share = 0.5\n[ranks.deferrable]\nguaranteed_share = 0.41\n";
        CHECK(parse_error(valid + shares) == "p.toml: ranks: the guaranteed shares must sum to at most 0.9");
    }
    SUBCASE("rank and runs have no default, so that an order cannot become idempotent by omission") {
        const std::string rule = "[[services.rules]]\nmethod = \"POST\"\npath = \"/s/{key}\"\n";
        CHECK(error_names(parse_error(name_line + service_header + rule + "rank = \"urgent\"\n"),
                          "services[0].rules[0].runs"));
        CHECK(error_names(parse_error(name_line + service_header + rule + "runs = \"idempotent\"\n"),
                          "services[0].rules[0].rank"));
    }
    SUBCASE("a path pattern without exactly one key, or that no request can match") {
        for (const char* path :
             {"/s/a", "/s/{key}/{key}", "s/{key}", "/s//{key}", "/s/{key}/", "/s/x{key}", "/s/{id}/{key}",
              "/s/../{key}", "/s/%41/{key}", "/s/{key}?q", "/1/2/3/4/5/6/7/8/9/10/11/12/13/14/15/16/{key}"}) {
            CAPTURE(std::string(path));
            CHECK(error_names(parse_error(name_line + service_header + rule_with_path(path)),
                              "services[0].rules[0].path"));
        }
    }
    SUBCASE("two rules that match the same request, in one service or in two services") {
        const std::string other = "[[services]]\nname = \"t\"\n";
        for (const char* path : {"/s/{key}/a", "/{any}/{key}/a", "/s/x/{key}", "/s/{any}/{key}"}) {
            CAPTURE(std::string(path));
            CHECK(parse_error(valid + rule_with_path(path)).find("matches requests that s /s/{key}/a") !=
                  std::string::npos);
            CHECK(parse_error(valid + other + rule_with_path(path)).find("matches requests that s") !=
                  std::string::npos);
        }
        CHECK(parse_error(valid + rule_with_path("/s/{key}/b")) == "no failure");
        CHECK(parse_error(valid + order_rule) == "no failure");
    }
    SUBCASE("two services of the same name, no service, no rule") {
        CHECK(parse_error(valid + service_header + order_rule) ==
              "p.toml: services[1].name: is used by two services");
        CHECK(error_names(parse_error(name_line), "services"));
        CHECK(error_names(parse_error(name_line + service_header), "services[0].rules"));
    }
    SUBCASE("a ledger retention that ends while a request can still run") {
        const std::string late = service_header + order_rule + "deadline_ms = 3000\n";
        CHECK(error_names(parse_error("ledger_retention_s = 2\n" + name_line + late), "ledger_retention_s"));
        CHECK(parse_error("ledger_retention_s = 3\n" + name_line + late) == "no failure");
    }
    SUBCASE("a first backoff above the maximum backoff") {
        CHECK(error_names(parse_error(valid + "[retries]\nfirst_backoff_ms = 200\n"),
                          "retries.first_backoff_ms"));
    }
    SUBCASE("content too large to be copied to every instance") {
        CHECK(error_names(parse_error(valid + "#" + std::string(profile::max_content_bytes, 'x')), "text"));
    }
}
