#pragma once

#include <kingcupseam/error.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::statechart {

/// Thrown for an invalid chart, such as one with an unreachable state, a missing target or an unknown event.
class invalid_chart : public error {
public:
    invalid_chart(const std::string& source, const std::string& problem);
};

/// Thrown for an event that the chart does not declare.
class unknown_event : public error {
public:
    unknown_event(const std::string& chart, const std::string& event);
};

struct transition {
    std::string event;
    std::string target;
    auto operator<=>(const transition&) const = default;
};

/// Thrown for a state that the chart does not have.
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

/// Parses a chart in TOML; @p source is the file name for error messages.
/// @throws invalid_chart
chart parse_chart(const std::string& source, const std::string& text);

/// The chart in charts/<name>.toml, as embedded in the binary at build time.
/// @throws invalid_chart if there is none
const chart& embedded_chart(std::string_view name);
/// Names of all embedded charts.
std::vector<std::string> embedded_chart_names();

/// Mermaid state diagram of the chart.
std::string to_mermaid(const chart& source);

/// A state machine that follows a chart. The chart must outlive it.
class machine {
public:
    /// Starts in the chart's initial state.
    explicit machine(const chart& source);
    /// Resumes in the state @p current, for example one read from storage.
    /// @throws unknown_state
    machine(const chart& source, std::string current);
    const std::string& current() const noexcept { return current_; }
    /// Takes the current state's transition for the event. @returns false if there is none
    /// @throws unknown_event
    bool fire(std::string_view event);
    /// True in a final state.
    bool finished() const;

private:
    const chart* chart_;
    std::string current_;
};

} // namespace kingcupseam::statechart
