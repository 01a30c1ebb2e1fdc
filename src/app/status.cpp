#include "app/command_options.h"
#include "app/operator_commands.h"

#include <kingcupseam/error.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace kingcupseam::app {

namespace {

// Keeps the keys in the order in which the instance sent them.
using json = nlohmann::ordered_json;
using row = std::vector<std::string>;

std::string format_cell(const json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

bool is_table(const json& value) {
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(), [](const json& it) { return it.is_object(); });
}

row columns_of(const json& rows) {
    row columns;
    for (const auto& it : rows) {
        for (const auto& [key, value] : it.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

void print_row(std::ostream& out, const row& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t n = 0; n < cells.size(); ++n) {
        line += "  " + cells[n] + std::string(widths[n] - cells[n].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
}

void print_table(std::ostream& out, const json& rows) {
    const row columns = columns_of(rows);
    std::vector<row> lines{columns};
    for (const auto& it : rows) {
        row line;
        for (const auto& column : columns) {
            line.push_back(it.contains(column) ? format_cell(it[column]) : "-");
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t n = 0; n < line.size(); ++n) {
            widths[n] = std::max(widths[n], line[n].size());
        }
    }
    for (const auto& line : lines) {
        print_row(out, line, widths);
    }
}

/// Prints every field that the instance reports, so that an older command also shows those of a newer
/// instance.
void print_status(std::ostream& out, const json& status) {
    for (const auto& [key, value] : status.items()) {
        if (is_table(value)) {
            out << key << ":\n";
            print_table(out, value);
        } else {
            out << key << ": " << format_cell(value) << "\n";
        }
    }
}

int print_answer(const operator_answer& answer, bool as_json, std::ostream& out) {
    if (answer.status != 200) {
        throw unexpected_answer("unexpected HTTP status " + std::to_string(answer.status));
    }
    const json status = json::parse(answer.body, nullptr, false);
    if (!status.is_object()) {
        throw unexpected_answer("the status is not a JSON object");
    }
    if (as_json) {
        out << status.dump(2) << "\n";
    } else {
        print_status(out, status);
    }
    return exit_success;
}

} // namespace

int status_command(const arguments& args, std::ostream& out, std::ostream& err) {
    return run_and_report_errors(err, [&] {
        options::options_description visible("Options");
        add_operator_options(visible);
        visible.add_options()("json", "print the answer as JSON");
        const auto values = parse_options(args, "status [OPTION...]", visible, {}, out);
        if (!values) {
            return exit_success;
        }
        const auto answer = make_operator_client(*values).get("/v1/status");
        return print_answer(answer, values->count("json") != 0, out);
    });
}

int run_status(const arguments& args) {
    return status_command(args, std::cout, std::cerr);
}

} // namespace kingcupseam::app
