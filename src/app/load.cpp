#include "app/commands.h"
#include "app/load_options.h"
#include "app/load_report.h"
#include "app/load_runner.h"

#include <kingcupseam/error.h>

#include <cerrno>
#include <cstdio>
#include <fstream>

namespace kingcupseam::app {

namespace {

void write_file(const std::filesystem::path& file, const std::string& text) {
    std::ofstream out(file, std::ios::binary);
    out << text;
    out.close();
    if (!out) {
        throw io_error(file.string(), "write", errno);
    }
}

std::string format_report(const load_options& settings, const load_results& results) {
    switch (settings.output) {
    case load_output::json:
        return format_json_report(settings, results);
    case load_output::csv:
        return format_csv_report(results);
    case load_output::table:
        break;
    }
    return format_table_report(results);
}

} // namespace

int run_load(const arguments& args) {
    const auto settings = parse_load_options(args);
    if (!settings) {
        return exit_success;
    }
    load_results results;
    if (!settings->addresses.empty()) {
        results = load_runner(*settings).run();
    }
    if (!settings->record_folder.empty()) {
        results.add_judgement(judge_folder(settings->record_folder, settings->judge_shards));
    }
    if (!settings->html_file.empty()) {
        write_file(settings->html_file, format_html_report(*settings, results));
    }
    std::fputs(format_report(*settings, results).c_str(), stdout);
    return results.violated() ? exit_failure : exit_success;
}

} // namespace kingcupseam::app
