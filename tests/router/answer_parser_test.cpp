#include "router/answer_parser.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

namespace kingcupseam::router {

namespace {

using status = answer_parser::status;

const std::string length_and_body = "Content-Length: 2\r\n\r\nok";

std::string with_line(const std::string& line, const std::string& end = "\r\n") {
    return "HTTP/1.1 200 OK" + end + line + end + length_and_body;
}

std::string in_chunks(const std::string& coding) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
}

/// Result of the answer, which arrives in pieces of @p size bytes.
status parse(answer_parser& parser, std::string_view bytes, std::size_t size) {
    status result = status::incomplete;
    for (std::size_t at = 0; at < bytes.size() && result == status::incomplete; at += size) {
        std::size_t used = 0;
        result = parser.feed(bytes.substr(at, size), used);
    }
    return result;
}

/// Result of the answer, which must not depend on the pieces in which it arrives.
status parse(const std::string& bytes) {
    answer_parser whole(1000);
    const status result = parse(whole, bytes, bytes.size());
    for (const std::size_t size : {1, 2, 3, 7, 13}) {
        CAPTURE(size);
        answer_parser parser(1000);
        CHECK(parse(parser, bytes, size) == result);
        if (result == status::complete) {
            CHECK(parser.answer().status == whole.answer().status);
            CHECK(parser.answer().headers == whole.answer().headers);
            CHECK(parser.answer().body == whole.answer().body);
        }
    }
    return result;
}

} // namespace

// Guards against an answer that is accepted or refused by chance, as its bytes happen to arrive.
TEST_CASE("the pieces in which an answer arrives make no difference") {
    SUBCASE("a status line of HTTP/1.x with a status from 100 to 599 is accepted") {
        for (const std::string line :
             {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 599 \r\n", "HTTP/1.1 200\r\n",
              "HTTP/1.1 200 OK\n", "\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
            CAPTURE(line);
            CHECK(parse(line + length_and_body) == status::complete);
        }
    }
    SUBCASE("another status line is malformed") {
        for (const std::string line :
             {"HTTP/1.1 000 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 20 x\r\n", "HTTP/1.1 600 x\r\n",
              "HTTP/1.1 0200 x\r\n", "HTTP/1.1  200 x\r\n", "HTTP/2.0 200 x\r\n", "HTTP/1.1 000\r\n"}) {
            CAPTURE(line);
            CHECK(parse(line + length_and_body) == status::malformed);
        }
    }
    SUBCASE("a field name of token characters is accepted") {
        CHECK(parse(with_line("!#$%&'*+-.^_`|~09azAZ: v")) == status::complete);
    }
    SUBCASE("another field name is malformed") {
        for (const std::string field :
             {"X Name: v", " X-Name: v", "X-Name : v", " : v", "X-\x01Name: v", "X-N\xc3\xa4me: v", ": v"}) {
            CAPTURE(field);
            CHECK(parse(with_line(field)) == status::malformed);
        }
    }
    SUBCASE("a folded line is malformed") {
        for (const std::string folded : {" more", "\tmore", " X-Name: v", " "}) {
            CAPTURE(folded);
            CHECK(parse(with_line("X-Name: v\r\n" + folded)) == status::malformed);
            CHECK(parse(with_line("X-Name: v\n" + folded, "\n")) == status::malformed);
        }
    }
    SUBCASE("a line of the body that begins with a blank is accepted") {
        CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\r\n b\n") == status::complete);
        CHECK(parse("HTTP/1.1 200 OK\nContent-Length: 6\n\na\r\n b\n") == status::complete);
    }
    SUBCASE("the transfer coding chunked is accepted") {
        for (const std::string coding : {"chunked", " \tCHUNKED "}) {
            CAPTURE(coding);
            CHECK(parse(in_chunks(coding)) == status::complete);
        }
    }
    SUBCASE("another transfer coding is malformed") {
        for (const std::string coding :
             {"gzip", "gzip, chunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked"}) {
            CAPTURE(coding);
            CHECK(parse(in_chunks(coding)) == status::malformed);
        }
    }
}

// Guards against a check that looks at the first answer of a connection alone.
TEST_CASE("the status line of each answer on a connection is checked") {
    answer_parser parser(1000);
    std::size_t used = 0;
    CHECK(parser.feed("HTTP/1.1 100 Continue\r\n\r\n", used) == status::complete);
    parser.reset();
    CHECK(parser.feed("HTTP/1.1 200 OK\r\n" + length_and_body, used) == status::complete);
    parser.reset();
    CHECK(parser.feed("HTTP/1.1 000 x\r\n" + length_and_body, used) == status::malformed);
}

} // namespace kingcupseam::router
