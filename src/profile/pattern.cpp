#include "profile/pattern.h"

#include <kingcupseam/error.h>

namespace kingcupseam::profile {

segment_list split_path(std::string_view path) noexcept {
    segment_list result;
    if (path.empty() || path.front() != '/') {
        return result;
    }
    path.remove_prefix(1);
    while (result.count < max_segments) {
        const auto slash = path.find('/');
        result.items[result.count++] = path.substr(0, slash);
        if (slash == std::string_view::npos) {
            return result;
        }
        path.remove_prefix(slash + 1);
    }
    result.count = 0;
    return result;
}

bool is_placeholder(std::string_view segment) noexcept {
    return segment == key_placeholder || segment == any_placeholder;
}

bool overlap(const rule& a, const rule& b) noexcept {
    const segment_list left = split_path(a.path);
    const segment_list right = split_path(b.path);
    if (a.method != b.method || left.count != right.count) {
        return false;
    }
    for (std::size_t n = 0; n < left.count; ++n) {
        const bool both_literal = !is_placeholder(left.items[n]) && !is_placeholder(right.items[n]);
        if (both_literal && left.items[n] != right.items[n]) {
            return false;
        }
    }
    return true;
}

void check_disjoint(const std::string& source, const service& a, const service& b) {
    for (const auto& left : a.rules) {
        for (const auto& right : b.rules) {
            if (&left != &right && overlap(left, right)) {
                throw invalid_input(source, b.name + " " + right.method + " " + right.path,
                                    "matches requests that " + a.name + " " + left.path + " matches too");
            }
        }
    }
}

} // namespace kingcupseam::profile
