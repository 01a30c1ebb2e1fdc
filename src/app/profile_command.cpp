#include "app/command_options.h"
#include "app/line_diff.h"
#include "app/operator_commands.h"

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

#include <nlohmann/json.hpp>

#include <iostream>
#include <random>

namespace kingcupseam::app {

namespace {

using json = nlohmann::json;

json parse_answer(const operator_answer& answer) {
    json value = json::parse(answer.body, nullptr, false);
    if (value.is_discarded()) {
        throw unexpected_answer("HTTP status " + std::to_string(answer.status) +
                                " with a body that is not JSON");
    }
    return value;
}

std::string string_field(const json& source, const char* key) {
    const auto it = source.is_object() ? source.find(key) : source.end();
    if (it == source.end() || !it->is_string()) {
        throw unexpected_answer(std::string("answer without the string field ") + key);
    }
    return it->get<std::string>();
}

std::uint64_t version_field(const json& source) {
    const auto it = source.is_object() ? source.find("version") : source.end();
    if (it == source.end() || !it->is_number_unsigned()) {
        throw unexpected_answer("answer without a version number");
    }
    return it->get<std::uint64_t>();
}

json expect_success(const operator_answer& answer, const std::string& what) {
    if (answer.status == 404) {
        throw unexpected_answer(what + " does not exist");
    }
    if (answer.status != 200) {
        throw unexpected_answer(what + ": unexpected HTTP status " + std::to_string(answer.status));
    }
    return parse_answer(answer);
}

/// 128 random bits, so that two operators do not generate the same id.
std::string generate_change_id() {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::random_device source;
    std::string id;
    for (int n = 0; n < 32; ++n) {
        id.push_back(digits[source() & 15U]);
    }
    return id;
}

std::string required_subject(const options::variables_map& values, const std::string& what) {
    if (values.count("subject") == 0) {
        throw invalid_input("command line", what, "is missing");
    }
    return values["subject"].as<std::string>();
}

/// Formats the problem with its source and field, which some instances already put in front of it.
std::string describe_problem(const json& value) {
    const std::string source = string_field(value, "source");
    std::string problem = string_field(value, "problem");
    if (problem.rfind(source + ": ", 0) == 0) {
        return problem;
    }
    const std::string field = string_field(value, "field");
    return source + ": " + (field.empty() ? "" : field + ": ") + problem;
}

int report_accept_result(const operator_answer& answer, const std::string& name, const std::string& change_id,
                         std::ostream& out, std::ostream& err) {
    const json value = parse_answer(answer);
    switch (answer.status) {
    case 200: {
        const std::uint64_t version = version_field(value); // before any output, since it may throw
        out << "accepted " << name << " version " << version << " change " << change_id << "\n";
        return exit_success;
    }
    case 400:
        err << "kingcupseam: " << describe_problem(value) << "\n";
        return exit_invalid_input;
    case 409:
        err << "kingcupseam: conflict: " << name << " version " << version_field(value)
            << " is in force; compare with `profile diff`, then accept with --base-version "
            << version_field(value) << "\n";
        return exit_failure;
    default:
        throw unexpected_answer("unexpected HTTP status " + std::to_string(answer.status));
    }
}

int accept_profile(const options::variables_map& values, std::ostream& out, std::ostream& err) {
    const std::string file = required_subject(values, "FILE");
    const std::string content = config::read_file(file);
    const std::string name = profile::parse_profile(file, content).name;
    if (values.count("base-version") == 0) {
        throw invalid_input("command line", "--base-version",
                            "is missing; give the version that you edited, 0 for a new profile");
    }
    const std::string id =
        values.count("change-id") != 0 ? values["change-id"].as<std::string>() : generate_change_id();
    const std::string target = "/v1/profiles/" + url_escape(name) +
                               "?base_version=" + std::to_string(values["base-version"].as<std::uint64_t>()) +
                               "&change_id=" + url_escape(id);
    try {
        return report_accept_result(make_operator_client(values).post(target, content), name, id, out, err);
    } catch (const operator_unreachable&) {
        err << "kingcupseam: it is not known whether the change was accepted; to find out, repeat the "
               "command with --change-id "
            << id << "\n";
        throw;
    }
}

int show_profile(const options::variables_map& values, std::ostream& out, std::ostream& err) {
    const std::string name = required_subject(values, "NAME");
    const json value =
        expect_success(make_operator_client(values).get("/v1/profiles/" + url_escape(name)), name);
    const std::string content = string_field(value, "content");
    err << name << " version " << version_field(value) << "\n";
    out << content;
    return exit_success;
}

int list_profiles(const options::variables_map& values, std::ostream& out) {
    const json value =
        expect_success(make_operator_client(values).get("/v1/profiles"), "the list of profiles");
    if (!value.is_array()) {
        throw unexpected_answer("the list of profiles is not a JSON array");
    }
    std::string lines;
    for (const auto& it : value) {
        lines += string_field(it, "name") + " version " + std::to_string(version_field(it)) + "\n";
    }
    out << lines;
    return exit_success;
}

int diff_profile(const options::variables_map& values, std::ostream& out) {
    const std::string file = required_subject(values, "FILE");
    const std::string content = config::read_file(file);
    const std::string name = profile::parse_profile(file, content).name;
    const json value =
        expect_success(make_operator_client(values).get("/v1/profiles/" + url_escape(name)), name);
    const std::string changes = line_diff(string_field(value, "content"), content);
    if (changes.empty()) {
        return exit_success;
    }
    out << "--- " << name << " version " << version_field(value) << "\n+++ " << file << "\n" << changes;
    return exit_failure;
}

int run_action(const options::variables_map& values, std::ostream& out, std::ostream& err) {
    const std::string action = values.count("action") == 0 ? "" : values["action"].as<std::string>();
    if (action == "accept") {
        return accept_profile(values, out, err);
    }
    if (action == "show") {
        return show_profile(values, out, err);
    }
    if (action == "list") {
        return list_profiles(values, out);
    }
    if (action == "diff") {
        return diff_profile(values, out);
    }
    throw invalid_input("command line", "ACTION", "must be accept, show, list or diff");
}

} // namespace

int profile_command(const arguments& args, std::ostream& out, std::ostream& err) {
    return run_and_report_errors(err, [&] {
        options::options_description visible("accept FILE  put the profile in a file into force\n"
                                             "show NAME    print the profile in force\n"
                                             "list         print names and versions\n"
                                             "diff FILE    compare a file with the version in force; exit "
                                             "code 1 when they differ\nOptions");
        add_operator_options(visible);
        visible.add_options()("base-version", options::value<std::uint64_t>(),
                              "accept: the version that was edited, 0 for a new profile")(
            "change-id", options::value<std::string>(),
            "accept: id of an earlier attempt whose answer was lost; generated if absent");
        const auto values = parse_options(args, "profile ACTION [FILE|NAME] [OPTION...]", visible,
                                          {"action", "subject"}, out);
        return values ? run_action(*values, out, err) : exit_success;
    });
}

int run_profile(const arguments& args) {
    return profile_command(args, std::cout, std::cerr);
}

} // namespace kingcupseam::app
