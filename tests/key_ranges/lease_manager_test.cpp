#include "key_ranges/lease_model.h"

#include <doctest/doctest.h>

namespace kingcupseam::key_ranges::test {

namespace {

constexpr duration fault_time = std::chrono::seconds(40);
// A hold, the longest outage of the model, and the time to assign and grant.
constexpr duration calm_time = std::chrono::seconds(25);

int double_owners(std::uint64_t seeds, const lease_manager_options& settings) {
    int result = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        result += lease_model(seed, settings).run(fault_time) > 0 ? 1 : 0;
    }
    return result;
}

/// A leader whose upstreams own equal parts of the keys, in virtual time. Grants are answered.
class calm_leader {
public:
    explicit calm_leader(int upstreams) : keys_each((directory::last_key + 1) / upstreams), keeper({}, now) {
        auto config = std::make_shared<directory::configuration>();
        config->version = 1;
        config->services["s"] = {"s", "/", 100, true, {}};
        state.config = config;
        directory::command change;
        for (int i = 0; i < upstreams; ++i) {
            const directory::upstream_incarnation incarnation{std::string("u").append(std::to_string(i)), 1};
            change.upstreams.push_back(
                {incarnation, "s", "d", {"127.0.0.1", static_cast<std::uint16_t>(1 + i)}, 2});
            change.assignments.push_back({"s", first_key(i), first_key(i + 1) - 1, incarnation});
        }
        apply(change);
    }
    key_number first_key(int upstream) const { return keys_each * upstream; }
    void apply(const directory::command& change) { state = directory::apply(state, change, state.index + 1); }

    /// @returns the releases that are sent within @p length
    std::vector<call> run(duration length) {
        std::vector<call> releases;
        for (const time_point end = now + length; now < end; now += std::chrono::milliseconds(50)) {
            for (const auto& [id, it] : state.upstreams) {
                conditions[id].last_announced = now;
            }
            auto effects = keeper.tick({state, conditions, loads}, now);
            if (!effects.command.empty()) {
                apply(effects.command);
                keeper.on_command(true);
            }
            for (const auto& it : effects.calls) {
                if (it.kind == call_kind::release) {
                    releases.push_back(it);
                }
                if (unreachable == it.target.id) {
                    keeper.on_result(it.id, call_result::not_sent, {}, now);
                } else if (it.kind == call_kind::grant || answers_releases) {
                    keeper.on_result(it.id, call_result::done, {}, now);
                }
            }
        }
        return releases;
    }
    void add_load(key_number first, key_number last, double requests) {
        for (key_number key = first; key <= last; key += 64) {
            loads["s"].add(key, requests);
        }
    }

    bool answers_releases = false;
    std::string unreachable; ///< id of the upstream that the leader cannot connect to
    key_number keys_each;
    time_point now{std::chrono::seconds(100)};
    directory::snapshot state;
    std::map<std::string, upstream_condition> conditions;
    std::map<std::string, key_loads> loads;
    lease_manager keeper;
};

} // namespace

// Guards against one slow release that holds up all other moves: while upstreams work 12 times slower, each
// plan waited seconds for the work on the keys of the slowest one.
TEST_CASE("a release that takes long does not hold up the moves of other upstreams") {
    calm_leader leader(4);
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(12)); // until the former leader's leases have ended
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    const auto first = leader.run(std::chrono::seconds(1));
    REQUIRE_FALSE(first.empty());
    CHECK(first.front().target.id == "u0");
    leader.add_load(leader.first_key(1), leader.first_key(2) - 1, 16);
    const auto second = leader.run(std::chrono::seconds(1));
    REQUIRE_FALSE(second.empty());
    CHECK(second.front().target.id == "u1");
}

// Guards against moves from upstreams that the leader cannot reach: their releases were sent again and again
// (incident inc-9654: 140 in 7 s), no other range could move meanwhile, and their leases were not renewed.
TEST_CASE("a range whose release could not be sent stays with its owner and is renewed") {
    calm_leader leader(4);
    leader.answers_releases = true;
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(12));
    leader.unreachable = "u0";
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    const auto tried = leader.run(std::chrono::seconds(2));
    REQUIRE_FALSE(tried.empty());
    CHECK(tried.size() <= 4);

    SUBCASE("others move meanwhile") {
        leader.add_load(leader.first_key(1), leader.first_key(2) - 1, 32);
        const auto moved = leader.run(std::chrono::seconds(2));
        CHECK(std::any_of(moved.begin(), moved.end(), [](const call& it) { return it.target.id == "u1"; }));
    }
    SUBCASE("it moves once the upstream can be reached again") {
        leader.unreachable.clear();
        const auto moved = leader.run(std::chrono::seconds(5));
        CHECK(leader.state.ranges.at("s").size() > 4);
        CHECK(std::any_of(moved.begin(), moved.end(), [](const call& it) { return it.target.id == "u0"; }));
    }
}

TEST_CASE("a key never has two owners while leaders, upstreams and the network fail") {
    constexpr std::uint64_t seeds = 150;
    lease_manager_options settings;

    SUBCASE("with the lease time counted in full") {
        CHECK(double_owners(seeds, settings) == 0);
    }

    // The model has to be able to find what the keeper guards against.
    SUBCASE("a keeper that counts half of the lease time is caught") {
        settings.clock_error = -0.5;
        CHECK(double_owners(seeds, settings) > 0);
    }
}

// Guards against a release that leaves a part of its keys behind: two neighbouring ranges of a leaving
// upstream went in one release with the epoch of the first; the upstream kept the second, which had a higher
// epoch, and two upstreams held its keys for 2.1 s (navalsig, mix, seed 1052665688994).
TEST_CASE("each range of a leaving upstream is released with its own epoch") {
    calm_leader leader(2);
    leader.answers_releases = true;
    leader.run(std::chrono::seconds(1)); // the first command numbers all epochs anew
    const directory::upstream leaving = leader.state.upstreams.at("u0");
    directory::command split;
    split.assignments.push_back({"s", 1001, 2000, leaving.incarnation});
    leader.apply(split);
    leader.run(std::chrono::seconds(12)); // until the former leader's leases have ended
    const directory::snapshot before = leader.state;
    REQUIRE(before.owner_of("s", 0)->epoch < before.owner_of("s", 1001)->epoch);

    directory::command drain;
    drain.upstreams.push_back(leaving);
    drain.upstreams.back().draining = true;
    leader.apply(drain);
    const auto releases = leader.run(std::chrono::seconds(2));
    REQUIRE_FALSE(releases.empty());
    for (const auto& it : releases) {
        const auto* held = before.owner_of("s", it.first);
        CHECK(it.last <= held->last);
        CHECK(it.epoch == held->epoch);
    }
    CHECK(leader.state.owner_of("s", 0)->owner != leaving.incarnation);
    CHECK(leader.state.owner_of("s", 1001)->owner != leaving.incarnation);
}

TEST_CASE("once faults have ended every key has an owner again") {
    for (std::uint64_t seed = 1000; seed < 1040; ++seed) {
        CAPTURE(seed);
        lease_model model(seed, {});
        model.run(fault_time);
        model.stop_faults();
        model.run(calm_time);
        // A move leaves its keys without owner between the release and the grant; the users' bound is 1 s.
        CHECK(model.longest_gap(std::chrono::seconds(5)) <= std::chrono::seconds(1));
    }
}

} // namespace kingcupseam::key_ranges::test
