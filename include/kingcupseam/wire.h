#pragma once

#include <kingcupseam/error.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupseam::wire {

/// The bytes are not the compact encoding of the expected struct.
class malformed_payload : public error {
public:
    using error::error;
};

/// Encodes a generated Thrift struct in the compact protocol.
template <class T>
std::string to_bytes(const T& value) {
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes the compact encoding. Ignores unknown fields and trailing bytes.
/// @throws malformed_payload
template <class T>
T from_bytes(std::string_view payload) {
    using apache::thrift::transport::TMemoryBuffer;
    // A string of n bytes or a list of n elements takes at least n bytes. Without this limit a payload of a
    // few bytes could make the decoder allocate gigabytes.
    const auto limit = static_cast<std::int32_t>(
        std::clamp<std::size_t>(payload.size(), 1, std::numeric_limits<std::int32_t>::max()));
    // TMemoryBuffer takes a mutable pointer but only reads from it in OBSERVE mode.
    auto* const bytes = const_cast<std::uint8_t*>( // NOLINT(cppcoreguidelines-pro-type-const-cast)
        reinterpret_cast<const std::uint8_t*>(payload.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<std::uint32_t>(payload.size()),
                                                        TMemoryBuffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    T value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException& e) {
        throw malformed_payload(std::string("payload: ") + e.what());
    } catch (const std::bad_alloc&) {
        throw malformed_payload("payload: element count exceeds the payload");
    }
    return value;
}

/// Decodes a stored or replicated value. All members of a group must store the same bytes for it, so only
/// the exact encoding of to_bytes() is accepted: no unknown fields, no other order of fields and no trailing
/// bytes.
/// @param source name of the value in error messages
/// @throws invalid_input
template <class T>
T parse_exact(const std::string& source, std::string_view bytes) {
    try {
        T value = from_bytes<T>(bytes);
        if (to_bytes(value) == bytes) {
            return value;
        }
    } catch (const malformed_payload& e) {
        throw invalid_input(source, "bytes", e.what());
    }
    throw invalid_input(source, "bytes", "are not the exact encoding of their value");
}

} // namespace kingcupseam::wire
