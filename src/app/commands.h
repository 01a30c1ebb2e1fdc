#pragma once

#include <kingcupseam/error.h>

#include <string>
#include <vector>

namespace kingcupseam::app {

using arguments = std::vector<std::string>; ///< arguments after the command name

/// Exit codes of every command.
inline constexpr int exit_success = 0;
/// The operation failed (for example, refused or no answer), load found a violation, or profile diff a
/// difference.
inline constexpr int exit_failure = 1;
inline constexpr int exit_invalid_input = 2; ///< invalid command line, settings, profile or chart

/// Exit code of a command that ends with the exception.
inline int exit_code(const std::exception& problem) noexcept {
    return dynamic_cast<const invalid_input*>(&problem) != nullptr ? exit_invalid_input : exit_failure;
}

int run_serve(const arguments& args);
int run_check(const arguments& args);
int run_profile(const arguments& args);
int run_status(const arguments& args);
int run_stand_in(const arguments& args);
int run_load(const arguments& args);
int run_explain(const arguments& args);

} // namespace kingcupseam::app
