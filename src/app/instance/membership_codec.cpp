#include "app/instance/membership_codec.h"

#include <kingcupseam/error.h>
#include <kingcupseam/transport.h>

#include <peer_types.h>

namespace kingcupseam::app {

namespace {

wire::Member to_wire(const instance_id& source) {
    wire::Member result;
    result.name = source.name;
    result.incarnation = static_cast<std::int64_t>(source.incarnation);
    return result;
}

instance_id from_wire(const wire::Member& source) {
    return {source.name, static_cast<std::uint64_t>(source.incarnation)};
}

endpoint_address address_from_wire(const std::string& text) {
    return text.empty() ? endpoint_address{} : parse_endpoint("datagram", "address", text);
}

std::string address_to_wire(const endpoint_address& source) {
    return source.port == 0 ? std::string() : to_string(source);
}

} // namespace

std::string encode_membership_message(const membership::message& source) {
    wire::MembershipProbe result;
    result.kind = static_cast<std::int8_t>(source.kind);
    result.sequence = static_cast<std::int64_t>(source.sequence);
    result.sender = to_wire(source.from);
    result.subject = to_wire(source.subject);
    result.address = address_to_wire(source.address);
    for (const auto& it : source.changes) {
        wire::MembershipChange change;
        change.name = it.id.name;
        change.incarnation = static_cast<std::int64_t>(it.id.incarnation);
        change.status = static_cast<std::int8_t>(it.condition);
        change.version = static_cast<std::int32_t>(it.version);
        change.address = address_to_wire(it.address);
        result.changes.push_back(std::move(change));
    }
    return transport::encode(result);
}

membership::message decode_membership_message(std::string_view payload) {
    const auto source = transport::decode<wire::MembershipProbe>(payload);
    constexpr auto last_kind = static_cast<std::int8_t>(membership::message_kind::join_reply);
    constexpr auto last_status = static_cast<std::int8_t>(membership::status::left);
    if (source.kind < 0 || source.kind > last_kind) {
        throw transport::malformed_frame("unknown kind of membership message");
    }
    membership::message result;
    result.kind = static_cast<membership::message_kind>(source.kind);
    result.sequence = static_cast<std::uint64_t>(source.sequence);
    result.from = from_wire(source.sender);
    result.subject = from_wire(source.subject);
    try {
        result.address = address_from_wire(source.address);
        for (const auto& it : source.changes) {
            if (it.status < 0 || it.status > last_status) {
                throw transport::malformed_frame("unknown membership status");
            }
            result.changes.push_back({{it.name, static_cast<std::uint64_t>(it.incarnation)},
                                      static_cast<membership::status>(it.status),
                                      static_cast<std::uint32_t>(it.version),
                                      address_from_wire(it.address)});
        }
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
    return result;
}

} // namespace kingcupseam::app
