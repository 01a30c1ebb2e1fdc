#pragma once

#include <string>
#include <vector>

namespace kingcupseam::app {

using arguments = std::vector<std::string>; ///< words after the name of the command

/// Exit codes of every command.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1; ///< a check failed, or the other side refused or could not be reached
inline constexpr int exit_invalid_input = 2; ///< wrong command line, settings, profile or chart

int run_serve(const arguments& args);
int run_check(const arguments& args);
int run_profile(const arguments& args);
int run_status(const arguments& args);
int run_stand_in(const arguments& args);
int run_load(const arguments& args);
int run_explain(const arguments& args);

} // namespace kingcupseam::app
