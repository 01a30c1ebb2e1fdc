#include "placement/simulation.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::placement;
using namespace kingcupseam::placement::test;

namespace {

constexpr std::uint64_t seeds_per_scenario = 8;

/// Runs the steps of tests/scenarios/placement_*.toml.
class scenario_runner {
public:
    scenario_runner(const kingcupseam::test::scenario& script, std::uint64_t seed, faults injected)
        : script_(script), simulation_(options_of(script, seed, injected)) {}

    /// @param check_expectations false to skip the expect_* steps, which may fail with an injected fault
    const simulation& run_steps(bool check_expectations) {
        for (const auto& it : script_.steps) {
            CAPTURE(it.verb);
            if (it.verb.rfind("expect_", 0) != 0) {
                run_step(it);
            } else if (check_expectations) {
                check_expectation(it);
            }
        }
        return simulation_;
    }

private:
    static simulation_options options_of(const kingcupseam::test::scenario& script, std::uint64_t seed,
                                         faults injected) {
        simulation_options options;
        options.seed = seed;
        options.loss = toml::find_or(script.setup, "loss", options.loss);
        options.held_back = toml::find_or(script.setup, "held_back", options.held_back);
        options.max_delay =
            std::chrono::milliseconds(toml::find_or(script.setup, "max_delay_ms", std::int64_t{20}));
        options.hold = std::chrono::seconds(toml::find_or(script.setup, "hold_s", std::int64_t{60}));
        options.planning.rebalance_delay =
            std::chrono::seconds(toml::find_or(script.setup, "respread_delay_s", std::int64_t{30}));
        options.held_back_for =
            std::chrono::milliseconds(toml::find_or(script.setup, "held_back_ms", std::int64_t{3000}));
        options.injected = injected;
        return options;
    }

    void run_step(const kingcupseam::test::scenario_step& it) {
        const auto name = it.text("name");
        if (it.verb == "data_centers") {
            for (const auto& center : it.list("names")) {
                simulation_.add_data_center(center, static_cast<std::uint32_t>(it.number("slots", 10)));
            }
        } else if (it.verb == "run") {
            simulation_.run(std::chrono::milliseconds(it.number("ms")));
        } else if (it.verb == "cut") {
            for (const auto& other : it.list("from")) {
                simulation_.cut(name, other);
            }
        } else if (it.verb == "mute") {
            simulation_.mute(name);
        } else if (it.verb == "heal") {
            simulation_.heal();
        } else if (it.verb == "lose") {
            simulation_.lose(name);
        } else if (it.verb == "bring_back") {
            simulation_.restore(name);
        } else if (it.verb == "slots") {
            simulation_.set_slots(name, static_cast<std::uint32_t>(it.number("count")));
        } else if (it.verb == "hold") {
            simulation_.set_hold(std::chrono::seconds(it.number("s")));
        } else if (it.verb == "change_leader") {
            simulation_.change_leader(name);
        } else if (it.verb == "change_global_leader") {
            simulation_.change_global_leader();
        } else if (it.verb == "network") {
            simulation_.set_network(std::chrono::milliseconds(it.number("max_delay_ms", 20)),
                                    toml::find_or(it.arguments, "loss", 0.02),
                                    toml::find_or(it.arguments, "held_back", 0.02));
        } else if (it.verb == "lose_confirmations") {
            simulation_.lose_confirmations(it.text("until_heard", "no") == "no");
        } else {
            FAIL("unknown verb " << it.verb);
        }
    }

    void check_expectation(const kingcupseam::test::scenario_step& it) {
        const auto name = it.text("name");
        const auto count = it.number("count");
        CAPTURE(name);
        if (it.verb == "expect_placed") {
            CHECK(simulation_.shards_placed_in(name) == count);
        } else if (it.verb == "expect_served") {
            CHECK(simulation_.shards_served_by(name) == count);
        } else if (it.verb == "expect_releasing") {
            CHECK((simulation_.shards_in_release() > 0) == (it.text("any", "yes") == "yes"));
        } else if (it.verb == "expect_moves") {
            CHECK(simulation_.move_count() == static_cast<std::uint64_t>(count));
        } else {
            FAIL("unknown verb " << it.verb);
        }
    }

    kingcupseam::test::scenario script_;
    simulation simulation_;
};

kingcupseam::test::scenario load(const std::string& name) {
    return kingcupseam::test::load_scenario(KINGCUPSEAM_SOURCE_DIR "/tests/scenarios/placement_" + name +
                                            ".toml");
}

bool detects(const std::string& name, faults injected) {
    const auto script = load(name);
    for (std::uint64_t seed = script.seed; seed < script.seed + 4 * seeds_per_scenario; ++seed) {
        scenario_runner it(script, seed, injected);
        if (!it.run_steps(false).violations().empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against two data centres that serve one shard. Each scenario names its failure under "guards".
TEST_CASE("at most one data centre serves a shard") {
    for (const auto& file : kingcupseam::test::scenarios_of("placement")) {
        const auto script = kingcupseam::test::load_scenario(file);
        CAPTURE(script.name);
        CAPTURE(script.guards);
        for (std::uint64_t seed = script.seed; seed < script.seed + seeds_per_scenario; ++seed) {
            CAPTURE(seed);
            scenario_runner it(script, seed, {});
            for (const auto& violation : it.run_steps(true).violations()) {
                FAIL_CHECK(violation);
            }
        }
    }
}

// Guards against a simulation that passes whatever the code does.
TEST_CASE("the simulation detects injected faults") {
    SUBCASE("a hold that starts at the receipt of the reply") {
        CHECK(detects("slow_replies", {.hold_from_receipt = true}));
    }
    SUBCASE("no margin for clock drift") {
        CHECK(detects("cut_longer_than_long_hold", {.no_drift_margin = true}));
    }
    SUBCASE("shards served after the hold") {
        CHECK(detects("cut_longer_than_hold", {.serve_after_hold = true}));
    }
    SUBCASE("a new leader of a data centre that counts its election as a contact") {
        CHECK(detects("leader_changes_during_cut", {.contact_at_election = true}));
    }
    SUBCASE("a new global leader that counts every hold as expired") {
        CHECK(detects("global_leader_changes_during_cut", {.holds_expired_at_election = true}));
    }
    SUBCASE("a release confirmed while grants may be live") {
        CHECK(detects("joining_data_center", {.confirm_with_live_grants = true}));
    }
    SUBCASE("a confirmation of an earlier release that counts for the present one") {
        CHECK(detects("back_and_forth", {.confirm_any_release = true}));
    }
    SUBCASE("a new leader of a data centre with an old assignment") {
        CHECK(detects("leader_changes_after_release", {.stale_assignment_at_election = true}));
    }
}
