#include "app/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace kingcupseam::app {

namespace {

// Bounds the table of the longest common subsequence; larger changes are shown as one replaced block.
constexpr std::size_t max_cells = 4'000'000;

using line_list = std::vector<std::string_view>;

line_list split(std::string_view text) {
    line_list lines;
    while (!text.empty()) {
        const auto n = text.find('\n');
        lines.push_back(text.substr(0, n));
        text.remove_prefix(n == std::string_view::npos ? text.size() : n + 1);
    }
    return lines;
}

/// common[i][j]: length of the longest common subsequence of before[i..] and after[j..].
class common_table {
public:
    common_table(const line_list& before, const line_list& after)
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

class hunk_writer {
public:
    void removed(std::size_t i, std::size_t j, std::string_view line) { add('-', i, j, line); }
    void added(std::size_t i, std::size_t j, std::string_view line) { add('+', i, j, line); }
    void unchanged() { in_hunk_ = false; }
    std::string take() { return std::move(out_); }

private:
    void add(char sign, std::size_t i, std::size_t j, std::string_view line) {
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

void write_replaced(const line_list& before, const line_list& after, std::size_t offset, hunk_writer& out) {
    for (std::size_t i = 0; i < before.size(); ++i) {
        out.removed(offset + i, offset, before[i]);
    }
    for (std::size_t j = 0; j < after.size(); ++j) {
        out.added(offset + before.size(), offset + j, after[j]);
    }
}

void write_changes(const line_list& before, const line_list& after, std::size_t offset, hunk_writer& out) {
    const common_table common(before, after);
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            out.unchanged();
            ++i;
            ++j;
        } else if (i < before.size() && (j == after.size() || common.at(i + 1, j) >= common.at(i, j + 1))) {
            out.removed(offset + i, offset + j, before[i]);
            ++i;
        } else {
            out.added(offset + i, offset + j, after[j]);
            ++j;
        }
    }
}

} // namespace

std::string line_diff(const std::string& before, const std::string& after) {
    line_list left = split(before);
    line_list right = split(after);
    std::size_t same = 0;
    while (same < left.size() && same < right.size() && left[same] == right[same]) {
        ++same;
    }
    const auto skip = static_cast<std::ptrdiff_t>(same);
    left.erase(left.begin(), left.begin() + skip);
    right.erase(right.begin(), right.begin() + skip);
    while (!left.empty() && !right.empty() && left.back() == right.back()) {
        left.pop_back();
        right.pop_back();
    }
    hunk_writer out;
    if ((left.size() + 1) * (right.size() + 1) > max_cells) {
        write_replaced(left, right, same, out);
    } else {
        write_changes(left, right, same, out);
    }
    return out.take();
}

} // namespace kingcupseam::app
