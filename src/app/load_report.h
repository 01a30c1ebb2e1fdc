#pragma once

#include "app/load_options.h"
#include "app/load_results.h"

#include <string>

namespace kingcupseam::app {

std::string load_table(const load_results& results);
std::string load_json(const load_options& settings, const load_results& results);
std::string load_csv(const load_results& results);
/// A self-contained page with latency and service per rank over time.
std::string load_html(const load_options& settings, const load_results& results);

} // namespace kingcupseam::app
