#include "ledger/simulation.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;

namespace {

const std::map<std::string, reported_outcome> outcomes_by_name{{"nothing", reported_outcome::nothing},
                                                               {"ran", reported_outcome::ran},
                                                               {"not-run", reported_outcome::not_run},
                                                               {"unknown", reported_outcome::unknown}};

std::chrono::milliseconds milliseconds_of(const scenario_step& step) {
    return std::chrono::milliseconds(step.number("ms", 1));
}

/// Executes the steps of a scenario.
class scenario_runner {
public:
    scenario_runner(const scenario& script) : simulation_(options_of(script), script.seed) {}

    void run(const scenario_step& step) {
        const auto verb = verbs().find(step.verb);
        REQUIRE_MESSAGE(verb != verbs().end(), "unknown verb " << step.verb);
        verb->second(*this, step);
        CHECK(simulation_.violations().empty());
    }

private:
    using action = void (*)(scenario_runner&, const scenario_step&);

    static simulation_options options_of(const scenario& script) {
        simulation_options result;
        result.max_delay = std::chrono::milliseconds(1);
        result.shed = toml::find_or(script.setup, "shed", 0.0);
        result.lost_answer = toml::find_or(script.setup, "lost_answer", 0.0);
        result.duplication = toml::find_or(script.setup, "duplication", 0.0);
        result.replica.max_records = std::size_t(toml::find_or(script.setup, "max_records", 1000));
        return result;
    }

    static const std::map<std::string, action>& verbs() {
        static const std::map<std::string, action> all{
            {"submit",
             [](scenario_runner& runner, const scenario_step& step) {
                 runner.ids_[step.text("id")] =
                     runner.simulation_.submit(step.text("gate"), step.text("key"), step.text("digest", "d"));
             }},
            {"advance", [](scenario_runner& runner,
                           const scenario_step& step) { runner.simulation_.advance(milliseconds_of(step)); }},
            {"appoint", [](scenario_runner& runner,
                           const scenario_step& step) { runner.simulation_.appoint(step.text("gate")); }},
            {"pause-replica",
             [](scenario_runner& runner, const scenario_step& step) {
                 runner.simulation_.pause_replica(step.text("replica"), milliseconds_of(step));
             }},
            {"pause-gate",
             [](scenario_runner& runner, const scenario_step& step) {
                 runner.simulation_.pause_gate(step.text("gate"), milliseconds_of(step));
             }},
            {"cut",
             [](scenario_runner& runner, const scenario_step& step) {
                 runner.simulation_.cut(step.text("gate"), step.text("replica"));
             }},
            {"heal", [](scenario_runner& runner, const scenario_step&) { runner.simulation_.heal(); }},
            {"replace-replica",
             [](scenario_runner& runner, const scenario_step& step) {
                 CHECK(runner.simulation_.replace_replica(step.text("replica")) ==
                       (step.text("installed", "yes") == "yes"));
             }},
            {"install", [](scenario_runner& runner,
                           const scenario_step&) { CHECK(runner.simulation_.install_missing()); }},
            {"expect",
             [](scenario_runner& runner, const scenario_step& step) {
                 CAPTURE(step.text("id"));
                 CHECK(runner.simulation_.at(runner.ids_.at(step.text("id"))).result ==
                       outcomes_by_name.at(step.text("told")));
             }},
            {"expect-executions",
             [](scenario_runner& runner, const scenario_step& step) {
                 CHECK(runner.simulation_.executions(step.text("key")) == step.number("count"));
             }},
        };
        return all;
    }

    simulation simulation_;
    std::map<std::string, std::size_t> ids_;
};

} // namespace

// Each tests/scenarios/ledger_*.toml states the failure that it guards against.
TEST_CASE("scripted ledger scenarios") {
    const auto files = scenarios_of("ledger");
    CHECK(files.size() >= 7);
    for (const auto& file : files) {
        const scenario script = load_scenario(file);
        CAPTURE(script.name);
        scenario_runner runner(script);
        for (std::size_t n = 0; n < script.steps.size(); ++n) {
            CAPTURE(n);
            runner.run(script.steps[n]);
        }
    }
}
