#pragma once

#include <kingcupseam/error.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::statechart {

/// A chart is not usable: unreachable state, missing target, unknown event or no initial state.
class invalid_chart : public error {
public:
    invalid_chart(const std::string& source, const std::string& problem);
};

/// An event that the chart does not declare.
class unknown_event : public error {
public:
    unknown_event(const std::string& chart, const std::string& event);
};

struct transition {
    std::string event;
    std::string target;
    auto operator<=>(const transition&) const = default;
};

/// A state that the chart does not have.
class unknown_state : public error {
public:
    unknown_state(const std::string& chart, const std::string& state);
};

/// States with their transitions, read from TOML:
/// name, initial, events = [...], [[state]] name, final?, on = { event = "target" }.
/// Every state is reachable, every event is used, and exactly the final states have no transitions.
struct chart {
    std::string name;
    std::string initial;
    std::vector<std::string> events;
    std::map<std::string, std::vector<transition>> states;
    std::vector<std::string> final_states;
    bool operator==(const chart&) const = default;
};

/// @throws invalid_chart
chart parse_chart(const std::string& source, const std::string& text);

/// A chart that was embedded in the binary at build time from charts/<name>.toml.
/// @throws invalid_chart when there is none
const chart& embedded_chart(std::string_view name);
/// Names of all embedded charts.
std::vector<std::string> embedded_chart_names();

/// Mermaid state diagram for the docs.
std::string to_mermaid(const chart& source);

/// One running instance of a chart, which must outlive it.
class machine {
public:
    explicit machine(const chart& source);
    /// Continues in @p current, for a state that is stored elsewhere.
    /// @throws unknown_state
    machine(const chart& source, std::string current);
    const std::string& current() const noexcept { return current_; }
    /// @returns true when the state has a transition for the event; it is taken
    /// @throws unknown_event
    bool fire(std::string_view event);
    bool finished() const;

private:
    const chart* chart_;
    std::string current_;
};

} // namespace kingcupseam::statechart
