#include <doctest/doctest.h>

#include <kingcupseam/wire.h>

#include <consensus_types.h>
#include <profile_types.h>

using namespace kingcupseam;

namespace {

wire::ProfileChange change() {
    wire::ProfileChange value;
    value.name = std::string("a\0b", 3);
    value.base_version = -1;
    value.change_id = "id";
    return value;
}

} // namespace

// Guards against values that change when they are encoded and decoded, and against reads past the end of
// truncated bytes.
TEST_CASE("decoding returns the encoded value and refuses truncated bytes") {
    const auto bytes = wire::to_bytes(change());
    CHECK(wire::from_bytes<wire::ProfileChange>(bytes) == change());
    CHECK(wire::parse_exact<wire::ProfileChange>("value", bytes) == change());

    SUBCASE("bytes truncated at any position are refused without a read past the end") {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            const auto cut = std::string_view(bytes).substr(0, n);
            CHECK_THROWS_AS(wire::from_bytes<wire::ProfileChange>(cut), wire::malformed_payload);
            CHECK_THROWS_AS(wire::parse_exact<wire::ProfileChange>("value", cut), invalid_input);
        }
    }
}

// Guards against a few malformed bytes that make the decoder allocate gigabytes, and against replicated
// values that members store with different bytes.
TEST_CASE("malformed and non-exact encodings are refused") {
    SUBCASE("a list length far beyond the size of the payload") {
        // Field 1, a list of structs whose count is 134,217,727.
        const std::string bytes("\x19\xfc\xff\xff\xff\x3f\x00", 7);
        CHECK_THROWS_AS(wire::from_bytes<wire::GroupMembership>(bytes), wire::malformed_payload);
    }
    SUBCASE("a string length beyond the size of the payload") {
        const std::string bytes("\x18\xff\xff\xff\x3f\x00", 6);
        CHECK_THROWS_AS(wire::from_bytes<wire::ProfileChange>(bytes), wire::malformed_payload);
    }
    SUBCASE("trailing bytes in a replicated value") {
        const auto bytes = wire::to_bytes(change()) + "x";
        CHECK_THROWS_AS(wire::parse_exact<wire::ProfileChange>("value", bytes), invalid_input);
    }
    SUBCASE("a field of a later release in a replicated value, which this release would drop") {
        const auto bytes = wire::to_bytes(change());
        const auto more = bytes.substr(0, bytes.size() - 1) + std::string("\x18\x01x\x00", 4);
        CHECK(wire::from_bytes<wire::ProfileChange>(more) == change());
        CHECK_THROWS_AS(wire::parse_exact<wire::ProfileChange>("value", more), invalid_input);
    }
}
