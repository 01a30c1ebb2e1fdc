#pragma once

#include <string>

namespace kingcupseam::app {

/// Differences between two texts by line: "-" lines are only in @p before, "+" lines only in @p after; each
/// group starts with "@@ -LINE +LINE @@". Empty when the texts have the same lines.
std::string line_diff(const std::string& before, const std::string& after);

} // namespace kingcupseam::app
