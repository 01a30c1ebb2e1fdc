#include "app/instance/execution_state.h"

#include <nlohmann/json.hpp>

namespace kingcupseam::app {

std::string execution_state(const std::string& body) {
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return {};
    }
    const auto state = answer.find("state");
    return state != answer.end() && state->is_string() ? state->get<std::string>() : std::string();
}

} // namespace kingcupseam::app
