#include "statechart/embedded.h"

#include <kingcupseam/config.h>
#include <kingcupseam/statechart.h>

#include <algorithm>
#include <set>

namespace kingcupseam::statechart {

namespace {

using config::table;

void read_state(const table& source, chart& result) {
    const std::string name = source.string("name", 1, 64);
    std::vector<transition> transitions;
    if (const auto on = source.subtable("on")) {
        for (const auto& event : on->keys()) {
            transitions.push_back({event, on->string(event, 1, 64)});
        }
    }
    if (source.boolean("final", false)) {
        result.final_states.push_back(name);
    }
    if (!result.states.emplace(name, std::move(transitions)).second) {
        source.fail("name", "is used by two states");
    }
    source.reject_unknown_keys();
}

chart read_chart(const std::string& source, const std::string& text) {
    const table root = table::parse(source, text);
    chart result;
    result.name = root.string("name", 1, 64);
    result.initial = root.string("initial", 1, 64);
    result.events = root.strings("events");
    for (const auto& it : root.tables("state")) {
        read_state(it, result);
    }
    root.reject_unknown_keys();
    return result;
}

void check_events(const std::string& source, const chart& parsed) {
    std::set<std::string> unused(parsed.events.begin(), parsed.events.end());
    if (unused.size() != parsed.events.size()) {
        throw invalid_chart(source, "events: an event is declared twice");
    }
    const std::set<std::string> declared = unused;
    for (const auto& [name, transitions] : parsed.states) {
        for (const auto& it : transitions) {
            if (!declared.contains(it.event)) {
                throw invalid_chart(source, "state " + name + ": unknown event " + it.event);
            }
            unused.erase(it.event);
        }
    }
    if (!unused.empty()) {
        throw invalid_chart(source, "events: no state uses " + *unused.begin());
    }
}

void check_targets(const std::string& source, const chart& parsed) {
    if (!parsed.states.contains(parsed.initial)) {
        throw invalid_chart(source, "initial: there is no state " + parsed.initial);
    }
    for (const auto& [name, transitions] : parsed.states) {
        const bool final = std::find(parsed.final_states.begin(), parsed.final_states.end(), name) !=
                           parsed.final_states.end();
        if (final != transitions.empty()) {
            throw invalid_chart(source, "state " + name +
                                            (final ? ": a final state has no transitions"
                                                   : ": a state without transitions must be final"));
        }
        for (const auto& it : transitions) {
            if (!parsed.states.contains(it.target)) {
                throw invalid_chart(source, "state " + name + ": missing target " + it.target);
            }
        }
    }
}

void check_reachable(const std::string& source, const chart& parsed) {
    std::set<std::string> reached{parsed.initial};
    std::vector<std::string> open{parsed.initial};
    while (!open.empty()) {
        const std::string current = std::move(open.back());
        open.pop_back();
        for (const auto& it : parsed.states.at(current)) {
            if (reached.insert(it.target).second) {
                open.push_back(it.target);
            }
        }
    }
    for (const auto& [name, transitions] : parsed.states) {
        if (!reached.contains(name)) {
            throw invalid_chart(source, "state " + name + ": unreachable");
        }
    }
}

std::map<std::string, chart, std::less<>> parse_embedded() {
    std::map<std::string, chart, std::less<>> charts;
    for (const auto& it : embedded_texts()) {
        const std::string source = "charts/" + std::string(it.name) + ".toml";
        charts.emplace(it.name, parse_chart(source, std::string(it.toml)));
    }
    return charts;
}

const std::map<std::string, chart, std::less<>>& embedded_charts() {
    static const auto charts = parse_embedded();
    return charts;
}

} // namespace

invalid_chart::invalid_chart(const std::string& source, const std::string& problem)
    : error(source + ": " + problem) {}

unknown_event::unknown_event(const std::string& chart, const std::string& event)
    : error("chart " + chart + ": unknown event " + event) {}

unknown_state::unknown_state(const std::string& chart, const std::string& state)
    : error("chart " + chart + ": unknown state " + state) {}

chart parse_chart(const std::string& source, const std::string& text) {
    chart result;
    try {
        result = read_chart(source, text);
    } catch (const invalid_input& e) {
        throw invalid_chart(source, std::string(e.what()).substr(source.size() + 2));
    }
    check_events(source, result);
    check_targets(source, result);
    check_reachable(source, result);
    return result;
}

const chart& embedded_chart(std::string_view name) {
    const auto it = embedded_charts().find(name);
    if (it == embedded_charts().end()) {
        throw invalid_chart(std::string(name), "is not embedded in this binary");
    }
    return it->second;
}

std::vector<std::string> embedded_chart_names() {
    std::vector<std::string> names;
    names.reserve(embedded_texts().size());
    for (const auto& it : embedded_texts()) {
        names.emplace_back(it.name);
    }
    return names;
}

std::string to_mermaid(const chart& source) {
    std::string text = "stateDiagram-v2\n    [*] --> " + source.initial + "\n";
    for (const auto& [name, transitions] : source.states) {
        for (const auto& it : transitions) {
            text += "    " + name + " --> " + it.target + " : " + it.event + "\n";
        }
    }
    for (const auto& it : source.final_states) {
        text += "    " + it + " --> [*]\n";
    }
    return text;
}

machine::machine(const chart& source) : chart_(&source), current_(source.initial) {}

machine::machine(const chart& source, std::string current) : chart_(&source), current_(std::move(current)) {
    if (!source.states.contains(current_)) {
        throw unknown_state(source.name, current_);
    }
}

bool machine::fire(std::string_view event) {
    if (std::find(chart_->events.begin(), chart_->events.end(), event) == chart_->events.end()) {
        throw unknown_event(chart_->name, std::string(event));
    }
    for (const auto& it : chart_->states.at(current_)) {
        if (it.event == event) {
            current_ = it.target;
            return true;
        }
    }
    return false;
}

bool machine::finished() const {
    return std::find(chart_->final_states.begin(), chart_->final_states.end(), current_) !=
           chart_->final_states.end();
}

} // namespace kingcupseam::statechart
