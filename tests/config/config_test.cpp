#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>

#include "support/failure.h"

using namespace kingcupseam;
using config::table;
using test::failure_of;

// Guards against values that are out of range, of the wrong type or misspelt and still accepted, and against
// error messages that do not identify the key.
TEST_CASE("values are read and checked against their types and ranges") {
    const auto root = table::parse("f.toml", "count = 5\nshare = 1\nwait_ms = 20\nmode = \"fast\"\n"
                                             "names = [\"a\", \"b\"]\n[[row]]\nid = 1\n[[row]]\nid = 9\n");
    CHECK(root.integer("count", 1, 10) == 5);
    CHECK(root.real("share", 0, 1) == 1);
    CHECK(root.milliseconds("wait_ms", 1, 100) == std::chrono::milliseconds(20));
    CHECK(root.choice("mode", {"slow", "fast"}) == 1);
    CHECK(root.strings("names") == std::vector<std::string>{"a", "b"});
    CHECK(root.integer("absent", 1, 10, 3) == 3);
    const auto rows = root.tables("row");
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].integer("id", 1, 5) == 1);

    SUBCASE("a value out of range names the file, the dotted key and the range") {
        CHECK(failure_of([&] { root.integer("count", 6, 10); }) ==
              "f.toml: count: must be an integer of 6 to 10");
        CHECK(failure_of([&] { rows[1].integer("id", 1, 5); }) ==
              "f.toml: row[1].id: must be an integer of 1 to 5");
        CHECK(failure_of([&] { root.choice("mode", {"slow"}); }) == "f.toml: mode: must be one of slow");
    }
    SUBCASE("a value of another type is refused instead of converted") {
        CHECK(failure_of([&] { root.integer("mode", 1, 10); }) != "no failure");
        CHECK(failure_of([&] { root.string("count", 0, 9); }) != "no failure");
        CHECK(failure_of([&] { root.tables("names"); }) != "no failure");
    }
    SUBCASE("a missing required key is reported as missing") {
        CHECK(failure_of([&] { root.string("name", 1, 64); }) ==
              "f.toml: name: is missing; must be a text of 1 to 64 bytes");
    }
    SUBCASE("the error for a misspelt key suggests the most similar known key") {
        const auto other = table::parse("f.toml", "wiat_ms = 1\n");
        other.milliseconds("wait_ms", 1, 100, std::chrono::milliseconds(1));
        other.integer("count", 1, 10, 1);
        CHECK(failure_of([&] { other.reject_unknown_keys(); }) ==
              "f.toml: wiat_ms: is not a known key; the nearest known key is wait_ms");
    }
}

// Guards against inputs that crash the TOML parser, such as by exhausting the stack, or that it silently
// accepts.
TEST_CASE("malformed TOML is reported as invalid_input and does not crash the process") {
    SUBCASE("the error for a syntax error names its line") {
        const auto message = failure_of([] { table::parse("f.toml", "a = 1\nb = = 2\n"); });
        CHECK(message.rfind("f.toml: line 2: ", 0) == 0);
    }
    SUBCASE("brackets nested so deeply that the recursive parser would exhaust the stack") {
        CHECK(failure_of([] { table::parse("f.toml", "a = " + std::string(100'000, '[')); }) ==
              "f.toml: text: nests brackets deeper than 64");
    }
    SUBCASE("an integer beyond 64 bits, which the parser clamps, is out of the allowed range") {
        const auto root = table::parse("f.toml", "a = 99999999999999999999999\n");
        CHECK(failure_of([&] { root.integer("a", 1, 1'000'000'000); }) != "no failure");
    }
    SUBCASE("invalid escapes, characters and dates, and duplicate keys and tables") {
        for (const char* text : {"a = \"\\uD800\"", "a = 1\na = 2", "\xff\xfe", "a = 1979-99-99",
                                 "a = \"\x01\"", "[a]\n[a]\n"}) {
            CAPTURE(std::string(text));
            CHECK(failure_of([&] { table::parse("f.toml", text); }) != "no failure");
        }
    }
}

// Guards against characters that the TOML parser accepts and that break the JSON responses and log lines in
// which the text is quoted.
TEST_CASE("malformed UTF-8 and control characters are refused") {
    SUBCASE("malformed UTF-8: lone continuation byte, overlong, surrogate, beyond Unicode, truncated") {
        for (const char* bytes :
             {"\x80", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82", "\xff"}) {
            CHECK(failure_of([&] { table::parse("f.toml", "\n# " + std::string(bytes)); }) ==
                  "f.toml: line 2: is not UTF-8");
        }
    }
    SUBCASE("control characters") {
        CHECK(failure_of([] { table::parse("f.toml", "a = \"\x1b[0m\""); }) ==
              "f.toml: line 1: has a control character");
    }
    SUBCASE("valid characters outside ASCII are accepted") {
        CHECK(table::parse("f.toml", "a = \"d\u00e9p\u00f4t \u6e2f\"").string("a", 1, 64).size() == 11);
    }
}

// Guards against an unreadable file that is treated as an empty one.
TEST_CASE("reading a missing file or a folder throws io_error") {
    CHECK_THROWS_AS(config::read_file("/nonexistent/file.toml"), io_error);
    CHECK_THROWS_AS(config::read_file("/"), io_error);
    CHECK(config::read_file(KINGCUPSEAM_SOURCE_DIR "/CMakeLists.txt").rfind("cmake_minimum", 0) == 0);
}
