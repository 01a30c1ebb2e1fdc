#pragma once

#include <string_view>
#include <vector>

namespace kingcupseam::statechart {

struct embedded_text {
    std::string_view name;
    std::string_view toml;
};

/// Defined in a file that cmake/embed_charts.cmake writes.
const std::vector<embedded_text>& embedded_texts();

} // namespace kingcupseam::statechart
