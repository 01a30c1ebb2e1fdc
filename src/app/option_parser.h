#pragma once

#include "app/commands.h"

#include <kingcupseam/types.h>

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace kingcupseam::app {

/// Options of one command. Wraps Boost.Program_options so that every problem is an invalid_input.
class option_parser {
public:
    option_parser(std::string command, const std::string& summary);

    boost::program_options::options_description_easy_init add() { return description_.add_options(); }
    /// @returns false when --help was given and the options were printed
    /// @throws invalid_input
    bool parse(const arguments& args);
    bool has(const std::string& name) const { return values_.count(name) > 0; }

    const std::string& text(const std::string& name) const { return values_[name].as<std::string>(); }
    const std::vector<std::string>& texts(const std::string& name) const;
    /// @throws invalid_input when the value lies outside of the range
    double number(const std::string& name, double low, double high) const;
    std::uint64_t integer(const std::string& name, std::uint64_t low, std::uint64_t high) const;
    duration seconds(const std::string& name, double low, double high) const;
    duration milliseconds(const std::string& name, double low, double high) const;
    bool flag(const std::string& name) const { return values_[name].as<bool>(); }
    endpoint_address endpoint(const std::string& name) const;
    std::vector<endpoint_address> endpoints(const std::string& name) const;
    /// @throws invalid_input naming the option
    [[noreturn]] void reject(const std::string& name, const std::string& problem) const;

private:
    std::string command_;
    boost::program_options::options_description description_;
    boost::program_options::variables_map values_;
};

/// Splits at @p separator; an empty text has no parts.
std::vector<std::string> split(const std::string& text, char separator);
/// @throws invalid_input naming @p option unless the whole text is a finite number
double parse_number(const std::string& option, const std::string& text);

} // namespace kingcupseam::app
