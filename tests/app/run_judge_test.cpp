#include <doctest/doctest.h>

#include "app/run_judge.h"

#include <kingcupseam/error.h>

#include <unistd.h>

#include <fstream>

using namespace kingcupseam;
using namespace kingcupseam::app;

namespace {

constexpr std::uint32_t shards = 16;

time_point at(int ms) {
    return time_point(std::chrono::milliseconds(ms));
}

/// Builds the run record of one upstream.
struct record {
    std::vector<record_line> lines;

    explicit record(const std::string& name, bool checks_grants = true) {
        lines.push_back({at(0), process_start_event{name, "registry", 1, checks_grants}});
    }
    record& grant(int from, int until, std::optional<grant_scope> scope = std::nullopt) {
        lines.push_back({at(from), grant_event{at(until), 1, std::move(scope)}});
        return *this;
    }
    record& run(int time, const std::string& key, const std::string& id, const std::string& method = "POST") {
        lines.push_back(
            {at(time), run_event{true, "registry", key, shard_of(key, shards), "r", id, 1, method}});
        return *this;
    }
    record& restart(int time) {
        lines.push_back({at(time), process_start_event{"again", "registry", 2, true}});
        return *this;
    }
};

grant_scope all_shards(std::set<std::string> moved = {}) {
    return {{{0, shards - 1}}, {}, std::move(moved)};
}

grant_scope one_shard(std::uint32_t shard) {
    return {{{shard, shard}}, {}, {}};
}

judgement judge(const std::vector<record>& records) {
    run_judge judge(shards);
    for (const auto& it : records) {
        judge.add_upstream(it.lines);
    }
    return judge.finish();
}

} // namespace

// Guards against a judge that misses a request that ran twice, or reports one that may run twice.
TEST_CASE("two starts of one at-most-once idempotency key are a double run") {
    const auto a = record("a").grant(1, 100, all_shards()).run(10, "k", "id-1").run(20, "k", "id-2");
    SUBCASE("starts of distinct idempotency keys are not") {
        CHECK(judge({a}).double_runs == 0);
        CHECK(judge({a}).runs == 2);
    }
    SUBCASE("a second start on another upstream counts too") {
        const auto b = record("b").grant(200, 300, all_shards()).run(210, "k", "id-1");
        const auto found = judge({a, b});
        CHECK(found.double_runs == 1);
        CHECK(found.runs_by_idempotency_key.at("id-1") == 2);
    }
    SUBCASE("three starts of one idempotency key count once") {
        auto b = a;
        b.run(30, "k", "id-1").run(31, "k", "id-1");
        CHECK(judge({b}).double_runs == 1);
    }
    SUBCASE("a lookup may run again") {
        const auto b =
            record("b").grant(1, 100, all_shards()).run(10, "k", "id", "GET").run(11, "k", "id", "GET");
        CHECK(judge({b}).double_runs == 0);
    }
}

// Guards against a judge that accepts a run whose upstream had lost its grant, or never had one.
TEST_CASE("a run that starts without a live grant of its key is counted") {
    SUBCASE("runs before and after the lease count, one during it does not") {
        const auto a =
            record("a").run(5, "k", "1").grant(10, 100, all_shards()).run(50, "k", "2").run(100, "k", "3");
        CHECK(judge({a}).runs_without_grant == 2);
    }
    SUBCASE("a renewal keeps the scope") {
        const auto a = record("a").grant(10, 100, all_shards()).grant(90, 200).run(150, "k", "1");
        CHECK(judge({a}).runs_without_grant == 0);
    }
    SUBCASE("a revocation ends the lease early") {
        const auto a =
            record("a").grant(10, 100, all_shards()).grant(50, 100, grant_scope{}).run(60, "k", "1");
        CHECK(judge({a}).runs_without_grant == 1);
    }
    SUBCASE("a restarted process holds no grant") {
        const auto a = record("a").grant(10, 100, all_shards()).restart(40).run(50, "k", "1");
        CHECK(judge({a}).runs_without_grant == 1);
    }
    SUBCASE("a grant of a shard does not cover its moved keys") {
        const auto a = record("a").grant(10, 100, all_shards({"k"})).run(50, "k", "1").run(51, "other", "2");
        CHECK(judge({a}).runs_without_grant == 1);
    }
    SUBCASE("runs on upstreams that do not check grants are counted separately") {
        const auto a = record("a", false).run(50, "k", "1");
        CHECK(judge({a}).runs_without_grant == 0);
        CHECK(judge({a}).unchecked_runs_without_grant == 1);
    }
}

// Guards against a judge that misses two owners of one shard, or reports a planned change of owner as double
// ownership.
TEST_CASE("overlapping grants of one shard to two upstreams are double ownership") {
    const auto a = record("a").grant(10, 100, one_shard(3));
    SUBCASE("a grant that begins when the other ends does not overlap") {
        CHECK(judge({a, record("b").grant(100, 200, one_shard(3))}).double_owners == 0);
    }
    SUBCASE("grants of different shards do not overlap") {
        CHECK(judge({a, record("b").grant(10, 100, one_shard(4))}).double_owners == 0);
    }
    SUBCASE("an overlap counts with its length") {
        const auto found = judge({a, record("b").grant(93, 200, one_shard(3))});
        CHECK(found.double_owners == 1);
        CHECK(found.longest_double_ownership == std::chrono::milliseconds(7));
        CHECK(found.examples.size() == 1);
    }
    SUBCASE("renewals of one overlap count once") {
        const auto b = record("b").grant(50, 150, one_shard(3)).grant(60, 160).grant(70, 170);
        CHECK(judge({a, b}).double_owners == 1);
    }
    SUBCASE("an early revocation ends the overlap") {
        const auto revoked = record("a").grant(10, 100, one_shard(3)).grant(90, 100, grant_scope{});
        CHECK(judge({revoked, record("b").grant(93, 200, one_shard(3))}).double_owners == 0);
    }
}

// Guards against a judge that misses a second owner of a hot key, or takes the owner of its shard for one.
TEST_CASE("ownership of a hot key is checked separately from its shard") {
    const std::string key = "hot";
    const auto shard = shard_of(key, shards);
    const auto granted_by_name = record("b").grant(50, 100, grant_scope{{}, {key}, {}});
    SUBCASE("the owner of the shard is no second owner while it lists the key as moved") {
        grant_scope rest = one_shard(shard);
        rest.moved_keys = {key};
        CHECK(judge({record("a").grant(10, 100, rest), granted_by_name}).double_owners == 0);
    }
    SUBCASE("the owner of the shard is a second owner while it does not list the key as moved") {
        CHECK(judge({record("a").grant(10, 100, one_shard(shard)), granted_by_name}).double_owners == 1);
    }
    SUBCASE("the key must be listed as moved before it is granted to another upstream") {
        grant_scope rest = one_shard(shard);
        rest.moved_keys = {key};
        const auto in_time = record("a").grant(10, 100, one_shard(shard)).grant(50, 100, rest);
        const auto late = record("a").grant(10, 100, one_shard(shard)).grant(60, 100, rest);
        CHECK(judge({in_time, granted_by_name}).double_owners == 0);
        CHECK(judge({late, granted_by_name}).double_owners == 1);
    }
    SUBCASE("two upstreams that are granted the key by name are double owners") {
        CHECK(judge({record("a").grant(60, 70, grant_scope{{}, {key}, {}}), granted_by_name}).double_owners ==
              1);
    }
}

// Guards against runs that are lost between the upstream and the judge, silently or through a damaged file.
TEST_CASE("run records written to a file are read back unchanged") {
    const auto folder = std::filesystem::temp_directory_path() / ("kcs-judge-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto file = folder / "a";
    const auto a = record("a").grant(1, 100, grant_scope{{{0, 15}}, {"h"}, {"m"}}).run(10, "k", "id-1");
    {
        run_recorder recorder(file);
        for (const auto& it : a.lines) {
            recorder.append(it);
        }
    }
    SUBCASE("every line reads back as it was written") {
        std::ifstream in(file);
        std::size_t n = 0;
        for (std::string text; std::getline(in, text); ++n) {
            REQUIRE(n < a.lines.size());
            CHECK(decode_record("a", text) == a.lines[n]);
        }
        CHECK(n == a.lines.size());
        CHECK(judge_folder(folder, shards).runs == 1);
    }
    SUBCASE("a last line that was cut off by a kill is ignored") {
        std::ofstream(file, std::ios::app) << R"({"at":12,"event":"sta)";
        CHECK(judge_folder(folder, shards).runs == 1);
    }
    SUBCASE("any other malformed line is an error, since runs could be missed") {
        std::ofstream(file, std::ios::app) << "{\"at\":12\n";
        CHECK_THROWS_AS(judge_folder(folder, shards), invalid_input);
    }
    std::filesystem::remove_all(folder);
    CHECK_THROWS_AS(judge_folder(folder, shards), io_error);
}
