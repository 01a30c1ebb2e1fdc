#include "app/instance/global_state.h"

#include <kingcupseam/transport.h>

namespace kingcupseam::app {

namespace {

std::string encode_result(const profile::change_result& source) {
    wire::ProfileChangeResult result;
    result.status = static_cast<std::int8_t>(source.status);
    result.name = source.in_force.name;
    result.version = static_cast<std::int64_t>(source.in_force.version);
    result.content = source.in_force.content;
    result.change_id = source.in_force.change_id;
    result.problem = source.problem;
    return transport::encode(result);
}

} // namespace

std::string global_state::apply(const std::string& command, std::uint64_t index) {
    const auto change = transport::decode<wire::GlobalCommand>(command);
    if (change.__isset.profile_change) {
        return apply_profile(change.profile_change, index);
    }
    if (change.__isset.formation) {
        apply_formation(change.formation, index);
    }
    if (change.__isset.homes) {
        apply_placement(change.homes, index);
    }
    if (change.__isset.mirror) {
        apply_mirror(change.mirror);
    }
    return {};
}

std::string global_state::apply_profile(const std::string& change, std::uint64_t index) {
    const auto result = profiles_.apply(profile::decode_change(change));
    if (result.status == profile::change_status::accepted) {
        visible_.profiles = profiles_.encode();
        visible_.version = static_cast<std::int64_t>(index);
    }
    return encode_result(result);
}

void global_state::apply_formation(const wire::GroupFormation& formation, std::uint64_t index) {
    auto& current = visible_.formations[formation.data_center];
    if (formation.generation != current.generation + 1) {
        return; // two leaders proposed the same generation; the first proposal is in force
    }
    current = formation;
    current.table.clear();
    const auto mirror = mirrors_.find(formation.data_center);
    if (mirror != mirrors_.end()) {
        current.table = mirror->second.table;
    }
    visible_.version = static_cast<std::int64_t>(index);
}

void global_state::apply_placement(const wire::ServiceHomes& placement, std::uint64_t index) {
    auto& current = visible_.homes[placement.service_name];
    if (current != placement) {
        current = placement;
        visible_.version = static_cast<std::int64_t>(index);
    }
}

void global_state::apply_mirror(const wire::TableMirror& mirror) {
    const auto formation = visible_.formations.find(mirror.data_center);
    if (formation == visible_.formations.end() || formation->second.generation != mirror.generation) {
        return; // sent by a group that has been replaced
    }
    auto& current = mirrors_[mirror.data_center];
    if (mirror.generation > current.generation || mirror.version > current.version) {
        current = mirror;
    }
}

std::string global_state::save() const {
    wire::GlobalState state = visible_;
    state.profiles = profiles_.encode();
    state.mirrors = mirrors_;
    return transport::encode(state);
}

void global_state::restore(const std::string& saved) {
    visible_ = transport::decode<wire::GlobalState>(saved);
    mirrors_ = std::exchange(visible_.mirrors, {});
    profiles_ = visible_.profiles.empty() ? profile::store() : profile::store::decode(visible_.profiles);
}

std::string encode_profile_change(const profile::change& change) {
    wire::GlobalCommand command;
    command.__set_profile_change(profile::encode(change));
    return transport::encode(command);
}

std::string encode_formation(const wire::GroupFormation& formation) {
    wire::GlobalCommand command;
    command.__set_formation(formation);
    return transport::encode(command);
}

std::string encode_placement(const wire::ServiceHomes& placement) {
    wire::GlobalCommand command;
    command.__set_homes(placement);
    return transport::encode(command);
}

std::string encode_mirror(const wire::TableMirror& mirror) {
    wire::GlobalCommand command;
    command.__set_mirror(mirror);
    return transport::encode(command);
}

profile::change_result decode_change_result(const std::string& bytes) {
    const auto source = transport::decode<wire::ProfileChangeResult>(bytes);
    profile::change_result result;
    result.status = static_cast<profile::change_status>(source.status);
    result.in_force = {source.name, static_cast<std::uint64_t>(source.version), source.content,
                       source.change_id};
    result.problem = source.problem;
    return result;
}

} // namespace kingcupseam::app
