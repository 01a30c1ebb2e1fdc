#include "app/command_options.h"
#include "app/operator_commands.h"

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>
#include <kingcupseam/settings.h>
#include <kingcupseam/statechart.h>

#include <iostream>

namespace kingcupseam::app {

namespace {

using file_list = std::vector<std::string>;

file_list option_files(const options::variables_map& values, const char* option) {
    return values.count(option) == 0 ? file_list() : values[option].as<file_list>();
}

/// Runs checks, prints a line for each that passes, and records whether any failed.
class check_runner {
public:
    check_runner(std::ostream& out, std::ostream& err) : out_(out), err_(err) {}

    void run(const std::string& kind, const std::string& source, const std::function<void()>& check) {
        // An unreadable file counts as invalid. Either way the remaining files are still checked.
        const int code = run_and_report_errors(err_, [&] {
            check();
            out_ << "ok " << kind << " " << source << "\n";
            return exit_success;
        });
        failed_ = failed_ || code != exit_success;
    }
    int exit_code() const { return failed_ ? exit_invalid_input : exit_success; }

private:
    std::ostream& out_;
    std::ostream& err_;
    bool failed_ = false;
};

void check_profiles(const file_list& files, check_runner& runner) {
    std::vector<profile::accepted_profile> valid;
    for (const auto& it : files) {
        runner.run("profile", it, [&] {
            const std::string content = config::read_file(it);
            profile::parse_profile(it, content);
            valid.push_back({it, 1, content, "check"});
        });
    }
    // Profiles that are valid alone may claim the same service or the same requests.
    if (valid.size() > 1) {
        runner.run("profiles", "together", [&] { profile::rule_index{valid}; });
    }
}

int check_all(const options::variables_map& values, std::ostream& out, std::ostream& err) {
    const file_list settings = option_files(values, "settings");
    const file_list profiles = option_files(values, "profile");
    const file_list charts = option_files(values, "chart");
    check_runner runner(out, err);
    for (const auto& it : settings) {
        runner.run("settings", it, [&] { settings::load_settings(it); });
    }
    check_profiles(profiles, runner);
    for (const auto& it : charts) {
        runner.run("chart", it, [&] { statechart::parse_chart(it, config::read_file(it)); });
    }
    if (settings.empty() && profiles.empty() && charts.empty()) {
        for (const auto& it : statechart::embedded_chart_names()) {
            runner.run("chart", it + " (embedded)", [&] { statechart::embedded_chart(it); });
        }
    }
    return runner.exit_code();
}

} // namespace

int check_command(const arguments& args, std::ostream& out, std::ostream& err) {
    return run_and_report_errors(err, [&] {
        options::options_description visible("Without a file, the embedded charts are checked. Options");
        visible.add_options()("settings", options::value<file_list>(), "settings file; may be repeated")(
            "profile", options::value<file_list>(), "profile file; may be repeated")(
            "chart", options::value<file_list>(), "state chart file; may be repeated")(
            "diagram", options::value<std::string>(), "print an embedded chart as a Mermaid diagram");
        const auto values = parse_options(args, "check [OPTION...]", visible, {}, out);
        if (!values) {
            return exit_success;
        }
        if (values->count("diagram") != 0) {
            out << statechart::to_mermaid(statechart::embedded_chart((*values)["diagram"].as<std::string>()));
            return exit_success;
        }
        return check_all(*values, out, err);
    });
}

int run_check(const arguments& args) {
    return check_command(args, std::cout, std::cerr);
}

} // namespace kingcupseam::app
