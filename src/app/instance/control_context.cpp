#include "app/instance/control_context.h"

#include <kingcupseam/error.h>

#include <xxhash.h>

namespace kingcupseam::app {

namespace {

consensus::member_id member_from_wire(const wire::Member& source) {
    return {source.name, static_cast<std::uint64_t>(source.incarnation)};
}

wire::Member member_to_wire(const consensus::member_id& source) {
    wire::Member result;
    result.name = source.name;
    result.incarnation = static_cast<std::int64_t>(source.incarnation);
    return result;
}

wire::Snapshot snapshot_to_wire(const storage::snapshot& source) {
    wire::Snapshot result;
    result.index = static_cast<std::int64_t>(source.index);
    result.term = static_cast<std::int64_t>(source.term);
    result.membership = source.membership;
    result.data = source.data;
    return result;
}

} // namespace

bool control_context::update_instance(const instance_info& info) {
    if (info.name == settings.name || info.name.empty()) {
        return false;
    }
    auto& current = instances[info.name];
    if (info.incarnation < current.incarnation || info == current) {
        return false;
    }
    current = info;
    return true;
}

transport::peer_link* control_context::link_to(const std::string& name) {
    const auto it = instances.find(name);
    if (it == instances.end() || name == settings.name) {
        return nullptr;
    }
    return &mesh.link_to(name, it->second.address);
}

instance_info control_context::self() const {
    return {settings.name, incarnation, settings.data_center, settings.peer_listen};
}

wire::InstanceInfo to_wire(const instance_info& source) {
    wire::InstanceInfo result;
    result.name = source.name;
    result.incarnation = static_cast<std::int64_t>(source.incarnation);
    result.data_center = source.data_center;
    result.address = to_string(source.address);
    return result;
}

instance_info from_wire(const wire::InstanceInfo& source) {
    try {
        return {source.name, static_cast<std::uint64_t>(source.incarnation), source.data_center,
                parse_endpoint("frame", "instance.address", source.address)};
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
}

wire::ConsensusMessage to_wire(const consensus::message& source) {
    wire::ConsensusMessage result;
    result.kind = static_cast<std::int8_t>(source.kind);
    result.group = static_cast<std::int64_t>(source.group);
    result.sender = member_to_wire(source.from);
    result.receiver = member_to_wire(source.to);
    result.term = static_cast<std::int64_t>(source.term);
    result.last_index = static_cast<std::int64_t>(source.last_index);
    result.last_term = static_cast<std::int64_t>(source.last_term);
    result.commit_index = static_cast<std::int64_t>(source.commit_index);
    for (const auto& it : source.entries) {
        wire::LogEntry entry;
        entry.index = static_cast<std::int64_t>(it.index);
        entry.term = static_cast<std::int64_t>(it.term);
        entry.kind = static_cast<std::int8_t>(it.kind);
        entry.data = it.data;
        result.entries.push_back(std::move(entry));
    }
    if (source.state) {
        result.__set_state(snapshot_to_wire(*source.state));
    }
    result.accepted = source.accepted;
    result.match_index = static_cast<std::int64_t>(source.match_index);
    result.round = static_cast<std::int64_t>(source.round);
    result.provisional = source.provisional;
    return result;
}

consensus::message from_wire(const wire::ConsensusMessage& source) {
    consensus::message result;
    result.kind = static_cast<consensus::message_kind>(source.kind);
    result.group = static_cast<std::uint64_t>(source.group);
    result.from = member_from_wire(source.sender);
    result.to = member_from_wire(source.receiver);
    result.term = static_cast<std::uint64_t>(source.term);
    result.last_index = static_cast<std::uint64_t>(source.last_index);
    result.last_term = static_cast<std::uint64_t>(source.last_term);
    result.commit_index = static_cast<std::uint64_t>(source.commit_index);
    for (const auto& it : source.entries) {
        result.entries.push_back({static_cast<std::uint64_t>(it.index), static_cast<std::uint64_t>(it.term),
                                  static_cast<storage::entry_kind>(it.kind), it.data});
    }
    if (source.__isset.state) {
        result.state = storage::snapshot{static_cast<std::uint64_t>(source.state.index),
                                         static_cast<std::uint64_t>(source.state.term),
                                         source.state.membership, source.state.data};
    }
    result.accepted = source.accepted;
    result.match_index = static_cast<std::uint64_t>(source.match_index);
    result.round = static_cast<std::uint64_t>(source.round);
    result.provisional = source.provisional;
    return result;
}

std::uint64_t group_number(const std::string& data_center, std::uint64_t generation) {
    constexpr unsigned generation_bits = 24;
    const auto name_hash = XXH3_64bits(data_center.data(), data_center.size());
    return (name_hash << generation_bits) | (generation & ((1U << generation_bits) - 1));
}

} // namespace kingcupseam::app
