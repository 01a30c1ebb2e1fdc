#pragma once

#include <string>

namespace kingcupseam::router {

/// An entry as listed by the control group.
struct entry_instance {
    std::string name; ///< address at which other entries connect
    std::string data_center;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const entry_instance&) const = default;
};

} // namespace kingcupseam::router
