#include "ledger/world.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;

namespace {

const std::map<std::string, told> told_names{
    {"nothing", told::nothing}, {"ran", told::ran}, {"not-run", told::not_run}, {"unknown", told::unknown}};

std::chrono::milliseconds milliseconds_of(const scenario_step& step) {
    return std::chrono::milliseconds(step.number("ms", 1));
}

class player {
public:
    player(const scenario& script) : world_(options_of(script), script.seed) {}

    void play(const scenario_step& step) {
        const auto verb = verbs().find(step.verb);
        REQUIRE_MESSAGE(verb != verbs().end(), "unknown verb " << step.verb);
        verb->second(*this, step);
        CHECK(world_.violations().empty());
    }

private:
    using action = void (*)(player&, const scenario_step&);

    static world_options options_of(const scenario& script) {
        world_options result;
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
             [](player& p, const scenario_step& s) {
                 p.ids_[s.text("id")] = p.world_.submit(s.text("gate"), s.text("key"), s.text("digest", "d"));
             }},
            {"advance", [](player& p, const scenario_step& s) { p.world_.advance(milliseconds_of(s)); }},
            {"appoint", [](player& p, const scenario_step& s) { p.world_.appoint(s.text("gate")); }},
            {"pause-replica",
             [](player& p, const scenario_step& s) {
                 p.world_.pause_replica(s.text("replica"), milliseconds_of(s));
             }},
            {"pause-gate",
             [](player& p, const scenario_step& s) {
                 p.world_.pause_gate(s.text("gate"), milliseconds_of(s));
             }},
            {"cut",
             [](player& p, const scenario_step& s) { p.world_.cut(s.text("gate"), s.text("replica")); }},
            {"heal", [](player& p, const scenario_step&) { p.world_.heal(); }},
            {"replace-replica",
             [](player& p, const scenario_step& s) {
                 CHECK(p.world_.replace_replica(s.text("replica")) == (s.text("installed", "yes") == "yes"));
             }},
            {"install", [](player& p, const scenario_step&) { CHECK(p.world_.install_missing()); }},
            {"expect",
             [](player& p, const scenario_step& s) {
                 CAPTURE(s.text("id"));
                 CHECK(p.world_.at(p.ids_.at(s.text("id"))).result == told_names.at(s.text("told")));
             }},
            {"expect-executions",
             [](player& p, const scenario_step& s) {
                 CHECK(p.world_.executions(s.text("key")) == s.number("count"));
             }},
        };
        return all;
    }

    world world_;
    std::map<std::string, std::size_t> ids_;
};

} // namespace

TEST_CASE("scripted faults of gates and replicas") {
    const auto files = scenarios_of("ledger");
    CHECK(files.size() >= 7);
    for (const auto& file : files) {
        const scenario script = load_scenario(file);
        CAPTURE(script.name);
        player subject(script);
        for (std::size_t n = 0; n < script.steps.size(); ++n) {
            CAPTURE(n);
            subject.play(script.steps[n]);
        }
    }
}
