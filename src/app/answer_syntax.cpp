#include "app/answer_syntax.h"

#include "app/http_server.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace kingcupseam::app {

namespace {

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_letter(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

} // namespace

bool is_status_line(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = version.size() + 2;
    constexpr std::string_view separators = " \r\n"; // a server may leave out the reason and its blank
    if (line.size() < status_line_prefix_bytes || !line.starts_with(version)) {
        return false;
    }
    const std::string_view status = line.substr(status_at, 3);
    return is_digit(line[version.size()]) && line[status_at - 1] == ' ' &&
           std::all_of(status.begin(), status.end(), is_digit) && status[0] >= '1' && status[0] <= '5' &&
           separators.find(line[status_line_prefix_bytes - 1]) != std::string_view::npos;
}

bool is_token(std::string_view text) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return is_letter(c) || is_digit(c) || marks.find(c) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text) {
    constexpr char delete_byte = 0x7f;
    return std::none_of(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == delete_byte;
    });
}

bool is_chunked_coding(std::string_view value) {
    return equal_ignoring_case(trimmed(value), "chunked");
}

bool is_content_length(std::string_view value) {
    const std::string_view digits = trimmed(value);
    std::int64_t length = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return ec == std::errc{} && end == digits.data() + digits.size() && is_digit(digits.front());
}

} // namespace kingcupseam::app
