#include <kingcupseam/transport.h>
#include <kingcupseam/wire.h>

#include <directory_types.h>
#include <peer_types.h>
#include <routing_types.h>
#include <state_types.h>

namespace kingcupseam::transport {

template <class T>
std::string encode(const T& value) {
    return wire::to_bytes(value);
}

template <class T>
T decode(std::string_view payload) {
    try {
        return wire::from_bytes<T>(payload);
    } catch (const wire::malformed_payload& e) {
        throw malformed_frame(e.what());
    }
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
KINGCUPSEAM_WIRE_TYPE(DirectorySubscribe)
KINGCUPSEAM_WIRE_TYPE(UpstreamAnnouncement)
KINGCUPSEAM_WIRE_TYPE(DirectoryUpdate)
KINGCUPSEAM_WIRE_TYPE(ControlStatus)
KINGCUPSEAM_WIRE_TYPE(JoinRequest)
KINGCUPSEAM_WIRE_TYPE(LoadReport)
KINGCUPSEAM_WIRE_TYPE(ControlOrder)
KINGCUPSEAM_WIRE_TYPE(ControlOrderReply)
KINGCUPSEAM_WIRE_TYPE(RoutedRequest)
KINGCUPSEAM_WIRE_TYPE(RoutedReply)
KINGCUPSEAM_WIRE_TYPE(RoutedReplyPart)
KINGCUPSEAM_WIRE_TYPE(RoutedCancel)

#undef KINGCUPSEAM_WIRE_TYPE

} // namespace kingcupseam::transport
