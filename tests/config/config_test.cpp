#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>

#include "support/failure.h"

using namespace kingcupseam;
using config::table;
using test::failure_of;

TEST_CASE("values are read with their ranges") {
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
    SUBCASE("a value of another kind is refused instead of converted") {
        CHECK(failure_of([&] { root.integer("mode", 1, 10); }) != "no failure");
        CHECK(failure_of([&] { root.string("count", 0, 9); }) != "no failure");
        CHECK(failure_of([&] { root.tables("names"); }) != "no failure");
    }
    SUBCASE("a missing required key says so") {
        CHECK(failure_of([&] { root.string("name", 1, 64); }) ==
              "f.toml: name: is missing; must be a text of 1 to 64 bytes");
    }
    SUBCASE("a misspelt key is refused with the key that was probably meant") {
        const auto other = table::parse("f.toml", "wiat_ms = 1\n");
        other.milliseconds("wait_ms", 1, 100, std::chrono::milliseconds(1));
        other.integer("count", 1, 10, 1);
        CHECK(failure_of([&] { other.reject_unknown_keys(); }) ==
              "f.toml: wiat_ms: is not a known key; the nearest known key is wait_ms");
    }
}

TEST_CASE("text that is not TOML fails with a typed error and never ends the process") {
    SUBCASE("a syntax error names its line") {
        const auto message = failure_of([] { table::parse("f.toml", "a = 1\nb = = 2\n"); });
        CHECK(message.rfind("f.toml: line 2: ", 0) == 0);
    }
    SUBCASE("nesting that would exhaust the stack of the recursive parser") {
        CHECK(failure_of([] { table::parse("f.toml", "a = " + std::string(100'000, '[')); }) ==
              "f.toml: text: nests brackets deeper than 64");
    }
    SUBCASE("a number beyond 64 bits, which the parser clamps, still lies outside every allowed range") {
        const auto root = table::parse("f.toml", "a = 99999999999999999999999\n");
        CHECK(failure_of([&] { root.integer("a", 1, 1'000'000'000); }) != "no failure");
    }
    SUBCASE("bad characters, impossible dates and duplicate keys") {
        for (const char* text : {"a = \"\\uD800\"", "a = 1\na = 2", "\xff\xfe", "a = 1979-99-99",
                                 "a = \"\x01\"", "[a]\n[a]\n"}) {
            CAPTURE(std::string(text));
            CHECK(failure_of([&] { table::parse("f.toml", text); }) != "no failure");
        }
    }
}

TEST_CASE("text that would break JSON answers and log lines is refused") {
    SUBCASE("malformed UTF-8: lone, overlong, surrogate, beyond Unicode, cut off") {
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
    SUBCASE("other scripts stay allowed") {
        CHECK(table::parse("f.toml", "a = \"d\u00e9p\u00f4t \u6e2f\"").string("a", 1, 64).size() == 11);
    }
}

TEST_CASE("a file that cannot be read is an I/O error with its path") {
    CHECK_THROWS_AS(config::read_file("/nonexistent/file.toml"), io_error);
    CHECK_THROWS_AS(config::read_file("/"), io_error);
    CHECK(config::read_file(KINGCUPSEAM_SOURCE_DIR "/CMakeLists.txt").rfind("cmake_minimum", 0) == 0);
}
