#include "ownership/table_codec.h"

#include <kingcupseam/error.h>
#include <kingcupseam/wire.h>

namespace kingcupseam::ownership {

namespace {

constexpr const char* command_source = "command";

// Lists of shards are mostly ascending, so that most differences take one byte.
template <typename List>
std::vector<std::int32_t> to_deltas(const List& shards) {
    std::vector<std::int32_t> deltas;
    deltas.reserve(shards.size());
    std::uint32_t last = 0;
    for (const auto shard : shards) {
        deltas.push_back(static_cast<std::int32_t>(shard - last));
        last = shard;
    }
    return deltas;
}

std::vector<std::uint32_t> from_deltas(const std::vector<std::int32_t>& deltas) {
    std::vector<std::uint32_t> shards;
    shards.reserve(deltas.size());
    std::int64_t last = 0;
    for (const std::int64_t delta : deltas) {
        last += delta;
        if (last < 0 || last >= static_cast<std::int64_t>(max_shards)) {
            throw invalid_input(command_source, "shards", "shard out of range");
        }
        shards.push_back(static_cast<std::uint32_t>(last));
    }
    return shards;
}

template <typename Change>
wire::Move to_wire_move(const Change& change) {
    wire::Move out;
    out.service_name = change.service;
    out.shards = to_deltas(change.shards);
    out.hot_keys = change.hot_keys;
    out.to = change.to;
    return out;
}

template <typename Change>
Change from_wire_move(const wire::Move& in) {
    return {in.service_name, from_deltas(in.shards), in.hot_keys, in.to};
}

void set_field(wire::OwnershipCommand& out, const register_upstream& change) {
    wire::RegisterUpstream value;
    value.row = to_wire(change.row);
    value.shards = static_cast<std::int32_t>(change.shards);
    value.homes = to_deltas(change.placed_shards);
    out.__set_register_upstream(value);
}
void set_field(wire::OwnershipCommand& out, const set_condition& change) {
    wire::SetCondition value;
    value.upstream = change.upstream;
    value.incarnation = static_cast<std::int64_t>(change.incarnation);
    value.condition = static_cast<std::int8_t>(change.condition);
    value.observed = static_cast<std::int64_t>(change.observed);
    out.__set_set_condition(value);
}
void set_field(wire::OwnershipCommand& out, const set_gate& change) {
    wire::SetGate value;
    value.upstream = change.upstream;
    value.gate = change.gate;
    value.standby = change.standby;
    out.__set_set_gate(value);
}
void set_field(wire::OwnershipCommand& out, const begin_move& change) {
    out.__set_begin_move(to_wire_move(change));
}
void set_field(wire::OwnershipCommand& out, const complete_move& change) {
    out.__set_complete_move(to_wire_move(change));
}
void set_field(wire::OwnershipCommand& out, const set_placement& change) {
    wire::SetHomes value;
    value.service_name = change.service;
    value.shards = to_deltas(change.shards);
    out.__set_set_homes(value);
}
void set_field(wire::OwnershipCommand& out, const set_ledger_group& change) {
    wire::SetLedgerGroup value;
    value.group = static_cast<std::int32_t>(change.group);
    value.replicas = to_wire(change.replicas);
    out.__set_set_ledger_group(value);
}

register_upstream from_wire_change(const wire::RegisterUpstream& in) {
    if (in.shards < 0 || static_cast<std::uint32_t>(in.shards) > max_shards) {
        throw invalid_input(command_source, "shards", "must be 0 to " + std::to_string(max_shards));
    }
    const auto placed = from_deltas(in.homes);
    return {from_wire(command_source, in.row),
            static_cast<std::uint32_t>(in.shards),
            {placed.begin(), placed.end()}};
}

set_condition from_wire_change(const wire::SetCondition& in) {
    return {in.upstream, static_cast<std::uint64_t>(in.incarnation),
            condition_of(command_source, in.condition), static_cast<epoch_number>(in.observed)};
}

std::vector<command> commands_in(const wire::OwnershipCommand& in) {
    std::vector<command> found;
    if (in.__isset.register_upstream) {
        found.emplace_back(from_wire_change(in.register_upstream));
    }
    if (in.__isset.set_condition) {
        found.emplace_back(from_wire_change(in.set_condition));
    }
    if (in.__isset.set_gate) {
        found.emplace_back(set_gate{in.set_gate.upstream, in.set_gate.gate, in.set_gate.standby});
    }
    if (in.__isset.begin_move) {
        found.emplace_back(from_wire_move<begin_move>(in.begin_move));
    }
    if (in.__isset.complete_move) {
        found.emplace_back(from_wire_move<complete_move>(in.complete_move));
    }
    if (in.__isset.set_homes) {
        found.emplace_back(set_placement{in.set_homes.service_name, from_deltas(in.set_homes.shards)});
    }
    if (in.__isset.set_ledger_group) {
        found.emplace_back(set_ledger_group{static_cast<std::uint32_t>(in.set_ledger_group.group),
                                            from_wire(in.set_ledger_group.replicas)});
    }
    return found;
}

} // namespace

std::string encode(const command& change) {
    wire::OwnershipCommand out;
    std::visit([&out](const auto& it) { set_field(out, it); }, change);
    return wire::to_bytes(out);
}

command decode_command(const std::string& bytes) {
    auto found = commands_in(wire::parse_exact<wire::OwnershipCommand>(command_source, bytes));
    if (found.size() != 1) {
        throw invalid_input(command_source, "bytes", "must hold exactly one command");
    }
    return std::move(found.front());
}

} // namespace kingcupseam::ownership
