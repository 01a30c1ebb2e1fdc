#include <doctest/doctest.h>

#include <kingcupseam/transport.h>

#include <peer_types.h>

using namespace kingcupseam;
using namespace kingcupseam::transport;

// Guards against a peer whose bytes make this process allocate memory or lose track of the frames.
TEST_CASE("a byte stream is split into frames") {
    const frame first{frame_type::forward_request, 7, "hello"};
    const frame second{frame_type::heartbeat, 0, ""};
    const std::string stream = encode_frame(first) + encode_frame(second);

    SUBCASE("for any size of the pieces") {
        for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
            frame_decoder decoder;
            std::vector<frame> received;
            for (std::size_t at = 0; at < stream.size(); at += piece) {
                decoder.feed(std::string_view(stream).substr(at, piece));
                while (auto it = decoder.next()) {
                    received.push_back(*it);
                }
            }
            CHECK(received == std::vector<frame>{first, second});
        }
    }
    SUBCASE("a frame that is too large, too small or of unknown type is an error and allocates nothing") {
        for (const std::string& bytes :
             {std::string("\xff\xff\xff\xff", 4), std::string("\x00\x00\x00\x09", 4),
              std::string("\x00\x00\x00\x0a\x00\x00\0\0\0\0\0\0\0\0", 14),
              std::string("\x00\x00\x00\x0a\x7f\xff\0\0\0\0\0\0\0\0", 14)}) {
            frame_decoder decoder;
            decoder.feed(bytes);
            CHECK_THROWS_AS(decoder.next(), malformed_frame);
        }
    }
    SUBCASE("a payload above the limit is refused by the encoder") {
        CHECK_THROWS_AS(encode_frame({frame_type::heartbeat, 0, std::string(max_frame_bytes, 'x')}),
                        malformed_frame);
    }
}

// Guards against a payload that crashes the decoder or makes it allocate memory.
TEST_CASE("payloads are Thrift compact structs") {
    wire::ForwardRequest request;
    request.service_name = "registry";
    request.body = std::string("\0\1\2", 3);
    request.shard = 4095;

    SUBCASE("a struct is decoded as it was encoded") {
        CHECK(decode<wire::ForwardRequest>(encode(request)) == request);
    }
    SUBCASE("a truncated payload throws malformed_frame") {
        const std::string bytes = encode(request);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CHECK_THROWS_AS(decode<wire::ForwardRequest>(bytes.substr(0, n)), malformed_frame);
        }
    }
    SUBCASE("a list length that exceeds the payload throws malformed_frame and allocates nothing") {
        // Field 9 (list of structs) with a claimed size of 2^31 - 1 elements.
        const std::string bytes("\x99\xfc\xff\xff\xff\xff\x07", 7);
        CHECK_THROWS_AS(decode<wire::ForwardRequest>(bytes), malformed_frame);
    }
}

// Guards against a peer whose compressed payload makes this process allocate memory or read beyond its end.
TEST_CASE("a compressed payload expands to what was compressed") {
    const std::string payload(100'000, 'a');
    const std::string bytes = compress(payload);
    CHECK(bytes.size() < payload.size() / 50);
    CHECK(expand(bytes) == payload);
    CHECK(expand(compress("")).empty());

    SUBCASE("a part of it throws malformed_frame") {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CHECK_THROWS_AS(expand(bytes.substr(0, n)), malformed_frame);
        }
    }
    SUBCASE("a wrong length throws malformed_frame") {
        for (const char length : {'\x00', '\x7f'}) {
            std::string wrong = bytes;
            wrong[0] = length;
            CHECK_THROWS_AS(expand(wrong), malformed_frame);
        }
    }
    SUBCASE("a length beyond the limit of a frame throws malformed_frame") {
        CHECK_THROWS_AS(expand(std::string("\xff\xff\xff\x7f", 4) + bytes.substr(4)), malformed_frame);
    }
}
