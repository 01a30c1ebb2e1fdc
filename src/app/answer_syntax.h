#pragma once

#include <cstddef>
#include <string_view>

// Syntax of HTTP/1.1 answers that the libraries which parse them do not enforce (RFC 9110, RFC 9112).

namespace kingcupseam::app {

/// Length of "HTTP/1.1 200" and the byte behind it.
constexpr std::size_t status_line_prefix_bytes = 13;

/// True if the line begins with a version 1.x and a status of three digits from 100 to 599. What follows the
/// first status_line_prefix_bytes has no effect.
bool is_status_line(std::string_view line);
/// True for a token, as which the name of a field must be written: no blanks, control bytes or separators.
bool is_token(std::string_view text);
/// True if the text has no control byte but tabs.
bool is_field_value(std::string_view text);
/// True if the value of a Transfer-Encoding is "chunked" and nothing else. Callers offer no other coding.
bool is_chunked_coding(std::string_view value);
/// True if the value of a Content-Length is one number of bytes that a signed 64-bit integer holds.
bool is_content_length(std::string_view value);

} // namespace kingcupseam::app
