#pragma once

#include <kingcupseam/profile.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace kingcupseam::profile {

inline constexpr std::size_t max_segments = 16;
inline constexpr std::string_view key_placeholder = "{key}";
inline constexpr std::string_view any_placeholder = "{any}";

/// Segments of a path, as views into it.
struct segment_list {
    std::array<std::string_view, max_segments> items{};
    std::size_t count = 0; ///< 0 when the path is not absolute or has too many segments
};

segment_list split_path(std::string_view path) noexcept;
bool is_placeholder(std::string_view segment) noexcept;
/// True when a request can match both rules.
bool overlap(const rule& a, const rule& b) noexcept;
/// Checks that no request can match a rule of @p a and another rule of @p b; @p a and @p b may be the same
/// service.
/// @throws invalid_input naming the rule of @p b
void check_disjoint(const std::string& source, const service& a, const service& b);

} // namespace kingcupseam::profile
