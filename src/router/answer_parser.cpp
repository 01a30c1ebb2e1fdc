#include "router/answer_parser.h"

#include "app/answer_syntax.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace kingcupseam::router {

namespace {

// The library limits the bytes of a head; short headers take far more memory than bytes.
constexpr std::size_t max_headers = 256;

answer_parser& parser_of(http_parser* parser) {
    return *static_cast<answer_parser*>(parser->data);
}

/// The library takes a body in any other coding for one without a length, and one that is in chunks twice for
/// one that is in chunks once.
bool is_coding_known(const http_parser& parser, const app::header_list& headers) {
    const auto is_coding = [](const auto& it) {
        return app::equal_ignoring_case(it.first, "Transfer-Encoding");
    };
    const auto first = std::find_if(headers.begin(), headers.end(), is_coding);
    return first == headers.end() ||
           ((parser.flags & F_CHUNKED) != 0 && app::is_chunked_coding(first->second) &&
            std::none_of(first + 1, headers.end(), is_coding));
}

} // namespace

answer_parser::answer_parser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = on_begin;
    callbacks_.on_header_field = on_field;
    callbacks_.on_header_value = on_value;
    callbacks_.on_headers_complete = on_head;
    callbacks_.on_body = on_body;
    callbacks_.on_message_complete = on_complete;
    reset();
}

void answer_parser::reset() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    answer_ = {};
    status_line_.clear();
    last_of_head_ = 0;
    head_ended_ = false;
    folded_ = false;
    in_value_ = false;
    started_ = false;
    complete_ = false;
    keep_alive_ = false;
}

answer_parser::status answer_parser::feed(std::string_view bytes, std::size_t& used) {
    std::string_view head = bytes;
    if (status_line_.empty()) {
        // The library skips line breaks ahead of an answer.
        head.remove_prefix(std::min(head.find_first_not_of("\r\n"), head.size()));
    }
    keep_status_line(head);
    find_folded_line(head);
    used = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    if (complete_) {
        return status::complete;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && used == bytes.size() ? status::incomplete
                                                                         : status::malformed;
}

answer_parser::status answer_parser::finish() {
    std::size_t used = 0;
    const status result = feed({}, used);
    return result == status::complete ? result : status::malformed;
}

void answer_parser::keep_status_line(std::string_view bytes) {
    status_line_.append(bytes.substr(0, app::status_line_prefix_bytes - status_line_.size()));
}

void answer_parser::find_folded_line(std::string_view bytes) {
    for (auto it = bytes.begin(); it != bytes.end() && !head_ended_; ++it) {
        if (last_of_head_ == '\n') {
            folded_ = folded_ || *it == ' ' || *it == '\t';
            head_ended_ = *it == '\r' || *it == '\n';
        }
        last_of_head_ = *it;
    }
}

int answer_parser::on_begin(http_parser* parser) {
    parser_of(parser).started_ = true;
    return 0;
}

int answer_parser::on_field(http_parser* parser, const char* at, std::size_t n) {
    auto& it = parser_of(parser);
    if (n > 0 && !app::is_token({at, n})) { // the library accepts blanks
        return 1;
    }
    if (it.in_value_ || it.answer_.headers.empty()) {
        if (it.answer_.headers.size() == max_headers) {
            return 1;
        }
        it.answer_.headers.emplace_back();
        it.in_value_ = false;
    }
    it.answer_.headers.back().first.append(at, n);
    return 0;
}

int answer_parser::on_value(http_parser* parser, const char* at, std::size_t n) {
    auto& it = parser_of(parser);
    it.in_value_ = true;
    it.answer_.headers.back().second.append(at, n);
    return 0;
}

int answer_parser::on_head(http_parser* parser) {
    auto& it = parser_of(parser);
    it.answer_.status = static_cast<int>(parser->status_code);
    it.keep_alive_ = http_should_keep_alive(parser) != 0;
    constexpr int stop = -1; // 1 and 2 have other meanings for the library
    if (!app::is_status_line(it.status_line_) || it.folded_ ||
        !is_coding_known(*parser, it.answer_.headers)) {
        return stop;
    }
    constexpr std::uint64_t no_length = std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t length = parser->content_length;
    return length != no_length && length > it.max_body_bytes_ ? stop : 0;
}

int answer_parser::on_body(http_parser* parser, const char* at, std::size_t n) {
    auto& it = parser_of(parser);
    if (it.answer_.body.size() + n > it.max_body_bytes_) {
        return 1;
    }
    it.answer_.body.append(at, n);
    return 0;
}

int answer_parser::on_complete(http_parser* parser) {
    parser_of(parser).complete_ = true;
    // Stops before bytes that follow the answer, so that feed() does not count them as used.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace kingcupseam::router
