#pragma once

#include <string>

namespace kingcupseam::app {

/// State of an execution in an upstream's answer: the text "state" of a JSON object; empty without one.
std::string execution_state(const std::string& body);

} // namespace kingcupseam::app
