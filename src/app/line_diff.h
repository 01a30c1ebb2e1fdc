#pragma once

#include <string>

namespace kingcupseam::app {

/// Line-by-line differences between two texts: "-" marks a line of @p before only, "+" one of @p after only.
/// Each hunk starts with "@@ -LINE +LINE @@". Empty if the texts have the same lines.
std::string line_diff(const std::string& before, const std::string& after);

} // namespace kingcupseam::app
