#pragma once

#include "app/load_options.h"
#include "app/load_results.h"

#include <string>

namespace kingcupseam::app {

std::string format_table_report(const load_results& results);
std::string format_json_report(const load_options& settings, const load_results& results);
std::string format_csv_report(const load_results& results);
/// Formats a self-contained HTML page with charts of the latency and the fraction of answered requests, by
/// rank and second.
std::string format_html_report(const load_options& settings, const load_results& results);

} // namespace kingcupseam::app
