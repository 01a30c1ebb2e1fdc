#pragma once

#include "app/commands.h"
#include "app/operator_client.h"

#include <boost/program_options.hpp>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace kingcupseam::app {

namespace options = boost::program_options;

/// Parses the arguments of a command. --help is always accepted.
/// @param usage usage line of the help, without the program name
/// @param visible options that the help shows
/// @param positional names of the positional arguments, in order; a last one that ends in "..." takes all
/// remaining arguments
/// @returns nullopt if --help was given, after printing the help to @p out
/// @throws invalid_input if the command line is invalid
std::optional<options::variables_map> parse_options(const arguments& args, const std::string& usage,
                                                    options::options_description visible,
                                                    const std::vector<std::string>& positional,
                                                    std::ostream& out);

/// Adds --operator, --token, --token-file and --timeout-s.
void add_operator_options(options::options_description& target);
/// Creates a client from the options that add_operator_options added.
/// @throws invalid_input if an option is missing or invalid, io_error if the token file cannot be read
operator_client make_operator_client(const options::variables_map& values);

/// Runs @p command. Prints the message of an exception to @p err and returns the matching exit code.
int run_and_report_errors(std::ostream& err, const std::function<int()>& command);

} // namespace kingcupseam::app
