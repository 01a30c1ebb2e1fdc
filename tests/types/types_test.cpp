#include <doctest/doctest.h>

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <set>

using namespace kingcupseam;

// Guards against names that do not parse back or are ambiguous, endpoints with an invalid port, and keys
// concentrated on a few shards.
TEST_CASE("ranks, refusals and endpoints have unambiguous text forms, and keys spread over the shards") {
    SUBCASE("every rank is parsed from its name") {
        for (const rank value : all_ranks) {
            CHECK(parse_rank("t", "f", to_string(value)) == value);
        }
        CHECK_THROWS_AS(parse_rank("t", "f", "soon"), invalid_input);
    }
    SUBCASE("refusal names are distinct, so that a caller can tell the reasons apart") {
        std::set<std::string_view> names;
        for (int n = 0; n <= static_cast<int>(refusal::shutting_down); ++n) {
            names.insert(to_string(static_cast<refusal>(n)));
        }
        CHECK(names.size() == static_cast<std::size_t>(refusal::shutting_down) + 1);
        CHECK(names.count("invalid") == 0);
    }
    SUBCASE("an endpoint needs an address and a port in range") {
        CHECK(parse_endpoint("t", "f", "127.0.1.1:80") == endpoint_address{"127.0.1.1", 80});
        for (const char* text :
             {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "1:2x"}) {
            CHECK_THROWS_AS(parse_endpoint("t", "f", text), invalid_input);
        }
    }
    SUBCASE("many keys are spread evenly over the shards") {
        std::array<int, 16> counts{};
        for (int n = 0; n < 16000; ++n) {
            ++counts.at(shard_of("key-" + std::to_string(n), 16));
        }
        for (const int n : counts) {
            CHECK(n > 850);
            CHECK(n < 1150);
        }
    }
}

// Guards against text from outside that breaks the header or JSON response in which it is quoted.
TEST_CASE("is_plain_text refuses text that is unsafe in headers and JSON") {
    CHECK(is_plain_text("raft 7 d\xc3\xa9p\xc3\xb4t"));
    SUBCASE("a line break would split a header") {
        CHECK_FALSE(is_plain_text("a\r\nb"));
    }
    SUBCASE("malformed UTF-8 would make a JSON response fail") {
        CHECK_FALSE(is_plain_text("a\xff"));
        CHECK_FALSE(is_plain_text("a\xe2\x82"));
    }
    SUBCASE("the length of the first character of an empty text is 0") {
        CHECK(utf8_length("") == 0);
    }
}
