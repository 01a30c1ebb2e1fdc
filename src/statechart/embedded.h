#pragma once

#include <string_view>
#include <vector>

namespace kingcupseam::statechart {

/// TOML text of an embedded chart.
struct embedded_text {
    std::string_view name;
    std::string_view toml;
};

/// Defined in a source file that cmake/embed_charts.cmake generates.
const std::vector<embedded_text>& embedded_texts();

} // namespace kingcupseam::statechart
