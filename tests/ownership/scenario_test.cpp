#include "ownership/simulation.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::ownership;
using namespace kingcupseam::ownership::test;

namespace {

duration ms(std::int64_t n) {
    return std::chrono::milliseconds(n);
}

/// Interprets the steps of tests/scenarios/ownership_*.toml.
class scenario_runner {
public:
    scenario_runner(const kingcupseam::test::scenario& script, std::uint64_t seed, faults injected)
        : script_(script), simulation_(options_of(script, seed, injected)), expect_(true) {}

    /// @param expect whether the expect_* steps are checked; with an injected fault they may fail
    const simulation& run_steps(bool expect) {
        expect_ = expect;
        for (const auto& it : script_.steps) {
            CAPTURE(it.verb);
            run_step(it);
        }
        return simulation_;
    }

private:
    static simulation_options options_of(const kingcupseam::test::scenario& script, std::uint64_t seed,
                                         faults injected) {
        simulation_options options;
        options.seed = seed;
        options.loss = toml::find_or(script.setup, "loss", options.loss);
        options.planning.ramp = duration::zero();
        options.planning.ledger_group_count = 2;
        options.injected = injected;
        return options;
    }

    void run_step(const kingcupseam::test::scenario_step& it) {
        const auto name = it.text("name");
        if (it.verb == "gates") {
            for (const auto& gate : it.list("names")) {
                simulation_.add_gate(gate);
            }
        } else if (it.verb == "upstreams") {
            for (const auto& upstream : it.list("names")) {
                simulation_.add_upstream(upstream, static_cast<std::uint64_t>(it.number("incarnation", 1)),
                                         it.text("checks_grants", "yes") == "yes");
            }
        } else if (it.verb == "stop") {
            simulation_.stop(name);
        } else if (it.verb == "pause") {
            simulation_.pause(name);
        } else if (it.verb == "resume") {
            simulation_.resume(name);
        } else if (it.verb == "drain") {
            simulation_.drain(name);
        } else if (it.verb == "cut") {
            for (const auto& other : it.list("from")) {
                simulation_.cut(name, other);
            }
        } else if (it.verb == "cut_off_with_gate") {
            simulation_.cut_off_with_gate(name);
        } else if (it.verb == "heal") {
            simulation_.heal();
        } else if (it.verb == "change_leader") {
            simulation_.change_leader(ms(it.number("election_ms", 300)));
        } else if (it.verb == "network") {
            simulation_.set_network(ms(it.number("max_delay_ms")),
                                    static_cast<double>(it.number("loss_percent")) / 100,
                                    static_cast<double>(it.number("held_percent", 2)) / 100);
        } else if (it.verb == "hot_key") {
            simulation_.set_hot_keys({{service_name, name, 500}, {service_name, it.text("second"), 400}});
        } else {
            run_or_expect(it);
        }
    }

    /// Runs the simulation for a time, or until an expectation holds.
    void run_or_expect(const kingcupseam::test::scenario_step& it) {
        const auto name = it.text("name");
        auto within = ms(it.number("within_ms", 1000));
        if (it.verb == "run") {
            simulation_.run(ms(it.number("ms")));
        } else if (it.verb == "until_moving") {
            expect(simulation_.run_until([&] { return simulation_.moving(); }, within));
        } else if (it.verb == "expect_served") {
            expect(simulation_.run_until([&] { return simulation_.served() == 24; }, within));
        } else if (it.verb == "expect_none_owned") {
            expect(simulation_.run_until(
                [&] { return simulation_.owned_by(name) == 0 && !simulation_.moving(); }, within));
        } else if (it.verb == "expect_owned") {
            // Two missed renewals mark an upstream as lost, whatever their reason. It then has to register
            // again, so the expectation gets more time.
            if (simulation_.missed_renewals(name)) {
                within = std::max(within, ms(it.number("after_missed_renewals_ms", 0)));
            }
            expect(simulation_.run_until([&] { return simulation_.owned_by(name) > 0; }, within));
        } else if (it.verb == "expect_hot_key_apart") {
            expect(simulation_.run_until([&] { return hot_keys_at_rest(); }, within));
        } else if (it.verb == "expect_idle") {
            const auto before = simulation_.started_by(name);
            simulation_.run(ms(it.number("ms")));
            expect(simulation_.started_by(name) == before);
        } else {
            FAIL("unknown step " << it.verb);
        }
    }

    bool hot_keys_at_rest() const {
        const auto& keys = simulation_.rows().services.at(service_name).hot_keys;
        return !keys.empty() && keys.begin()->second.next == no_upstream;
    }

    void expect(bool reached) const {
        if (expect_) {
            CHECK(reached);
        }
    }

    const kingcupseam::test::scenario& script_;
    simulation simulation_;
    bool expect_;
};

constexpr std::uint64_t seeds_per_scenario = 5;
// A fault shows only if, for example, a delayed grant coincides with a move, which takes more seeds.
constexpr std::uint64_t seeds_per_fault = 20;

/// True when a scenario reports a violation for the injected fault with one of the seeds.
bool detects(const std::string& name, const faults& injected) {
    const auto script = kingcupseam::test::load_scenario(
        std::string(KINGCUPSEAM_SOURCE_DIR "/tests/scenarios/ownership_") + name + ".toml");
    for (std::uint64_t seed = 1; seed <= seeds_per_fault; ++seed) {
        scenario_runner it(script, seed, injected);
        if (!it.run_steps(false).violations().empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Each tests/scenarios/ownership_*.toml states the failure that it guards against.
TEST_CASE("ownership scenarios keep one live grant per shard") {
    const auto files = kingcupseam::test::scenarios_of("ownership");
    REQUIRE(files.size() >= 9);
    for (const auto& file : files) {
        const auto script = kingcupseam::test::load_scenario(file);
        CAPTURE(script.name);
        CAPTURE(script.guards);
        auto seeds = script.more_seeds;
        for (std::uint64_t seed = script.seed; seed < script.seed + seeds_per_scenario; ++seed) {
            seeds.push_back(seed);
        }
        for (const auto seed : seeds) {
            CAPTURE(seed);
            scenario_runner it(script, seed, {});
            const auto& finished = it.run_steps(true);
            CHECK(finished.started() > 100);
            for (const auto& violation : finished.violations()) {
                FAIL_CHECK(violation);
            }
        }
    }
}

// Guards against checks that would pass a broken grant protocol.
TEST_CASE("the checks detect injected faults") {
    SUBCASE("a lease counted from the receipt of the grant") {
        CHECK(detects("frozen_upstream_returns", {.lease_from_receipt = true}));
    }
    SUBCASE("moves completed while the grant of the former owner may be live") {
        CHECK(detects("move_during_loss", {.complete_without_wait = true}));
    }
    SUBCASE("grants of lower epochs accepted") {
        CHECK(detects("delayed_grants", {.ignore_epochs = true}));
    }
    SUBCASE("grants past the lease of the gate") {
        CHECK(detects("gate_cut_off", {.ignore_gate_lease = true}));
    }
    SUBCASE("dispatch to an upstream that does not check grants, without a live grant") {
        CHECK(detects("unchecked_upstream", {.dispatch_without_grant = true}));
    }
}
