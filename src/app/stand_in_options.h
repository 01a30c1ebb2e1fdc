#pragma once

#include "app/commands.h"

#include <kingcupseam/types.h>

#include <array>
#include <filesystem>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::app {

/// Faults that a stand-in can simulate.
enum class fault_kind : std::uint8_t {
    freeze,  ///< the process does nothing for a while, as if stopped by SIGSTOP
    late,    ///< answers are sent after a delay
    crossed, ///< an answer is replaced by the previous one, with the id and body of another request
    cut_off, ///< an answer's body is shorter than its Content-Length
    silent,  ///< connections open at the start of the fault stay open but are not read or written any more
    crash,   ///< the process exits at once, without draining
};
inline constexpr std::array<std::string_view, 6> fault_names{"freeze",  "late",   "crossed",
                                                             "cut-off", "silent", "crash"};
/// @throws invalid_input naming @p source
fault_kind parse_fault_kind(const std::string& source, const std::string& text);

struct scheduled_fault {
    fault_kind kind = fault_kind::freeze;
    duration after{}; ///< since the start of the process
    duration length{};
    double fraction = 1; ///< share of the answers that are hit
    bool operator==(const scheduled_fault&) const = default;
};

struct stand_in_options {
    std::string name;
    std::string service;
    endpoint_address listen;
    std::vector<endpoint_address> instances;
    std::uint32_t slots = 2;             ///< requests that run at once
    std::uint32_t max_connections = 120; ///< further connections are closed at once
    std::uint32_t max_waiting = 16;      ///< further requests are shed
    bool resets_when_full = false;       ///< resets the connection of a request instead of shedding it
    bool checks_grants = true;           ///< refuses requests without a live grant
    duration service_time{};             ///< mean time of an execution
    double service_time_spread = 0;      ///< sigma of the lognormal distribution; 0: fixed
    double cold_start = 1;               ///< factor on the service time at the start; declines to 1
    duration cold_start_period{};        ///< time in which the factor declines to 1
    duration load_lag{};                 ///< age of the reported load
    double load_misreport = 1;           ///< factor on the reported load
    duration late_by{};                  ///< delay of late answers
    duration drain_limit{};              ///< longest time to drain on SIGTERM
    std::size_t answer_bytes = 512;      ///< minimum length of a body
    std::string crash_prefix; ///< a request whose key starts with it crashes the process; empty: none does
    std::filesystem::path record; ///< file to which executions and grants are appended; empty: none
    std::uint64_t seed = 0;
    std::vector<scheduled_fault> faults;
};

/// @returns empty when --help was given
/// @throws invalid_input
std::optional<stand_in_options> parse_stand_in_options(const arguments& args);

/// Parses KIND:AFTER_MS:FOR_MS[:FRACTION].
/// @throws invalid_input
scheduled_fault parse_scheduled_fault(const std::string& text);

/// Draws random service times with the configured mean, which is higher during the cold start.
class service_time_source {
public:
    service_time_source(const stand_in_options& settings, time_point started);
    duration next(time_point now);

private:
    duration mean_;
    double cold_start_;
    duration cold_start_period_;
    time_point started_;
    bool fixed_;
    std::mt19937_64 random_;
    std::lognormal_distribution<double> factor_;
};

/// The faults in force and, for each, the fraction of the answers that it hits.
class active_faults {
public:
    explicit active_faults(std::uint64_t seed) : random_(seed) {}
    void activate(fault_kind kind, time_point until, double fraction);
    void clear() { active_.fill({}); }
    /// Decides at random, once per answer, whether the fault hits it.
    bool hits(fault_kind kind, time_point now);

private:
    struct period {
        time_point until = time_point::min();
        double fraction = 0;
    };
    std::array<period, fault_names.size()> active_{};
    std::mt19937_64 random_;
};

} // namespace kingcupseam::app
