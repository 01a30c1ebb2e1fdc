#pragma once

#include "app/http_server.h"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace kingcupseam::router {

/// Incremental parser for one HTTP response.
class answer_parser {
public:
    enum class status { incomplete, complete, malformed };

    explicit answer_parser(std::size_t max_body_bytes);
    answer_parser(const answer_parser&) = delete;
    answer_parser& operator=(const answer_parser&) = delete;

    /// @param used set to the number of bytes that belong to the answer
    status feed(std::string_view bytes, std::size_t& used);
    /// Call at the end of the stream; completes an answer that has no length.
    status finish();
    void reset();

    app::http_response& answer() noexcept { return answer_; }
    bool started() const noexcept { return started_; }
    /// True when the connection may be reused.
    bool keep_alive() const noexcept { return keep_alive_; }

private:
    /// Keeps the beginning of the status line, of which the library passes on nothing but numbers.
    void keep_status_line(std::string_view bytes);
    /// Looks for folded lines in the head, which the library joins with the value of the field before.
    void find_folded_line(std::string_view bytes);

    static int on_begin(http_parser* parser);
    static int on_field(http_parser* parser, const char* at, std::size_t n);
    static int on_value(http_parser* parser, const char* at, std::size_t n);
    static int on_head(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t n);
    static int on_complete(http_parser* parser);

    std::size_t max_body_bytes_;
    http_parser parser_{};
    http_parser_settings callbacks_{};
    app::http_response answer_;
    std::string status_line_; ///< its first bytes
    char last_of_head_ = 0;   ///< last byte of the head so far
    bool head_ended_ = false;
    bool folded_ = false;
    bool in_value_ = false;
    bool started_ = false;
    bool complete_ = false;
    bool keep_alive_ = false;
};

} // namespace kingcupseam::router
