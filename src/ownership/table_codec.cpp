#include "ownership/table_codec.h"

#include <kingcupseam/error.h>
#include <kingcupseam/wire.h>

namespace kingcupseam::ownership {

namespace {

constexpr const char* table_source = "table";

// Indexes are raised by one: no_upstream, the most frequent value of `next`, becomes zero and takes one byte.
std::int64_t pack_index(std::uint32_t index) {
    return static_cast<std::uint32_t>(index + 1U);
}

std::uint32_t unpack_index(std::int64_t value) {
    if (value < 0 || value > static_cast<std::int64_t>(no_upstream)) {
        throw invalid_input(table_source, "index", "must fit 32 bits");
    }
    return static_cast<std::uint32_t>(value) - 1U;
}

template <typename Field>
std::vector<wire::Run> encode_runs(const std::vector<shard_row>& rows, Field field) {
    std::vector<wire::Run> runs;
    for (std::size_t n = 0; n < rows.size();) {
        std::size_t end = n + 1;
        while (end < rows.size() && field(rows[end]) == field(rows[n])) {
            ++end;
        }
        auto& run = runs.emplace_back();
        run.value = field(rows[n]);
        if (end - n > 1) {
            run.__set_count(static_cast<std::int32_t>(end - n));
        }
        n = end;
    }
    return runs;
}

template <typename Assign>
void decode_runs(const std::vector<wire::Run>& runs, std::vector<shard_row>& rows, Assign assign) {
    std::size_t n = 0;
    for (const auto& it : runs) {
        const std::int64_t count = it.__isset.count ? it.count : 1;
        if (count < 1 || static_cast<std::uint64_t>(count) > rows.size() - n) {
            throw invalid_input(table_source, "run", "does not fit the number of shards");
        }
        for (const auto end = n + static_cast<std::size_t>(count); n < end; ++n) {
            assign(rows[n], it.value);
        }
    }
    if (n != rows.size()) {
        throw invalid_input(table_source, "run", "runs do not cover all shards");
    }
}

wire::ServiceRows to_wire(const std::string& name, const service_rows& service) {
    wire::ServiceRows out;
    out.name = name;
    out.shards = static_cast<std::int32_t>(service.shards.size());
    out.owners = encode_runs(service.shards, [](const shard_row& it) { return pack_index(it.owner); });
    out.targets = encode_runs(service.shards, [](const shard_row& it) { return pack_index(it.next); });
    out.epochs =
        encode_runs(service.shards, [](const auto& it) { return static_cast<std::int64_t>(it.epoch); });
    for (const auto& [key, row] : service.hot_keys) {
        auto& it = out.hot_keys.emplace_back();
        it.key = key;
        it.owner = pack_index(row.owner);
        it.target = pack_index(row.next);
        it.epoch = static_cast<std::int64_t>(row.epoch);
    }
    return out;
}

// max_shards limits all services together: a short input can state a long run of shards for each of them.
service_rows from_wire(const wire::ServiceRows& in, std::size_t& shards_left) {
    if (in.shards < 0 || static_cast<std::size_t>(in.shards) > shards_left) {
        throw invalid_input(table_source, "shards",
                            "must be 0 to " + std::to_string(max_shards) + " for all services together");
    }
    shards_left -= static_cast<std::size_t>(in.shards);
    service_rows service;
    service.shards.resize(static_cast<std::size_t>(in.shards));
    decode_runs(in.owners, service.shards, [](auto& it, auto value) { it.owner = unpack_index(value); });
    decode_runs(in.targets, service.shards, [](auto& it, auto value) { it.next = unpack_index(value); });
    decode_runs(in.epochs, service.shards,
                [](auto& it, auto value) { it.epoch = static_cast<epoch_number>(value); });
    for (const auto& it : in.hot_keys) {
        const shard_row row{unpack_index(it.owner), unpack_index(it.target),
                            static_cast<epoch_number>(it.epoch)};
        service.hot_keys.emplace(it.key, row);
    }
    return service;
}

bool valid_index(std::uint32_t index, std::size_t upstreams) {
    return index < upstreams || index == no_upstream;
}

void check_indexes(const table& rows) {
    const auto check = [n = rows.upstreams.size()](const shard_row& it) {
        if (!valid_index(it.owner, n) || (it.next != placed_elsewhere && !valid_index(it.next, n))) {
            throw invalid_input(table_source, "index", "unknown upstream index");
        }
    };
    for (const auto& [name, service] : rows.services) {
        for (const auto& it : service.shards) {
            check(it);
        }
        for (const auto& [key, it] : service.hot_keys) {
            check(it);
        }
        if (!service.hot_keys.empty() && service.shards.empty()) {
            throw invalid_input(table_source, "hot_keys", "a service without shards has none");
        }
    }
}

} // namespace

upstream_status condition_of(const std::string& source, std::int8_t value) {
    if (value < 0 || value > static_cast<std::int8_t>(upstream_status::lost)) {
        throw invalid_input(source, "condition", "must be 0 to 3");
    }
    return static_cast<upstream_status>(value);
}

wire::UpstreamRow to_wire(const upstream_row& row) {
    wire::UpstreamRow out;
    out.name = row.name;
    out.incarnation = static_cast<std::int64_t>(row.incarnation);
    out.service_name = row.service;
    out.address = row.address;
    out.slots = static_cast<std::int32_t>(row.slots);
    out.connections = static_cast<std::int32_t>(row.connections);
    out.checks_grants = row.checks_grants;
    out.condition = static_cast<std::int8_t>(row.condition);
    out.gate = row.gate;
    out.standby = row.standby;
    out.epoch = static_cast<std::int64_t>(row.epoch);
    out.version = static_cast<std::int64_t>(row.version);
    return out;
}

upstream_row from_wire(const std::string& source, const wire::UpstreamRow& row) {
    return {row.name,
            static_cast<std::uint64_t>(row.incarnation),
            row.service_name,
            row.address,
            static_cast<std::uint32_t>(row.slots),
            static_cast<std::uint32_t>(row.connections),
            row.checks_grants,
            condition_of(source, row.condition),
            row.gate,
            row.standby,
            static_cast<epoch_number>(row.epoch),
            static_cast<epoch_number>(row.version)};
}

wire::LedgerGroup to_wire(const ledger_group& group) {
    wire::LedgerGroup out;
    out.replicas = group.replicas;
    out.joining = group.joining;
    out.reset_ms = group.reset_ms;
    return out;
}

ledger_group from_wire(const wire::LedgerGroup& group) {
    return {group.replicas, group.joining, group.reset_ms};
}

std::string encode(const table& rows) {
    wire::Table out;
    out.data_center = rows.data_center;
    out.generation = static_cast<std::int64_t>(rows.generation);
    out.version = static_cast<std::int64_t>(rows.version);
    out.upstreams.reserve(rows.upstreams.size());
    for (const auto& it : rows.upstreams) {
        out.upstreams.push_back(to_wire(it));
    }
    for (const auto& [name, service] : rows.services) {
        out.services.push_back(to_wire(name, service));
    }
    for (const auto& it : rows.ledger_groups) {
        out.ledger_groups.push_back(to_wire(it));
    }
    return wire::to_bytes(out);
}

table decode_table(const std::string& bytes) {
    const auto in = wire::parse_exact<wire::Table>(table_source, bytes);
    table rows;
    rows.data_center = in.data_center;
    rows.generation = static_cast<std::uint64_t>(in.generation);
    rows.version = static_cast<std::uint64_t>(in.version);
    rows.upstreams.reserve(in.upstreams.size());
    for (const auto& it : in.upstreams) {
        rows.upstreams.push_back(from_wire(table_source, it));
    }
    std::size_t shards_left = max_shards;
    for (const auto& it : in.services) {
        rows.services.emplace(it.name, from_wire(it, shards_left));
    }
    for (const auto& it : in.ledger_groups) {
        rows.ledger_groups.push_back(from_wire(it));
    }
    check_indexes(rows);
    return rows;
}

} // namespace kingcupseam::ownership
