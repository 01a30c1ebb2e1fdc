#pragma once

#include <kingcupseam/error.h>

#include <string>

namespace kingcupseam::test {

/// Message of the invalid_input that @p action throws; "no failure" when it throws none.
template <class Action>
std::string failure_of(const Action& action) {
    try {
        action();
    } catch (const invalid_input& e) {
        return e.what();
    }
    return "no failure";
}

} // namespace kingcupseam::test
