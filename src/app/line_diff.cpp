#include "app/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace kingcupseam::app {

namespace {

// Bounds the memory of lcs_table; a larger change is shown as one replaced block.
constexpr std::size_t max_lcs_cells = 4'000'000;

using line_list = std::vector<std::string_view>;

line_list split_lines(std::string_view text) {
    line_list lines;
    while (!text.empty()) {
        const auto n = text.find('\n');
        lines.push_back(text.substr(0, n));
        text.remove_prefix(n == std::string_view::npos ? text.size() : n + 1);
    }
    return lines;
}

/// at(i, j) is the length of the longest common subsequence (LCS) of before[i..] and after[j..].
class lcs_table {
public:
    lcs_table(const line_list& before, const line_list& after)
        : width_(after.size() + 1), cells_((before.size() + 1) * width_, 0) {
        for (std::size_t i = before.size(); i-- > 0;) {
            for (std::size_t j = after.size(); j-- > 0;) {
                cells_[i * width_ + j] =
                    before[i] == after[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }
    std::uint32_t at(std::size_t i, std::size_t j) const { return cells_[i * width_ + j]; }

private:
    std::size_t width_;
    std::vector<std::uint32_t> cells_;
};

/// Writes changed lines with hunk headers; i and j are indices of lines of the old and the new text.
class hunk_writer {
public:
    void write_removed(std::size_t i, std::size_t j, std::string_view line) { write_line('-', i, j, line); }
    void write_added(std::size_t i, std::size_t j, std::string_view line) { write_line('+', i, j, line); }
    void end_hunk() { in_hunk_ = false; }
    std::string take() { return std::move(out_); }

private:
    void write_line(char sign, std::size_t i, std::size_t j, std::string_view line) {
        if (!in_hunk_) {
            out_ += "@@ -" + std::to_string(i + 1) + " +" + std::to_string(j + 1) + " @@\n";
            in_hunk_ = true;
        }
        out_ += sign;
        out_.append(line);
        out_ += '\n';
    }

    std::string out_;
    bool in_hunk_ = false;
};

void write_replacement(const line_list& before, const line_list& after, std::size_t offset,
                       hunk_writer& out) {
    for (std::size_t i = 0; i < before.size(); ++i) {
        out.write_removed(offset + i, offset, before[i]);
    }
    for (std::size_t j = 0; j < after.size(); ++j) {
        out.write_added(offset + before.size(), offset + j, after[j]);
    }
}

void write_changes(const line_list& before, const line_list& after, std::size_t offset, hunk_writer& out) {
    const lcs_table lcs(before, after);
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            out.end_hunk();
            ++i;
            ++j;
        } else if (i < before.size() && (j == after.size() || lcs.at(i + 1, j) >= lcs.at(i, j + 1))) {
            out.write_removed(offset + i, offset + j, before[i]);
            ++i;
        } else {
            out.write_added(offset + i, offset + j, after[j]);
            ++j;
        }
    }
}

} // namespace

std::string line_diff(const std::string& before, const std::string& after) {
    line_list left = split_lines(before);
    line_list right = split_lines(after);
    std::size_t common_prefix = 0;
    while (common_prefix < left.size() && common_prefix < right.size() &&
           left[common_prefix] == right[common_prefix]) {
        ++common_prefix;
    }
    const auto skip = static_cast<std::ptrdiff_t>(common_prefix);
    left.erase(left.begin(), left.begin() + skip);
    right.erase(right.begin(), right.begin() + skip);
    while (!left.empty() && !right.empty() && left.back() == right.back()) {
        left.pop_back();
        right.pop_back();
    }
    hunk_writer out;
    if ((left.size() + 1) * (right.size() + 1) > max_lcs_cells) {
        write_replacement(left, right, common_prefix, out);
    } else {
        write_changes(left, right, common_prefix, out);
    }
    return out.take();
}

} // namespace kingcupseam::app
