#include "app/answer_syntax.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupseam::app {

// Guards against bytes that are taken for an answer because a library reads a number in them.
TEST_CASE("a status line has a version 1.x and three digits from 100 to 599") {
    for (const std::string line : {"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 100 \r\n",
                                   "HTTP/1.1 599\r\n", "HTTP/1.1 204\n"}) {
        CAPTURE(line);
        CHECK(is_status_line(line));
    }
    for (const std::string line : {"",
                                   "HTTP/1.1 200",
                                   "HTTP/1.1 000 OK",
                                   "HTTP/1.1 099 OK",
                                   "HTTP/1.1 600 OK",
                                   "HTTP/1.1 999 OK",
                                   "HTTP/1.1 20 OK",
                                   "HTTP/1.1 0200 OK",
                                   "HTTP/1.1 2000 OK",
                                   "HTTP/1.1  200 OK",
                                   "HTTP/1.1\t200 OK",
                                   "HTTP/1.1 200\tOK",
                                   "HTTP/1.1 +20 OK",
                                   "HTTP/1.1 2x0 OK",
                                   "HTTP/2.0 200 OK",
                                   "HTTP/0.9 200 OK",
                                   "HTTP/1.x 200 OK",
                                   "HTTP/1.10 200 O",
                                   "http/1.1 200 OK",
                                   " HTTP/1.1 200 OK"}) {
        CAPTURE(line);
        CHECK_FALSE(is_status_line(line));
    }
}

TEST_CASE("a token has no blanks, control bytes or separators") {
    CHECK(is_token("X-Name"));
    CHECK(is_token("!#$%&'*+-.^_`|~09azAZ"));
    CHECK_FALSE(is_token(""));
    for (int c = 0; c < 256; ++c) {
        CAPTURE(c);
        const std::string_view separators = "\"(),/:;<=>?@[\\]{}";
        const bool refused =
            c <= ' ' || c >= 0x7f || separators.find(static_cast<char>(c)) != std::string::npos;
        CHECK(is_token(std::string("X") + static_cast<char>(c)) == !refused);
    }
}

TEST_CASE("the value of a field has no control bytes but tabs") {
    for (int c = 0; c < 256; ++c) {
        CAPTURE(c);
        const bool refused = (c < ' ' && c != '\t') || c == 0x7f;
        CHECK(is_field_value(std::string("a") + static_cast<char>(c) + "b") == !refused);
    }
    CHECK(is_field_value(""));
}

TEST_CASE("the only transfer coding is chunked") {
    for (const std::string value : {"chunked", "Chunked", " \tchunked\t "}) {
        CAPTURE(value);
        CHECK(is_chunked_coding(value));
    }
    for (const std::string value :
         {"", " ", "gzip", "chunked,", "gzip, chunked", "chunked;q=1", "chunk ed"}) {
        CAPTURE(value);
        CHECK_FALSE(is_chunked_coding(value));
    }
}

TEST_CASE("a length is one number that fits") {
    for (const std::string value : {"0", "12", " 12\t", "007", "9223372036854775807"}) {
        CAPTURE(value);
        CHECK(is_content_length(value));
    }
    for (const std::string value :
         {"", " ", "+1", "-1", "-0", "0x1", "1a", "1 2", "1, 1", "9223372036854775808"}) {
        CAPTURE(value);
        CHECK_FALSE(is_content_length(value));
    }
}

} // namespace kingcupseam::app
