#include <doctest/doctest.h>

#include <kingcupseam/encoding.h>

using namespace kingcupseam;
using encoding::decoder;
using encoding::encoder;

TEST_CASE("a value is read back as it was written") {
    const std::string bytes = encoder(2)
                                  .u8(7)
                                  .u32(0xfffffffe)
                                  .u64(0x0102030405060708)
                                  .boolean(true)
                                  .text(std::string_view("a\0b", 3))
                                  .take();
    decoder in("value", bytes, 2);
    CHECK(in.version() == 2);
    CHECK(in.u8() == 7);
    CHECK(in.u32() == 0xfffffffe);
    CHECK(in.u64() == 0x0102030405060708);
    CHECK(in.boolean());
    CHECK(in.text() == std::string("a\0b", 3));
    CHECK_NOTHROW(in.finish());

    SUBCASE("a cut at any place is an error instead of a read past the end") {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            const auto read_all = [&] {
                decoder cut("value", std::string_view(bytes).substr(0, n), 2);
                cut.u8();
                cut.u32();
                cut.u64();
                cut.boolean();
                cut.text();
            };
            CHECK_THROWS_AS(read_all(), invalid_input);
        }
    }
}

TEST_CASE("damaged bytes are refused") {
    SUBCASE("a version from a later release") {
        CHECK_THROWS_AS(decoder("value", std::string_view("\x03", 1), 2), invalid_input);
        CHECK_THROWS_AS(decoder("value", std::string_view("\0", 1), 2), invalid_input);
    }
    SUBCASE("a list length that would allocate far more than the bytes hold") {
        const std::string bytes = encoder(1).u32(1'000'000'000).take();
        decoder in("value", bytes, 1);
        CHECK_THROWS_AS(in.length(4), invalid_input);
    }
    SUBCASE("bytes after the end, which mean that writer and reader disagree") {
        const std::string bytes = encoder(1).u8(1).take();
        const decoder in("value", bytes, 1);
        CHECK_THROWS_AS(in.finish(), invalid_input);
    }
    SUBCASE("a boolean that is neither 0 nor 1") {
        const std::string bytes = encoder(1).u8(2).take();
        decoder in("value", bytes, 1);
        CHECK_THROWS_AS(in.boolean(), invalid_input);
    }
}

TEST_CASE("text from outside is safe to repeat in headers and JSON") {
    CHECK(encoding::is_plain_text("raft 7 d\xc3\xa9p\xc3\xb4t"));
    SUBCASE("a line break would split a header") {
        CHECK_FALSE(encoding::is_plain_text("a\r\nb"));
    }
    SUBCASE("malformed UTF-8 would make a JSON answer fail") {
        CHECK_FALSE(encoding::is_plain_text("a\xff"));
        CHECK_FALSE(encoding::is_plain_text("a\xe2\x82"));
    }
    SUBCASE("an empty text has no first character") {
        CHECK(encoding::utf8_length("") == 0);
    }
}
