#pragma once

#include "app/load_options.h"
#include "app/load_results.h"

#include <string>

namespace kingcupseam::app {

std::string format_table_report(const load_results& results);
std::string format_json_report(const load_options& settings, const load_results& results);
std::string format_csv_report(const load_results& results);
/// A self-contained page with latency and service per rank over time.
std::string format_html_report(const load_options& settings, const load_results& results);

} // namespace kingcupseam::app
