#include "key_ranges/lease_simulation.h"

#include <doctest/doctest.h>

namespace kingcupseam::key_ranges::test {

namespace {

constexpr duration fault_time = std::chrono::seconds(40);
// A lease time, the longest outage in the simulation, and the time to assign and grant.
constexpr duration recovery_time = std::chrono::seconds(25);

int runs_with_double_owners(std::uint64_t seeds, const lease_manager_options& settings) {
    int result = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        result += lease_simulation(seed, settings).run(fault_time) > 0 ? 1 : 0;
    }
    return result;
}

/// A leader without faults whose upstreams own equal parts of the keys, in virtual time. Grants are answered.
class leader_fixture {
public:
    explicit leader_fixture(int upstreams, const lease_manager_options& settings = {})
        : keys_each((directory::last_key + 1) / upstreams), manager(settings, now) {
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
                if (id != cut_off) {
                    conditions[id].last_announced = now;
                }
            }
            auto effects = manager.tick({state, conditions, loads}, now);
            if (!effects.command.empty()) {
                apply(effects.command);
                manager.on_command(true);
            }
            for (const auto& it : effects.calls) {
                if (it.kind == call_kind::release) {
                    releases.push_back(it);
                } else {
                    grants.emplace_back(now, it);
                }
                if (cut_off_at_next_move && cut_off.empty() && !it.handover.empty()) {
                    cut_off = it.target.id;
                    moved_key = it.first;
                    manager.on_result(it.id, call_result::unanswered, {}, now);
                } else if (unreachable == it.target.id || cut_off == it.target.id) {
                    manager.on_result(it.id, call_result::not_sent, {}, now);
                } else if (it.kind == call_kind::grant || answers_releases) {
                    manager.on_result(it.id, call_result::done,
                                      it.kind == call_kind::release ? "handover" : "", now);
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
    /// The target of the next move is cut off from the leader while its first grant is in transit.
    bool cut_off_at_next_move = false;
    std::string cut_off;                             ///< id of that upstream, which announces itself no more
    key_number moved_key = 0;                        ///< first key of that move
    std::vector<std::pair<time_point, call>> grants; ///< when they were sent
    std::string unreachable;                         ///< id of the upstream that the leader cannot connect to
    key_number keys_each;
    time_point now{std::chrono::seconds(100)};
    directory::snapshot state;
    std::map<std::string, upstream_condition> conditions;
    std::map<std::string, key_loads> loads;
    lease_manager manager;
};

} // namespace

// Guards against one slow release that delays all other moves: with upstreams 12 times slower, each plan
// waited seconds for the requests on the keys of the slowest one.
TEST_CASE("a slow release does not delay the moves of other upstreams") {
    leader_fixture leader(4);
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

// Guards against moves from upstreams that the leader cannot reach: it repeated their releases without end
// (inc-9654: 140 in 7 s), moved no other range meanwhile, and did not renew their leases.
TEST_CASE("a range whose release could not be sent stays with its owner and is renewed") {
    leader_fixture leader(4);
    leader.answers_releases = true;
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(12));
    leader.unreachable = "u0";
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    const auto tried = leader.run(std::chrono::seconds(2));
    REQUIRE_FALSE(tried.empty());
    CHECK(tried.size() <= 4);

    SUBCASE("ranges of other upstreams move meanwhile") {
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

// Guards against a busy key without an owner for a whole lease time: its move to an upstream that was cut off
// at that moment left a grant unanswered, and its callers were refused for 4.5 s (inc-b709).
TEST_CASE("a key whose new owner does not answer its first grant gets another owner") {
    leader_fixture leader(4);
    leader.answers_releases = true;
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(12));
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    leader.cut_off_at_next_move = true;
    while (leader.cut_off.empty() && leader.now < time_point(std::chrono::seconds(120))) {
        leader.run(std::chrono::milliseconds(50));
    }
    REQUIRE_FALSE(leader.cut_off.empty());
    const auto begun = leader.now;
    const auto is_moving_key_served = [&] {
        return leader.state.range_of("s", leader.moved_key)->owner.id != leader.cut_off;
    };
    while (!is_moving_key_served() && leader.now - begun < std::chrono::seconds(20)) {
        leader.run(std::chrono::milliseconds(50));
    }
    // Three missed announcements, and the time to plan.
    CHECK(leader.now - begun <= lease_manager_options{}.announce_timeout + std::chrono::milliseconds(500));
}

// Guards against an owner that loses its keys because its first grant after a move was a short one.
TEST_CASE("the lease of a moved key is renewed in full as soon as its first grant is answered") {
    leader_fixture leader(4);
    leader.answers_releases = true;
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(12));
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    leader.grants.clear();
    leader.run(std::chrono::seconds(2));
    const lease_manager_options settings;
    std::size_t moved = 0;
    for (std::size_t n = 0; n < leader.grants.size(); ++n) {
        const auto& first = leader.grants[n];
        if (first.second.handover.empty()) {
            continue;
        }
        ++moved;
        CHECK(first.second.lease_time == settings.first_lease_time);
        const auto renewal = std::find_if(leader.grants.begin() + static_cast<std::ptrdiff_t>(n) + 1,
                                          leader.grants.end(), [&](const auto& it) {
                                              return it.second.first == first.second.first &&
                                                     it.second.epoch == first.second.epoch;
                                          });
        REQUIRE(renewal != leader.grants.end());
        CHECK(renewal->second.lease_time == settings.lease_time);
        CHECK(renewal->first - first.first <= std::chrono::milliseconds(100));
    }
    CHECK(moved > 0);
}

// Guards against a grant that upstreams refuse because it asks for more than their longest lease.
TEST_CASE("no grant asks for more than the lease time") {
    lease_manager_options settings;
    settings.lease_time = std::chrono::milliseconds(900);
    leader_fixture leader(4, settings);
    leader.answers_releases = true;
    leader.add_load(0, directory::last_key, 1);
    leader.run(std::chrono::seconds(4));
    leader.add_load(leader.first_key(0), leader.first_key(1) - 1, 8);
    leader.run(std::chrono::seconds(2));
    bool moved = false;
    for (const auto& [sent, it] : leader.grants) {
        moved = moved || !it.handover.empty();
        CHECK(it.lease_time <= settings.lease_time);
    }
    CHECK(moved);
}

TEST_CASE("a key never has two owners while leaders, upstreams and the network fail") {
    constexpr std::uint64_t seeds = 150;
    lease_manager_options settings;

    SUBCASE("with the lease time counted in full") {
        CHECK(runs_with_double_owners(seeds, settings) == 0);
    }

    // Shows that the simulation can detect double owners.
    SUBCASE("a lease manager that counts half of the lease time is detected") {
        settings.clock_error = -0.5;
        CHECK(runs_with_double_owners(seeds, settings) > 0);
    }
}

// Guards against a release that covers two ranges: two adjacent ranges of a leaving upstream were released in
// one call with the epoch of the first. The upstream kept the second, which had a higher epoch, and two
// upstreams held its keys for 2.1 s (navalsig, mix, seed 1052665688994).
TEST_CASE("each range of a leaving upstream is released with its own epoch") {
    leader_fixture leader(2);
    leader.answers_releases = true;
    leader.run(std::chrono::seconds(1)); // the first command renumbers all epochs
    const directory::upstream leaving = leader.state.upstreams.at("u0");
    directory::command split;
    split.assignments.push_back({"s", 1001, 2000, leaving.incarnation});
    leader.apply(split);
    leader.run(std::chrono::seconds(12)); // until the former leader's leases have ended
    const directory::snapshot before = leader.state;
    REQUIRE(before.range_of("s", 0)->epoch < before.range_of("s", 1001)->epoch);

    directory::command drain;
    drain.upstreams.push_back(leaving);
    drain.upstreams.back().draining = true;
    leader.apply(drain);
    const auto releases = leader.run(std::chrono::seconds(2));
    REQUIRE_FALSE(releases.empty());
    for (const auto& it : releases) {
        const auto* held = before.range_of("s", it.first);
        CHECK(it.last <= held->last);
        CHECK(it.epoch == held->epoch);
    }
    CHECK(leader.state.range_of("s", 0)->owner != leaving.incarnation);
    CHECK(leader.state.range_of("s", 1001)->owner != leaving.incarnation);
}

// Guards against two holders of a key after a restart (review case 1): an upstream that starts again under
// its id accepts the renewals that were meant for its former incarnation, and its keys went to another
// upstream.
TEST_CASE("keys of an upstream that starts again under its id are not given to another one") {
    leader_fixture leader(2);
    leader.answers_releases = true;
    leader.run(std::chrono::seconds(12)); // until the former leader's leases have ended
    const directory::snapshot before = leader.state;
    directory::command restart;
    restart.upstreams.push_back(leader.state.upstreams.at("u0"));

    SUBCASE("it keeps its keys with a higher epoch") {
        restart.upstreams.back().incarnation.started_ms = 2;
        leader.apply(restart);
        leader.run(std::chrono::seconds(1));
        const auto* held = leader.state.range_of("s", 0);
        CHECK(held->owner == restart.upstreams.back().incarnation);
        CHECK(held->epoch > before.range_of("s", 0)->epoch);
    }
    SUBCASE("also under a new leader, before its first leases may have ended") {
        restart.upstreams.back().incarnation.started_ms = 2;
        leader.apply(restart);
        leader.manager = lease_manager({}, leader.now);
        leader.run(std::chrono::seconds(3));
        CHECK(leader.state.range_of("s", 0)->owner == restart.upstreams.back().incarnation);
    }
    SUBCASE("an id that is removed is released at its address before its keys move") {
        const time_point until = leader.now + std::chrono::seconds(4);
        leader.grants.clear();
        const auto is_renewed = [&] {
            return std::any_of(leader.grants.begin(), leader.grants.end(),
                               [](const auto& it) { return it.second.target.id == "u0"; });
        };
        while (!is_renewed() && leader.now < until) {
            leader.run(std::chrono::milliseconds(50));
        }
        REQUIRE(is_renewed());
        directory::command removal;
        removal.removed_upstreams.push_back("u0");
        leader.apply(removal);
        leader.answers_releases = false;
        // At once, although no renewal is due for seconds: the keys have no owner meanwhile.
        const auto releases = leader.run(std::chrono::milliseconds(100));
        REQUIRE(releases.size() == 1);
        CHECK(releases.front().address == restart.upstreams.back().address);
        CHECK(leader.state.range_of("s", 0)->owner.id == "u0");
        leader.manager.on_result(releases.front().id, call_result::wrong_upstream, {}, leader.now);
        leader.run(std::chrono::seconds(1));
        CHECK(leader.state.range_of("s", 0)->owner.id == "u1");
    }
    SUBCASE("an id that is removed and does not answer keeps its keys until its lease has ended") {
        directory::command removal;
        removal.removed_upstreams.push_back("u0");
        leader.apply(removal);
        leader.unreachable = "u0";
        const auto lease_end = leader.manager.may_hold_until("s", 0);
        leader.run(lease_end - leader.now - std::chrono::milliseconds(100));
        CHECK(leader.state.range_of("s", 0)->owner.id == "u0");
        leader.run(std::chrono::seconds(1));
        CHECK(leader.state.range_of("s", 0)->owner.id == "u1");
    }
}

TEST_CASE("every key has an owner again after the faults have ended") {
    for (std::uint64_t seed = 1000; seed < 1040; ++seed) {
        CAPTURE(seed);
        lease_simulation simulated(seed, {});
        simulated.run(fault_time);
        simulated.stop_faults();
        simulated.run(recovery_time);
        // During a move the keys have no owner between the release and the grant; the requirement is 1 s at
        // most.
        CHECK(simulated.longest_time_without_owner(std::chrono::seconds(5)) <= std::chrono::seconds(1));
    }
}

} // namespace kingcupseam::key_ranges::test
