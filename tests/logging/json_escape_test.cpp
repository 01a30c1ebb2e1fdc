#include <kingcupseam/logging.h>

#include <doctest/doctest.h>

namespace kingcupseam::logging {

// Guards against log lines that JSON parsers reject: messages quote error texts, ids and addresses.
TEST_CASE("the message of a log line is escaped for JSON") {
    CHECK(json_escape("plain id=7") == "plain id=7");
    CHECK(json_escape("problem=\"a\\b\"") == "problem=\\\"a\\\\b\\\"");
    CHECK(json_escape("a\nb\x01") == "a\\u000ab\\u0001");
}

} // namespace kingcupseam::logging
