#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/statechart.h>

using namespace kingcupseam;
using statechart::chart;
using statechart::machine;

namespace {

const std::string door_chart = "name = \"door\"\ninitial = \"open\"\nevents = [\"push\", \"weld\"]\n"
                               "[[state]]\nname = \"open\"\non = { push = \"shut\" }\n"
                               "[[state]]\nname = \"shut\"\non = { push = \"open\", weld = \"welded\" }\n"
                               "[[state]]\nname = \"welded\"\nfinal = true\n";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

std::string problem_of(const std::string& text) {
    try {
        statechart::parse_chart("door.toml", text);
    } catch (const statechart::invalid_chart& e) {
        return e.what();
    }
    return "no problem";
}

} // namespace

TEST_CASE("a machine takes the transitions of its chart") {
    const chart source = statechart::parse_chart("door.toml", door_chart);
    machine it(source);
    CHECK(it.current() == "open");

    SUBCASE("an event without a transition returns false and does not change the state") {
        CHECK_FALSE(it.fire("weld"));
        CHECK(it.current() == "open");
    }
    SUBCASE("an event with a transition changes the state") {
        CHECK(it.fire("push"));
        CHECK(it.current() == "shut");
        CHECK_FALSE(it.finished());
        SUBCASE("no event leaves a final state") {
            CHECK(it.fire("weld"));
            CHECK(it.finished());
            CHECK_FALSE(it.fire("push"));
        }
    }
    SUBCASE("an undeclared event throws") {
        CHECK_THROWS_AS(it.fire("psuh"), statechart::unknown_event);
    }
    SUBCASE("the Mermaid diagram shows every transition") {
        CHECK(to_mermaid(source) == "stateDiagram-v2\n    [*] --> open\n    open --> shut : push\n"
                                    "    shut --> open : push\n    shut --> welded : weld\n"
                                    "    welded --> [*]\n");
    }
}

TEST_CASE("an invalid chart is refused with an error that names the file and the place") {
    SUBCASE("a target that does not exist") {
        CHECK(problem_of(replaced(door_chart, "weld = \"welded\"", "weld = \"locked\"")) ==
              "door.toml: state shut: missing target locked");
    }
    SUBCASE("an unreachable state") {
        CHECK(problem_of(replaced(door_chart, "weld = \"welded\"", "weld = \"open\"")) ==
              "door.toml: state welded: unreachable");
    }
    SUBCASE("an event that is not declared, declared twice, or never used") {
        CHECK(problem_of(replaced(door_chart, "on = { push", "on = { kick")) ==
              "door.toml: state open: unknown event kick");
        CHECK(problem_of(replaced(door_chart, "\"weld\"]", "\"weld\", \"push\"]")) ==
              "door.toml: events: an event is declared twice");
        CHECK(problem_of(replaced(door_chart, "\"weld\"]", "\"weld\", \"kick\"]")) ==
              "door.toml: events: no state uses kick");
    }
    SUBCASE("an initial state that does not exist, or none") {
        CHECK(problem_of(replaced(door_chart, "initial = \"open\"", "initial = \"ajar\"")) ==
              "door.toml: initial: there is no state ajar");
        CHECK(problem_of(replaced(door_chart, "initial = \"open\"\n", ""))
                  .rfind("door.toml: initial: is missing", 0) == 0);
    }
    SUBCASE("a state without transitions that is not final, and a final state with transitions") {
        CHECK(problem_of(replaced(door_chart, "final = true\n", "")) ==
              "door.toml: state welded: a state without transitions must be final");
        CHECK(problem_of(door_chart + "on = { push = \"open\" }\n") ==
              "door.toml: state welded: a final state has no transitions");
    }
    SUBCASE("a state named twice, an unknown key, text that is not TOML") {
        CHECK(problem_of(door_chart + "[[state]]\nname = \"open\"\nfinal = true\n") ==
              "door.toml: state[3].name: is used by two states");
        CHECK(problem_of(door_chart + "finall = true\n").rfind("door.toml: state[2].finall: ", 0) == 0);
        CHECK(problem_of("[").rfind("door.toml: line 1: ", 0) == 0);
    }
}

TEST_CASE("the embedded charts have the properties that the code relies on") {
    SUBCASE("all charts of the folder are embedded and valid") {
        CHECK(statechart::embedded_chart_names() ==
              std::vector<std::string>{"consensus_role", "grant", "instance", "upstream"});
        for (const auto& name : statechart::embedded_chart_names()) {
            CHECK(statechart::embedded_chart(name).name == name);
        }
        CHECK_THROWS_AS(statechart::embedded_chart("door"), statechart::invalid_chart);
    }
    SUBCASE("a lost upstream that announces itself again is joining and not active") {
        machine it(statechart::embedded_chart("upstream"));
        CHECK(it.fire("granted"));
        CHECK(it.current() == "active");
        CHECK(it.fire("lease_expired"));
        CHECK_FALSE(it.fire("granted"));
        CHECK(it.current() == "lost");
        CHECK(it.fire("announced"));
        CHECK(it.current() == "joining");
    }
    SUBCASE("a drain is not cancelled by a repeated announcement of the same incarnation") {
        machine it(statechart::embedded_chart("upstream"));
        it.fire("granted");
        it.fire("drain_requested");
        CHECK(it.fire("announced"));
        CHECK(it.fire("granted"));
        CHECK(it.current() == "draining");
    }
    SUBCASE("a machine resumes in a stored state and rejects one that the chart does not have") {
        machine it(statechart::embedded_chart("upstream"), "draining");
        CHECK(it.fire("announced_active"));
        CHECK(it.current() == "active");
        CHECK_THROWS_AS(machine(statechart::embedded_chart("upstream"), "gone"), statechart::unknown_state);
    }
    SUBCASE("a late acceptance does not return a grant from revoking to live") {
        machine it(statechart::embedded_chart("grant"));
        it.fire("assigned");
        it.fire("accepted");
        CHECK(it.current() == "live");
        it.fire("revoke_requested");
        it.fire("accepted");
        CHECK(it.current() == "revoking");
        it.fire("acknowledged");
        CHECK(it.finished());
    }
    SUBCASE("no voter becomes leader without a pre-vote and a vote") {
        machine it(statechart::embedded_chart("consensus_role"));
        it.fire("election_timeout");
        CHECK_FALSE(it.fire("vote_won"));
        CHECK(it.fire("pre_vote_won"));
        CHECK(it.fire("vote_won"));
        CHECK(it.current() == "leader");
    }
    SUBCASE("an instance that stops never becomes ready again") {
        machine it(statechart::embedded_chart("instance"));
        it.fire("listening");
        it.fire("joined");
        it.fire("stop_requested");
        CHECK_FALSE(it.fire("joined"));
        CHECK(it.fire("grace_expired"));
        CHECK(it.finished());
    }
}

TEST_CASE("docs/statecharts.md contains the diagram of every embedded chart") {
    const std::string page = config::read_file(KINGCUPSEAM_SOURCE_DIR "/docs/statecharts.md");
    for (const auto& name : statechart::embedded_chart_names()) {
        CAPTURE(name);
        const auto diagram = "```mermaid\n" + to_mermaid(statechart::embedded_chart(name)) + "```\n";
        CHECK(page.find("## `charts/" + name + ".toml`\n") != std::string::npos);
        CHECK(page.find(diagram) != std::string::npos);
    }
}
