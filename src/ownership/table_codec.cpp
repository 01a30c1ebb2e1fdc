#include "ownership/table_codec.h"

namespace kingcupseam::ownership {

namespace {

// no_upstream is the most frequent value of `next`; adding one makes it zero, which takes one byte.
std::uint64_t pack(std::uint32_t index) {
    return static_cast<std::uint32_t>(index + 1U);
}
std::uint32_t unpack(std::uint64_t value) {
    return static_cast<std::uint32_t>(value) - 1U;
}

// Each column is run-length coded by itself: owners change far more often along the shards than the others.
template <typename Field>
void write_column(byte_writer& out, const std::vector<shard_row>& rows, Field field) {
    for (std::size_t n = 0; n < rows.size();) {
        std::size_t end = n + 1;
        while (end < rows.size() && field(rows[end]) == field(rows[n])) {
            ++end;
        }
        out.number(end - n);
        out.number(field(rows[n]));
        n = end;
    }
}

template <typename Assign>
void read_column(byte_reader& in, std::vector<shard_row>& rows, std::uint64_t limit, Assign assign) {
    for (std::size_t n = 0; n < rows.size();) {
        const auto run = in.number_up_to(rows.size() - n);
        if (run == 0) {
            in.fail("empty run of shards");
        }
        const auto value = in.number_up_to(limit);
        for (const auto end = n + run; n < end; ++n) {
            assign(rows[n], value);
        }
    }
}

void write(byte_writer& out, const service_rows& service) {
    out.number(service.shards.size());
    write_column(out, service.shards, [](const shard_row& it) { return pack(it.owner); });
    write_column(out, service.shards, [](const shard_row& it) { return pack(it.next); });
    write_column(out, service.shards, [](const shard_row& it) { return it.epoch; });
    out.number(service.hot_keys.size());
    for (const auto& [key, row] : service.hot_keys) {
        out.text(key);
        out.number(pack(row.owner));
        out.number(pack(row.next));
        out.number(row.epoch);
    }
}

// The limit holds for all services together, since a run of shards takes few bytes.
service_rows read_service(byte_reader& in, std::size_t& shards_left) {
    service_rows service;
    service.shards.resize(in.number_up_to(shards_left));
    shards_left -= service.shards.size();
    read_column(in, service.shards, no_upstream, [](auto& it, auto value) { it.owner = unpack(value); });
    read_column(in, service.shards, no_upstream, [](auto& it, auto value) { it.next = unpack(value); });
    read_column(in, service.shards, ~0ULL, [](auto& it, auto value) { it.epoch = value; });
    for (auto n = in.length(); n > 0; --n) {
        auto key = in.text();
        shard_row row;
        row.owner = unpack(in.number_up_to(no_upstream));
        row.next = unpack(in.number_up_to(no_upstream));
        row.epoch = in.number();
        service.hot_keys.emplace(std::move(key), row);
    }
    return service;
}

bool known_index(std::uint32_t index, std::size_t upstreams) {
    return index < upstreams || index == no_upstream;
}

void check_indexes(const byte_reader& in, const table& rows) {
    const auto valid = [&rows](const shard_row& it) {
        const auto n = rows.upstreams.size();
        return known_index(it.owner, n) && (it.next == leaving || known_index(it.next, n));
    };
    for (const auto& [name, service] : rows.services) {
        for (const auto& it : service.shards) {
            if (!valid(it)) {
                in.fail("unknown upstream index");
            }
        }
        for (const auto& [key, it] : service.hot_keys) {
            if (!valid(it) || service.shards.empty()) {
                in.fail("unknown upstream index");
            }
        }
    }
}

} // namespace

void write(byte_writer& out, const std::vector<std::string>& list) {
    out.number(list.size());
    for (const auto& it : list) {
        out.text(it);
    }
}

std::vector<std::string> read_texts(byte_reader& in) {
    std::vector<std::string> list(in.length());
    for (auto& it : list) {
        it = in.text();
    }
    return list;
}

void write(byte_writer& out, const upstream_row& row) {
    out.text(row.name);
    out.number(row.incarnation);
    out.text(row.service);
    out.text(row.address);
    out.number(row.slots);
    out.number(row.connections);
    out.flag(row.checks_grants);
    out.number(static_cast<std::uint64_t>(row.condition));
    out.text(row.gate);
    out.text(row.standby);
    out.number(row.epoch);
    out.number(row.version);
}

upstream_row read_upstream(byte_reader& in) {
    upstream_row row;
    row.name = in.text();
    row.incarnation = in.number();
    row.service = in.text();
    row.address = in.text();
    row.slots = static_cast<std::uint32_t>(in.number_up_to(0xffffffff));
    row.connections = static_cast<std::uint32_t>(in.number_up_to(0xffffffff));
    row.checks_grants = in.flag();
    row.condition = static_cast<upstream_status>(in.number_up_to(static_cast<int>(upstream_status::lost)));
    row.gate = in.text();
    row.standby = in.text();
    row.epoch = in.number();
    row.version = in.number();
    return row;
}

void write(byte_writer& out, const ledger_group& group) {
    write(out, group.replicas);
    write(out, group.joining);
}

ledger_group read_ledger_group(byte_reader& in) {
    ledger_group group;
    group.replicas = read_texts(in);
    group.joining = read_texts(in);
    return group;
}

std::string encode(const table& rows) {
    byte_writer out;
    out.number(codec_version);
    out.text(rows.data_center);
    out.number(rows.generation);
    out.number(rows.version);
    out.number(rows.upstreams.size());
    for (const auto& it : rows.upstreams) {
        write(out, it);
    }
    out.number(rows.services.size());
    for (const auto& [name, service] : rows.services) {
        out.text(name);
        write(out, service);
    }
    out.number(rows.ledger_groups.size());
    for (const auto& it : rows.ledger_groups) {
        write(out, it);
    }
    return out.take();
}

table decode_table(const std::string& bytes) {
    byte_reader in("table", bytes);
    if (in.number() != codec_version) {
        in.fail("unknown version of the encoding");
    }
    table rows;
    rows.data_center = in.text();
    rows.generation = in.number();
    rows.version = in.number();
    for (auto n = in.length(); n > 0; --n) {
        rows.upstreams.push_back(read_upstream(in));
    }
    std::size_t shards_left = max_shards;
    for (auto n = in.length(); n > 0; --n) {
        auto name = in.text();
        rows.services.emplace(std::move(name), read_service(in, shards_left));
    }
    for (auto n = in.length(); n > 0; --n) {
        rows.ledger_groups.push_back(read_ledger_group(in));
    }
    in.expect_end();
    check_indexes(in, rows);
    return rows;
}

} // namespace kingcupseam::ownership
