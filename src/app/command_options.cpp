#include "app/command_options.h"

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/statechart.h>

#include <algorithm>
#include <cctype>
#include <ostream>

namespace kingcupseam::app {

namespace {

constexpr std::string_view repeated_suffix = "...";

std::string read_token(const options::variables_map& values) {
    std::string token;
    if (values.count("token-file") != 0) {
        token = config::read_file(values["token-file"].as<std::string>());
        while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
            token.pop_back();
        }
    } else if (values.count("token") != 0) {
        token = values["token"].as<std::string>();
    }
    const bool visible =
        std::all_of(token.begin(), token.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
    if (token.empty() || !visible) {
        throw invalid_input("command line", "--token",
                            "give --token or --token-file with visible ASCII characters");
    }
    return token;
}

std::vector<endpoint_address> read_operator_listeners(const options::variables_map& values) {
    std::vector<endpoint_address> result;
    if (values.count("operator") != 0) {
        for (const auto& it : values["operator"].as<std::vector<std::string>>()) {
            result.push_back(parse_endpoint("command line", "--operator", it));
        }
    }
    if (result.empty()) {
        throw invalid_input("command line", "--operator", "is missing; must be IP:PORT");
    }
    return result;
}

} // namespace

std::optional<options::variables_map> parse_options(const arguments& args, const std::string& usage,
                                                    options::options_description visible,
                                                    const std::vector<std::string>& positional,
                                                    std::ostream& out) {
    visible.add_options()("help", "show this help");
    options::options_description all = visible;
    options::positional_options_description positions;
    for (const auto& it : positional) {
        if (it.ends_with(repeated_suffix)) {
            const std::string name = it.substr(0, it.size() - repeated_suffix.size());
            all.add_options()(name.c_str(), options::value<std::vector<std::string>>());
            positions.add(name.c_str(), -1);
        } else {
            all.add_options()(it.c_str(), options::value<std::string>());
            positions.add(it.c_str(), 1);
        }
    }
    options::variables_map values;
    try {
        options::store(options::command_line_parser(args).options(all).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& e) {
        throw invalid_input("command line", "options", e.what());
    }
    if (values.count("help") != 0) {
        out << "usage: kingcupseam " << usage << "\n\n" << visible;
        return std::nullopt;
    }
    return values;
}

void add_operator_options(options::options_description& target) {
    target.add_options()(
        "operator", options::value<std::vector<std::string>>(),
        "IP:PORT of an operator listener; may be repeated, the next one is tried on failure")(
        "token", options::value<std::string>(),
        "operator token; other users of the machine can read it, so prefer --token-file")(
        "token-file", options::value<std::string>(), "file that holds the operator token")(
        "timeout-s", options::value<int>()->default_value(10), "seconds to keep trying, 1 to 600");
}

operator_client make_operator_client(const options::variables_map& values) {
    const int timeout = values["timeout-s"].as<int>();
    if (timeout < 1 || timeout > 600) {
        throw invalid_input("command line", "--timeout-s", "must be 1 to 600");
    }
    return {read_operator_listeners(values), read_token(values), std::chrono::seconds(timeout)};
}

int run_and_report_errors(std::ostream& err, const std::function<int()>& command) {
    try {
        return command();
    } catch (const invalid_input& e) {
        err << "kingcupseam: " << e.what() << "\n";
        return exit_invalid_input;
    } catch (const statechart::invalid_chart& e) {
        err << "kingcupseam: " << e.what() << "\n";
        return exit_invalid_input;
    } catch (const error& e) {
        err << "kingcupseam: " << e.what() << "\n";
        return exit_failure;
    }
}

} // namespace kingcupseam::app
