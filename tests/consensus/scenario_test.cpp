#include "group_simulation.h"

#include "support/scenario.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace kingcupseam;
using namespace kingcupseam::test;
using consensus::change_kind;

namespace {

group_options options_of(const scenario& script) {
    group_options result;
    result.seed = script.seed;
    result.voters = static_cast<std::size_t>(toml::find_or(script.setup, "voters", 3));
    result.spares = static_cast<std::size_t>(toml::find_or(script.setup, "spares", 0));
    result.disks = toml::find_or(script.setup, "disks", true);
    result.elect_after_restart = toml::find_or(script.setup, "elect_after_restart", false);
    result.compact_after = static_cast<std::uint64_t>(toml::find_or(script.setup, "compact_after", 0));
    return result;
}

/// Executes the steps of a scenario. Hosts are named a, b, c, ...; "leader" is the current leader, "other"
/// and "third" are the first and second running voter besides it. A step's "as" gives its host a name for
/// later steps.
class scenario_runner {
public:
    explicit scenario_runner(const scenario& script) : group_(options_of(script)) {}

    void run(const scenario_step& step) {
        step_ = &step;
        const auto it = verbs_.find(step.verb);
        REQUIRE_MESSAGE(it != verbs_.end(), "unknown verb " << step.verb);
        (this->*it->second)();
        CHECK(group_.checks().clean());
    }
    void finish() {
        group_.checks().finish();
        CHECK(group_.checks().clean());
    }

private:
    using verb = void (scenario_runner::*)();

    std::string resolve_host(const std::string& key = "host") {
        const std::string text = step_->text(key);
        std::string name = text;
        if (text == "leader" || text == "other" || text == "third") {
            name = resolve_role(text);
        } else if (names_.contains(text)) {
            name = names_.at(text);
        }
        const std::string alias = step_->text("as");
        if (!alias.empty()) {
            names_[alias] = name;
        }
        REQUIRE_MESSAGE((name == "*" || group_.hosts().contains(name)), "unknown host " << text);
        return name;
    }
    std::string resolve_role(const std::string& text) {
        const std::string leader = group_.leader();
        REQUIRE_FALSE(leader.empty());
        std::vector<std::string> others;
        for (const auto& id : group_.at(leader).node->members().voters) {
            const auto& it = group_.at(id.name);
            if (id.name != leader && it.up() && !it.paused && it.id == id) {
                others.push_back(id.name);
            }
        }
        return text == "leader" ? leader : others.at(text == "other" ? 0 : 1);
    }
    duration ms(const std::string& key, std::int64_t fallback) {
        return std::chrono::milliseconds(step_->number(key, fallback));
    }

    void do_run() { group_.run(ms("ms", 100)); }
    void do_propose() {
        const auto count = step_->number("count", 1);
        const std::size_t before = group_.checks().acknowledged();
        for (std::int64_t n = 0; n < count; ++n) {
            CHECK(group_.propose());
            group_.run(ms("every_ms", 2));
        }
        const auto wanted = before + static_cast<std::size_t>(step_->number("acknowledged", count));
        group_.run_until([&] { return group_.checks().acknowledged() >= wanted; }, ms("within_ms", 300));
        CHECK(group_.checks().acknowledged() == wanted);
    }
    void do_kill() { group_.kill(resolve_host()); }
    void do_restart() { group_.restart(resolve_host(), step_->text("disk", "kept") == "lost"); }
    void do_pause() { group_.pause(resolve_host()); }
    void do_resume() { group_.resume(resolve_host()); }
    void do_cut() {
        const std::string from = resolve_host("from");
        group_.cut(from, resolve_host("to"));
    }
    void do_isolate() {
        const std::string name = resolve_host();
        group_.cut(name, "*");
        group_.cut("*", name);
    }
    void do_heal() { group_.heal(); }
    void do_replace() {
        group_.enable_replacement(
            {static_cast<std::size_t>(step_->number("voters", 3)), ms("lost_after_ms", 500)});
    }
    bool change() {
        static const std::map<std::string, change_kind> kinds{{"add_learner", change_kind::add_learner},
                                                              {"promote", change_kind::promote},
                                                              {"remove", change_kind::remove}};
        return group_.change({kinds.at(step_->text("kind")), group_.at(resolve_host()).id});
    }
    void do_change() { CHECK(change()); }
    void do_refuse_change() { CHECK_FALSE(change()); }
    void do_await_leader() {
        const std::string except = step_->text("not");
        const auto elected = [&] {
            const std::string name = group_.leader();
            return !name.empty() && (!names_.contains(except) || name != names_.at(except)) &&
                   group_.at(name).node->leadership_valid_until() > group_.now();
        };
        CHECK(group_.run_until(elected, ms("within_ms", 1000)));
    }
    void do_expect_no_leader() { CHECK(group_.leader().empty()); }
    void do_remember_leader() {
        remembered_ = group_.leader();
        remembered_term_ = group_.at(remembered_).node->term();
    }
    void do_expect_same_leader() {
        CHECK(group_.leader() == remembered_);
        CHECK(group_.at(remembered_).node->term() == remembered_term_);
    }
    void do_await_voters() {
        std::vector<std::string> wanted = step_->list("hosts");
        for (auto& it : wanted) {
            it = names_.contains(it) ? names_.at(it) : it;
        }
        std::sort(wanted.begin(), wanted.end());
        const auto reached = [&] {
            const std::string name = group_.leader();
            return !name.empty() && voters(name) == wanted && !group_.at(name).node->change_in_progress();
        };
        CHECK(group_.run_until(reached, ms("within_ms", 2000)));
    }
    /// Sorted names of the voters; " (old)" marks an incarnation that no longer runs.
    std::vector<std::string> voters(const std::string& name) {
        std::vector<std::string> result;
        for (const auto& id : group_.at(name).node->members().voters) {
            result.push_back(group_.at(id.name).id == id ? id.name : id.name + " (old)");
        }
        std::sort(result.begin(), result.end());
        return result;
    }
    void do_expect_equal() {
        const auto leader = group_.leader();
        REQUIRE_FALSE(leader.empty());
        for (const auto& id : group_.at(leader).node->members().voters) {
            CHECK(group_.at(id.name).state == group_.at(leader).state);
        }
    }

    group_simulation group_;
    const scenario_step* step_ = nullptr;
    std::map<std::string, std::string> names_;
    std::string remembered_;
    std::uint64_t remembered_term_ = 0;
    const std::map<std::string, verb> verbs_{
        {"run", &scenario_runner::do_run},
        {"propose", &scenario_runner::do_propose},
        {"kill", &scenario_runner::do_kill},
        {"restart", &scenario_runner::do_restart},
        {"pause", &scenario_runner::do_pause},
        {"resume", &scenario_runner::do_resume},
        {"cut", &scenario_runner::do_cut},
        {"isolate", &scenario_runner::do_isolate},
        {"heal", &scenario_runner::do_heal},
        {"replace", &scenario_runner::do_replace},
        {"change", &scenario_runner::do_change},
        {"refuse_change", &scenario_runner::do_refuse_change},
        {"await_leader", &scenario_runner::do_await_leader},
        {"expect_no_leader", &scenario_runner::do_expect_no_leader},
        {"remember_leader", &scenario_runner::do_remember_leader},
        {"expect_same_leader", &scenario_runner::do_expect_same_leader},
        {"await_voters", &scenario_runner::do_await_voters},
        {"expect_equal", &scenario_runner::do_expect_equal},
    };
};

} // namespace

// Each tests/scenarios/consensus_*.toml states the failure that it guards against.
TEST_CASE("scripted consensus scenarios") {
    const auto files = scenarios_of("consensus");
    CHECK(files.size() >= 10);
    for (const auto& file : files) {
        const scenario script = load_scenario(file);
        SUBCASE(script.name.c_str()) {
            CAPTURE(script.guards);
            scenario_runner it(script);
            for (std::size_t n = 0; n < script.steps.size(); ++n) {
                CAPTURE(n);
                CAPTURE(script.steps[n].verb);
                it.run(script.steps[n]);
            }
            it.finish();
        }
    }
}
