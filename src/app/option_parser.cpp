#include "app/option_parser.h"

#include <kingcupseam/error.h>

#include <cmath>
#include <iostream>
#include <sstream>

namespace kingcupseam::app {

namespace po = boost::program_options;

namespace {

std::string range_text(double low, double high) {
    std::ostringstream out;
    out << "must lie between " << low << " and " << high;
    return out.str();
}

} // namespace

option_parser::option_parser(std::string command, const std::string& summary)
    : command_(std::move(command)),
      description_("usage: kingcupseam " + command_ + " [OPTION...]\n" + summary + "\n\noptions", 110) {
    add()("help", "print this help and exit");
}

bool option_parser::parse(const arguments& args) {
    try {
        auto parser = po::command_line_parser(args).options(description_);
        parser.positional(po::positional_options_description());
        po::store(parser.run(), values_);
        if (values_.count("help") > 0) {
            std::cout << description_;
            return false;
        }
        po::notify(values_);
    } catch (const po::error& e) {
        throw invalid_input(command_, "command line", e.what());
    }
    return true;
}

const std::vector<std::string>& option_parser::texts(const std::string& name) const {
    static const std::vector<std::string> none;
    return has(name) ? values_[name].as<std::vector<std::string>>() : none;
}

double option_parser::number(const std::string& name, double low, double high) const {
    const double value = values_[name].as<double>();
    if (!(value >= low && value <= high)) {
        reject(name, range_text(low, high));
    }
    return value;
}

std::uint64_t option_parser::integer(const std::string& name, std::uint64_t low, std::uint64_t high) const {
    const auto value = values_[name].as<std::uint64_t>();
    if (value < low || value > high) {
        reject(name, range_text(static_cast<double>(low), static_cast<double>(high)));
    }
    return value;
}

duration option_parser::seconds(const std::string& name, double low, double high) const {
    return duration(std::llround(number(name, low, high) * 1e6));
}

duration option_parser::milliseconds(const std::string& name, double low, double high) const {
    return duration(std::llround(number(name, low, high) * 1e3));
}

endpoint_address option_parser::endpoint(const std::string& name) const {
    return parse_endpoint(command_, "--" + name, text(name));
}

std::vector<endpoint_address> option_parser::endpoints(const std::string& name) const {
    std::vector<endpoint_address> result;
    for (const auto& list : texts(name)) {
        for (const auto& it : split(list, ',')) {
            result.push_back(parse_endpoint(command_, "--" + name, it));
        }
    }
    return result;
}

void option_parser::reject(const std::string& name, const std::string& problem) const {
    throw invalid_input(command_, "--" + name, problem);
}

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

double parse_number(const std::string& option, const std::string& text) {
    std::size_t used = 0;
    double value = 0;
    try {
        value = std::stod(text, &used);
    } catch (const std::logic_error&) {
        used = 0;
    }
    if (text.empty() || used != text.size() || !std::isfinite(value)) {
        throw invalid_input("command line", "--" + option, "'" + text + "' is not a number");
    }
    return value;
}

} // namespace kingcupseam::app
