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

/// Parses the words of a command and always knows --help.
/// @param usage first line of the help
/// @param positional names of words without an option; "NAME..." takes all that are left, at the end
/// @returns empty when --help was given; the help is then on @p out
/// @throws invalid_input on a wrong command line
std::optional<options::variables_map> parse_options(const arguments& args, const std::string& usage,
                                                    options::options_description visible,
                                                    const std::vector<std::string>& positional,
                                                    std::ostream& out);

/// Adds --operator, --token, --token-file and --timeout-s.
void add_operator_options(options::options_description& target);
/// @throws invalid_input, io_error
operator_client make_operator_client(const options::variables_map& values);

/// Runs a command and turns its exceptions into a message on @p err and an exit code.
int run_and_report_errors(std::ostream& err, const std::function<int()>& command);

} // namespace kingcupseam::app
