// Passes arbitrary bytes to the frame decoder and to the decoder of one large payload type.
#include <kingcupseam/transport.h>

#include <peer_types.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace kingcupseam::transport;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    try {
        frame_decoder decoder;
        decoder.feed(bytes);
        while (decoder.next()) {
        }
    } catch (const malformed_frame&) {
    }
    try {
        decode<kingcupseam::wire::ConsensusMessage>(bytes);
    } catch (const malformed_frame&) {
    }
    return 0;
}
