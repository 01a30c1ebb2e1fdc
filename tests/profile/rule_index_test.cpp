#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

using namespace kingcupseam;
using profile::accepted_profile;
using profile::rule_index;

namespace {

accepted_profile shipped(const std::string& name) {
    return {name, 1, config::read_file(KINGCUPSEAM_SOURCE_DIR "/profiles/" + name + ".toml"), "c"};
}

accepted_profile with_rule(const std::string& name, const std::string& path) {
    return {name, 1,
            "name = \"" + name + "\"\n[[services]]\nname = \"" + name +
                "\"\n[[services.rules]]\nmethod = \"GET\"\npath = \"" + path +
                "\"\nrank = \"urgent\"\nruns = \"idempotent\"\n",
            "c"};
}

std::string key_of(const rule_index& index, const std::string& path) {
    const auto found = index.find("GET", path);
    return found ? found->key : "no match";
}

} // namespace

// Guards against requests that are routed by the wrong rule or to the wrong shard, and against keys that are
// unsafe in a header.
TEST_CASE("a request is matched to its rule, service and key") {
    const rule_index index({shipped("navalsig"), shipped("cairnmark")});

    SUBCASE("the method and the path select the rule among all profiles") {
        const auto booking = index.find("POST", "/registry/rafts/raft-7/bookings");
        REQUIRE(booking);
        CHECK(booking->matched_service->name == "registry");
        CHECK(booking->matched_rule->runs == execution::at_most_once);
        CHECK(booking->key == "raft-7");
        const auto invoice = index.find("POST", "/ledger/sites/s1/invoices");
        REQUIRE(invoice);
        CHECK(invoice->matched_service->shards == 1024);
        CHECK(index.profile_of("ledger")->name == "cairnmark");
        CHECK(index.profile_of("unknown") == nullptr);
    }
    SUBCASE("other methods and paths match no rule") {
        CHECK_FALSE(index.find("GET", "/registry/rafts/raft-7/bookings"));
        CHECK_FALSE(index.find("get", "/registry/rafts/raft-7/history"));
        for (const char* path :
             {"", "/", "registry/rafts/1/history", "/registry/rafts/1/history/", "/registry/rafts//history",
              "/registry/rafts/1", "/Registry/rafts/1/history", "//registry/rafts/1/history",
              "/registry/rafts/1/2/history", "/a/b/c/d/e/f/g/h/i/j/k/l/m/n/o/p/q/r/s/t"}) {
            CAPTURE(std::string(path));
            CHECK_FALSE(index.find("GET", path));
        }
    }
    SUBCASE("different escapes of a key give the same key, and so the same shard") {
        CHECK(key_of(index, "/registry/rafts/a%2fb%20c/history") == "a/b c");
        CHECK(key_of(index, "/registry/rafts/a%2Fb%20c/history") == "a/b c");
        CHECK(key_of(index, "/registry/rafts/a+b/history") == "a+b");
    }
    SUBCASE("keys with malformed escapes do not match") {
        for (const char* key : {"%", "%4", "%zz", "a%4", "%%41", "%-1"}) {
            CHECK(key_of(index, std::string("/registry/rafts/") + key + "/history") == "no match");
        }
    }
    SUBCASE("keys that are too long, or would split a header, break JSON or leave the path, do not match") {
        for (const char* key : {"a%0d%0aX:1", "%00", "%ff", "%7f", "..", "%2e%2e", "."}) {
            CHECK(key_of(index, std::string("/registry/rafts/") + key + "/history") == "no match");
        }
        CHECK(key_of(index, "/registry/rafts/" + std::string(1025, 'k') + "/history") == "no match");
        CHECK(key_of(index, "/registry/rafts/" + std::string(1024, 'k') + "/history").size() == 1024);
    }
}

// Guards against a lookup that finds only rules with their literals and placeholders at the same positions.
TEST_CASE("rules with literals at different positions are all found") {
    const rule_index index({with_rule("a", "/{any}/x/{key}"), with_rule("b", "/{key}/y/{any}"),
                            with_rule("c", "/z/{key}"), with_rule("d", "/{key}")});
    CHECK(key_of(index, "/1/x/2") == "2");
    CHECK(key_of(index, "/1/y/2") == "1");
    CHECK(key_of(index, "/z/3") == "3");
    CHECK(key_of(index, "/z") == "z");
    CHECK(key_of(index, "//x/2") == "no match");
    CHECK(key_of(index, "/../x/2") == "no match");
}

// Guards against an index in which the rule of a request, or the profile of a service, is ambiguous.
TEST_CASE("profiles that share a service or match the same request cannot be indexed together") {
    CHECK_THROWS_AS(rule_index({with_rule("a", "/a/{key}"), with_rule("b", "/{any}/{key}")}), invalid_input);
    auto same_service = with_rule("a", "/b/{key}");
    same_service.content.replace(same_service.content.find("\"a\""), 3, "\"b\"");
    CHECK_THROWS_AS(rule_index({with_rule("a", "/a/{key}"), same_service}), invalid_input);
    CHECK(rule_index({}).empty());
    CHECK_FALSE(rule_index({}).find("GET", "/a/1"));
}
