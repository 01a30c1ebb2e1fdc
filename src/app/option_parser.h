#pragma once

#include "app/commands.h"

#include <kingcupseam/types.h>

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace kingcupseam::app {

/// Command-line options of one command. Wraps Boost.Program_options and reports every error as invalid_input.
class option_parser {
public:
    option_parser(std::string command, const std::string& summary);

    boost::program_options::options_description_easy_init add() { return description_.add_options(); }
    /// @returns false if --help was given, after printing the options to standard output
    /// @throws invalid_input if an option is unknown, missing or malformed
    bool parse(const arguments& args);
    bool has(const std::string& name) const { return values_.count(name) > 0; }

    const std::string& text(const std::string& name) const { return values_[name].as<std::string>(); }
    /// Values of an option that may be repeated; none if it was not given.
    const std::vector<std::string>& texts(const std::string& name) const;
    /// @throws invalid_input if the value lies outside the range
    double number(const std::string& name, double low, double high) const;
    std::uint64_t integer(const std::string& name, std::uint64_t low, std::uint64_t high) const;
    duration seconds(const std::string& name, double low, double high) const;
    duration milliseconds(const std::string& name, double low, double high) const;
    bool flag(const std::string& name) const { return values_[name].as<bool>(); }
    endpoint_address endpoint(const std::string& name) const;
    /// Each value may be a comma-separated list.
    std::vector<endpoint_address> endpoints(const std::string& name) const;
    /// @throws invalid_input naming the option
    [[noreturn]] void reject(const std::string& name, const std::string& problem) const;

private:
    std::string command_;
    boost::program_options::options_description description_;
    boost::program_options::variables_map values_;
};

/// Splits @p text at @p separator. An empty text has no parts.
std::vector<std::string> split(const std::string& text, char separator);
/// @throws invalid_input naming @p option unless the whole text is a finite number
double parse_number(const std::string& option, const std::string& text);

} // namespace kingcupseam::app
