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

constexpr std::array<reason_text, 22> reasons{{
    {"crowded", "it would have been answered after its target latency"},
    {"limited", "its upstream limits its requests or asked for a pause"},
    {"overtaken", "it waited behind more urgent work until too little time was left"},
    {"deadline", "not enough time was left for an attempt"},
    {"no-owner", "its key had no owner"},
    {"wrong-owner",
     "the upstream no longer owned its key, and no retry budget or time was left for another attempt"},
    {"shed", "the upstream was full, and no retry budget or time was left for another attempt"},
    {"unreachable", "no connection to the upstream could be made"},
    {"no-configuration", "the entry has had no configuration since its start"},
    {"stopping", "the entry was about to stop"},
    {"crashes-upstreams", "three upstreams ended while they processed this request"},
    {"no-route", "no route matches its host and path"},
    {"no-key", "each key of the service has one owner, and the request has no key"},
    {"headers-too-long", "its headers are longer than the configuration allows"},
    {"body-too-long", "its body is longer than the configuration allows"},
    {"broken", "the connection to the upstream ended before the answer"},
    {"malformed-answer", "the upstream's answer was malformed or had no signature"},
    {"unmatched-answer", "the answer had no id, so it may have belonged to an earlier request"},
    {"timeout", "the upstream did not answer in time"},
    {"gate-lost", "the link to the gate of its upstream failed"},
    {"gate-refused", "it may have run before the gate of its upstream refused it"},
    {"gate-timeout", "the gate of its upstream did not answer in time"},
}};

std::string_view describe_reason(const std::string& reason) {
    const auto* const it = std::find_if(reasons.begin(), reasons.end(),
                                        [&](const auto& known) { return known.reason == reason; });
    return it == reasons.end() ? std::string_view() : it->text;
}

std::vector<log_line> read_log_files(const std::vector<std::string>& files) {
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

/// The log lines about one request, the upstreams and processes that they name, and the time they cover.
struct request_trace {
    std::string id;
    std::vector<const log_line*> request_lines;
    std::set<std::string> upstreams;
    std::set<std::string> processes;
    log_line::timestamp start_time;
    log_line::timestamp end_time;
};

request_trace collect_request_trace(const std::string& id, const std::vector<log_line>& lines) {
    request_trace result;
    result.id = id;
    for (const auto& it : lines) {
        if (it.event != "request" || it.field("id") != id) {
            continue;
        }
        const std::string age = it.field("age_ms");
        const auto arrived = it.time - milliseconds(age.empty() ? 0 : std::atoll(age.c_str()));
        result.start_time = result.request_lines.empty() ? arrived : std::min(result.start_time, arrived);
        result.end_time = it.time;
        result.request_lines.push_back(&it);
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

void print_request_lines(const request_trace& trace, std::ostream& out) {
    for (const log_line* it : trace.request_lines) {
        print_line(*it, out);
        if (const auto text = describe_reason(it->field("reason")); !text.empty()) {
            out << "    " << text << "\n";
        } else if (it->field("outcome") == "late") {
            const auto age = std::atoll(it->field("age_ms").c_str());
            const auto sent = std::atoll(it->field("sent_ms_ago").c_str());
            out << fmt::format("    {} ms before it was sent, {} ms from there to the answer\n", age - sent,
                               sent);
        }
    }
}

/// Counts other failed requests at the same upstream: many at once indicate that the upstream is at fault.
void print_other_requests(const std::string& id, const request_trace& trace,
                          const std::vector<log_line>& lines, milliseconds window, std::ostream& out) {
    std::map<std::string, std::map<std::string, int>> counts;
    for (const auto& it : lines) {
        const std::string upstream = it.field("upstream");
        if (it.event == "request" && it.field("id") != id && trace.upstreams.contains(upstream) &&
            it.time >= trace.start_time - window && it.time <= trace.end_time + window) {
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

bool is_related(const log_line& line, const request_trace& trace) {
    if (line.event == "request") {
        return false;
    }
    if (line.field("id") == trace.id) {
        return true; // of an entry that had the request for a while
    }
    for (const char* name : {"upstream", "id"}) {
        if (trace.upstreams.contains(line.field(name))) {
            return true;
        }
    }
    // Events of the processes that handled the request, such as a lost gate, and events that affect all
    // processes.
    return trace.processes.contains(line.process) || line.event == "control leadership" ||
           line.event == "configuration proposed" || line.event == "disk full";
}

void print_context(const request_trace& trace, const std::vector<log_line>& lines, milliseconds window,
                   std::ostream& out) {
    out << fmt::format("from {} ms before it arrived to {} ms after:\n", window.count(), window.count());
    for (const auto& it : lines) {
        if (it.time >= trace.start_time - window && it.time <= trace.end_time + window &&
            is_related(it, trace)) {
            print_line(it, out);
        }
    }
}

} // namespace

int explain_command(const arguments& args, std::ostream& out, std::ostream& err) {
    return run_and_report_errors(err, [&] {
        options::options_description visible(
            "Merges the log lines of all processes about one request. Options");
        visible.add_options()("window-ms", options::value<std::uint32_t>()->default_value(2000),
                              "milliseconds before and after the request for which related lines are shown");
        const auto values =
            parse_options(args, "explain ID LOG... [OPTION...]", visible, {"id", "log..."}, out);
        if (!values) {
            return exit_success;
        }
        if (values->count("id") == 0 || values->count("log") == 0) {
            throw invalid_input("command line", "ID LOG...", "an id and at least one log file are needed");
        }
        const auto id = (*values)["id"].as<std::string>();
        const auto lines = read_log_files((*values)["log"].as<std::vector<std::string>>());
        const auto trace = collect_request_trace(id, lines);
        if (trace.request_lines.empty()) {
            err << "kingcupseam: no line names the request " << id
                << "; answers within the target latency are not logged\n";
            return exit_failure;
        }
        const milliseconds window((*values)["window-ms"].as<std::uint32_t>());
        out << "request " << id << "\n";
        print_request_lines(trace, out);
        print_other_requests(id, trace, lines, window, out);
        print_context(trace, lines, window, out);
        return exit_success;
    });
}

int run_explain(const arguments& args) {
    return explain_command(args, std::cout, std::cerr);
}

} // namespace kingcupseam::app
