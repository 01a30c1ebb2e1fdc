#include "app/command_options.h"
#include "app/log_lines.h"
#include "app/operator_commands.h"

#include <kingcupseam/error.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <set>

namespace kingcupseam::app {

namespace {

using std::chrono::milliseconds;

struct reason_text {
    std::string_view reason;
    std::string_view text;
};

constexpr std::array<reason_text, 19> reasons{{
    {"crowded", "it would have been answered after its target latency"},
    {"overtaken", "it waited behind more urgent work until too little time was left"},
    {"deadline", "not enough time was left for an attempt"},
    {"no-owner", "its key had no owner"},
    {"wrong-owner",
     "the upstream no longer held its key, and there was no allowance or time for another send"},
    {"shed", "the upstream was full, and there was no allowance or time for another send"},
    {"unreachable", "no connection to the upstream could be made"},
    {"no-configuration", "the entry has had no configuration since its start"},
    {"stopping", "the entry was about to stop"},
    {"crashes-upstreams", "the same request was at work when three upstreams ended"},
    {"no-route", "no route matches its host and path"},
    {"no-key", "the service owns keys exclusively and the request names none"},
    {"headers-too-long", "its headers are longer than the configuration allows"},
    {"body-too-long", "its body is longer than the configuration allows"},
    {"broken", "the connection to the upstream ended before the answer"},
    {"malformed-answer", "the upstream's answer had no signature, or was no answer"},
    {"timeout", "no answer of the upstream in time"},
    {"gate-lost", "the link to the gate of its upstream failed"},
    {"gate-timeout", "the gate of its upstream did not answer in time"},
}};

std::string_view meaning_of(const std::string& reason) {
    const auto* const it = std::find_if(reasons.begin(), reasons.end(),
                                        [&](const auto& known) { return known.reason == reason; });
    return it == reasons.end() ? std::string_view() : it->text;
}

std::vector<log_line> read_lines(const std::vector<std::string>& files) {
    std::vector<log_line> result;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) {
            throw io_error(file, "open", errno);
        }
        for (std::string text; std::getline(in, text);) {
            if (auto line = parse_log_line(text)) {
                result.push_back(std::move(*line));
            }
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    return result;
}

/// What the lines of one request name, and when.
struct request_story {
    std::vector<const log_line*> own;
    std::set<std::string> upstreams;
    std::set<std::string> processes;
    log_line::timestamp first;
    log_line::timestamp last;
};

request_story story_of(const std::string& id, const std::vector<log_line>& lines) {
    request_story result;
    for (const auto& it : lines) {
        if (it.event != "request" || it.field("id") != id) {
            continue;
        }
        const std::string age = it.field("age_ms");
        const auto arrived = it.time - milliseconds(age.empty() ? 0 : std::atoll(age.c_str()));
        result.first = result.own.empty() ? arrived : std::min(result.first, arrived);
        result.last = it.time;
        result.own.push_back(&it);
        result.processes.insert(it.process);
        if (const std::string upstream = it.field("upstream"); !upstream.empty()) {
            result.upstreams.insert(upstream);
        }
    }
    return result;
}

void print_line(const log_line& line, std::ostream& out) {
    out << fmt::format("  {} {:<24} {}\n", format_time_of_day(line.time), line.process, line.message);
}

void print_own(const request_story& story, std::ostream& out) {
    for (const log_line* it : story.own) {
        print_line(*it, out);
        if (const auto text = meaning_of(it->field("reason")); !text.empty()) {
            out << "    " << text << "\n";
        } else if (it->field("outcome") == "late") {
            const auto age = std::atoll(it->field("age_ms").c_str());
            const auto sent = std::atoll(it->field("sent_ms_ago").c_str());
            out << fmt::format("    {} ms before it was sent, {} ms from there to the answer\n", age - sent,
                               sent);
        }
    }
}

/// Other requests that failed at the same upstream: many at once show a fault of the upstream.
void print_neighbours(const std::string& id, const request_story& story, const std::vector<log_line>& lines,
                      milliseconds window, std::ostream& out) {
    std::map<std::string, std::map<std::string, int>> counts;
    for (const auto& it : lines) {
        const std::string upstream = it.field("upstream");
        if (it.event == "request" && it.field("id") != id && story.upstreams.contains(upstream) &&
            it.time >= story.first - window && it.time <= story.last + window) {
            const std::string reason = it.field("reason");
            ++counts[upstream][reason.empty() ? it.field("outcome") : reason];
        }
    }
    for (const auto& [upstream, by_reason] : counts) {
        out << fmt::format("other requests at {}:", upstream);
        for (const auto& [reason, n] : by_reason) {
            out << fmt::format(" {} {}", n, reason);
        }
        out << "\n";
    }
}

bool concerns(const log_line& line, const request_story& story) {
    if (line.event == "request") {
        return false;
    }
    for (const char* name : {"upstream", "id"}) {
        if (story.upstreams.contains(line.field(name))) {
            return true;
        }
    }
    // Lost and regained dependencies of the processes that decided, and changes that concern everybody.
    return story.processes.contains(line.process) || line.event == "control leadership" ||
           line.event == "configuration proposed" || line.event == "disk full";
}

void print_context(const request_story& story, const std::vector<log_line>& lines, milliseconds window,
                   std::ostream& out) {
    out << fmt::format("from {} ms before it arrived to {} ms after:\n", window.count(), window.count());
    for (const auto& it : lines) {
        if (it.time >= story.first - window && it.time <= story.last + window && concerns(it, story)) {
            print_line(it, out);
        }
    }
}

} // namespace

int explain_command(const arguments& args, std::ostream& out, std::ostream& err) {
    return run_and_report_errors(err, [&] {
        options::options_description visible("Joins what the processes logged about one request. Options");
        visible.add_options()("window-ms", options::value<std::uint32_t>()->default_value(2000),
                              "time before and after the request for which related lines are shown");
        const auto values =
            parse_options(args, "explain ID LOG... [OPTION...]", visible, {"id", "log..."}, out);
        if (!values) {
            return exit_success;
        }
        if (values->count("id") == 0 || values->count("log") == 0) {
            throw invalid_input("command line", "ID LOG...", "an id and at least one log file are needed");
        }
        const auto id = (*values)["id"].as<std::string>();
        const auto lines = read_lines((*values)["log"].as<std::vector<std::string>>());
        const auto story = story_of(id, lines);
        if (story.own.empty()) {
            err << "kingcupseam: no line names the request " << id
                << "; answers within the target latency are not logged\n";
            return exit_failure;
        }
        const milliseconds window((*values)["window-ms"].as<std::uint32_t>());
        out << "request " << id << "\n";
        print_own(story, out);
        print_neighbours(id, story, lines, window, out);
        print_context(story, lines, window, out);
        return exit_success;
    });
}

int run_explain(const arguments& args) {
    return explain_command(args, std::cout, std::cerr);
}

} // namespace kingcupseam::app
