#include "ownership/table_codec.h"

namespace kingcupseam::ownership {

namespace {

// Lists of shards are mostly ascending; differences keep one byte for each.
template <typename List>
void write_shards(byte_writer& out, const List& shards) {
    out.number(shards.size());
    std::int64_t last = 0;
    for (const std::int64_t shard : shards) {
        const auto step = shard - last;
        out.number(step < 0 ? static_cast<std::uint64_t>(-step) * 2 - 1
                            : static_cast<std::uint64_t>(step) * 2);
        last = shard;
    }
}

std::vector<std::uint32_t> read_shards(byte_reader& in) {
    std::vector<std::uint32_t> shards(in.length());
    std::int64_t last = 0;
    for (auto& it : shards) {
        const auto coded = static_cast<std::int64_t>(in.number_up_to(2ULL * max_shards));
        last += coded % 2 == 0 ? coded / 2 : -(coded + 1) / 2;
        if (last < 0 || last >= static_cast<std::int64_t>(max_shards)) {
            in.fail("shard out of range");
        }
        it = static_cast<std::uint32_t>(last);
    }
    return shards;
}

template <typename Move>
void write_move(byte_writer& out, const Move& change) {
    out.text(change.service);
    write_shards(out, change.shards);
    write(out, change.hot_keys);
    out.text(change.to);
}

template <typename Move>
Move read_move(byte_reader& in) {
    Move change;
    change.service = in.text();
    change.shards = read_shards(in);
    change.hot_keys = read_texts(in);
    change.to = in.text();
    return change;
}

void write(byte_writer& out, const register_upstream& change) {
    write(out, change.row);
    out.number(change.shards);
    write_shards(out, change.homes);
}
void write(byte_writer& out, const set_condition& change) {
    out.text(change.upstream);
    out.number(change.incarnation);
    out.number(static_cast<std::uint64_t>(change.condition));
    out.number(change.observed);
}
void write(byte_writer& out, const set_gate& change) {
    out.text(change.upstream);
    out.text(change.gate);
    out.text(change.standby);
}
void write(byte_writer& out, const begin_move& change) {
    write_move(out, change);
}
void write(byte_writer& out, const complete_move& change) {
    write_move(out, change);
}
void write(byte_writer& out, const set_homes& change) {
    out.text(change.service);
    write_shards(out, change.shards);
}
void write(byte_writer& out, const set_ledger_group& change) {
    out.number(change.group);
    write(out, change.replicas);
}

register_upstream read_register(byte_reader& in) {
    register_upstream change;
    change.row = read_upstream(in);
    change.shards = static_cast<std::uint32_t>(in.number_up_to(max_shards));
    const auto homes = read_shards(in);
    change.homes.insert(homes.begin(), homes.end());
    return change;
}

set_condition read_condition(byte_reader& in) {
    set_condition change;
    change.upstream = in.text();
    change.incarnation = in.number();
    change.condition = static_cast<upstream_status>(in.number_up_to(static_cast<int>(upstream_status::lost)));
    change.observed = in.number();
    return change;
}

set_gate read_gate(byte_reader& in) {
    set_gate change;
    change.upstream = in.text();
    change.gate = in.text();
    change.standby = in.text();
    return change;
}

set_homes read_homes(byte_reader& in) {
    set_homes change;
    change.service = in.text();
    change.shards = read_shards(in);
    return change;
}

set_ledger_group read_group(byte_reader& in) {
    set_ledger_group change;
    change.group = static_cast<std::uint32_t>(in.number_up_to(0xffffffff));
    change.replicas = read_ledger_group(in);
    return change;
}

// The numbers are the positions in the variant and part of the encoding.
command read_command(byte_reader& in) {
    switch (in.number_up_to(std::variant_size_v<command> - 1)) {
    case 0:
        return read_register(in);
    case 1:
        return read_condition(in);
    case 2:
        return read_gate(in);
    case 3:
        return read_move<begin_move>(in);
    case 4:
        return read_move<complete_move>(in);
    case 5:
        return read_homes(in);
    default:
        return read_group(in);
    }
}

} // namespace

std::string encode(const command& change) {
    byte_writer out;
    out.number(codec_version);
    out.number(change.index());
    std::visit([&out](const auto& it) { write(out, it); }, change);
    return out.take();
}

command decode_command(const std::string& bytes) {
    byte_reader in("command", bytes);
    if (in.number() != codec_version) {
        in.fail("unknown version of the encoding");
    }
    command change = read_command(in);
    in.expect_end();
    return change;
}

} // namespace kingcupseam::ownership
