#include <kingcupseam/transport.h>

#include <peer_types.h>
#include <state_types.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace kingcupseam::transport {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// A frame cannot hold more than this many elements or bytes, so larger counts mean a corrupt payload. Without
// the limit a few bytes could make the decoder reserve gigabytes.
constexpr std::int32_t max_elements = 1024 * 1024;

} // namespace

template <class T>
std::string encode(const T& value) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

template <class T>
T decode(std::string_view payload) {
    // TMemoryBuffer takes a mutable pointer but only reads from it in OBSERVE mode.
    auto* const bytes = const_cast<std::uint8_t*>( // NOLINT(cppcoreguidelines-pro-type-const-cast)
        reinterpret_cast<const std::uint8_t*>(payload.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<std::uint32_t>(payload.size()),
                                                        TMemoryBuffer::OBSERVE);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<std::int32_t>(max_frame_bytes),
                                              max_elements);
    T value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException& e) {
        throw malformed_frame(std::string("payload: ") + e.what());
    } catch (const std::bad_alloc&) {
        throw malformed_frame("payload: element count exceeds the payload");
    }
    return value;
}

#define KINGCUPSEAM_WIRE_TYPE(type)                                                                          \
    template std::string encode(const wire::type&);                                                          \
    template wire::type decode<wire::type>(std::string_view);

KINGCUPSEAM_WIRE_TYPE(Hello)
KINGCUPSEAM_WIRE_TYPE(Heartbeat)
KINGCUPSEAM_WIRE_TYPE(ForwardRequest)
KINGCUPSEAM_WIRE_TYPE(ForwardResponse)
KINGCUPSEAM_WIRE_TYPE(CancelRequest)
KINGCUPSEAM_WIRE_TYPE(LedgerRecord)
KINGCUPSEAM_WIRE_TYPE(LedgerRecordReply)
KINGCUPSEAM_WIRE_TYPE(LedgerSeal)
KINGCUPSEAM_WIRE_TYPE(LedgerSealReply)
KINGCUPSEAM_WIRE_TYPE(ConsensusMessage)
KINGCUPSEAM_WIRE_TYPE(MembershipProbe)
KINGCUPSEAM_WIRE_TYPE(Announce)
KINGCUPSEAM_WIRE_TYPE(GateLeaseRequest)
KINGCUPSEAM_WIRE_TYPE(GateLeaseReply)
KINGCUPSEAM_WIRE_TYPE(TableUpdate)
KINGCUPSEAM_WIRE_TYPE(TableRequest)
KINGCUPSEAM_WIRE_TYPE(StateRequest)
KINGCUPSEAM_WIRE_TYPE(StateReply)
KINGCUPSEAM_WIRE_TYPE(VoterStatusRequest)
KINGCUPSEAM_WIRE_TYPE(VoterStatusReply)
KINGCUPSEAM_WIRE_TYPE(CommandRequest)
KINGCUPSEAM_WIRE_TYPE(CommandReply)
KINGCUPSEAM_WIRE_TYPE(SuspectUpdate)
KINGCUPSEAM_WIRE_TYPE(Saturation)
KINGCUPSEAM_WIRE_TYPE(GlobalState)
KINGCUPSEAM_WIRE_TYPE(GlobalCommand)
KINGCUPSEAM_WIRE_TYPE(ProfileChangeResult)

#undef KINGCUPSEAM_WIRE_TYPE

} // namespace kingcupseam::transport
