#include <kingcupseam/directory.h>
#include <kingcupseam/wire.h>

#include <directory_types.h>

#include <algorithm>

namespace kingcupseam::directory {

namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

std::int64_t to_ms(duration value) {
    return value.count() / microseconds_per_millisecond;
}

duration from_ms(std::int64_t value) {
    return std::chrono::milliseconds(value);
}

wire::Route to_wire(const route& source) {
    wire::Route result;
    result.name = source.name;
    result.host = source.host;
    result.path_prefix = source.path_prefix;
    result.at_most_once = source.runs == execution::at_most_once;
    result.timeout_ms = to_ms(source.timeout);
    result.target_latency_ms = to_ms(source.target_latency);
    result.priority = source.priority;
    result.attempts = source.attempts;
    for (const auto& it : source.targets) {
        wire::WeightedService target;
        target.service_name = it.service;
        target.weight = it.weight;
        result.targets.push_back(target);
    }
    return result;
}

route from_wire(const wire::Route& source) {
    route result{source.name,
                 source.host,
                 source.path_prefix,
                 source.at_most_once ? execution::at_most_once : execution::idempotent,
                 from_ms(source.timeout_ms),
                 from_ms(source.target_latency_ms),
                 source.priority,
                 source.attempts,
                 {}};
    for (const auto& it : source.targets) {
        result.targets.push_back({it.service_name, it.weight});
    }
    return result;
}

wire::RoutedService to_wire(const routed_service& source) {
    wire::RoutedService result;
    result.name = source.name;
    result.health_path = source.health_path;
    result.max_connections = source.max_connections;
    result.key_ranges = source.key_ranges;
    result.warm_up_ms = to_ms(source.warm_up);
    return result;
}

/// @param known routes equal to these are left out; null to encode all routes
wire::Configuration to_wire(const configuration& source, const configuration* known, bool with_document) {
    wire::Configuration result;
    result.version = static_cast<std::int64_t>(source.version);
    for (const auto& [name, it] : source.routes) {
        const auto before = known == nullptr ? source.routes.end() : known->routes.find(name);
        if (known == nullptr || before == known->routes.end() || before->second != it) {
            result.routes.push_back(to_wire(it));
        }
    }
    for (const auto& [name, it] : source.services) {
        result.services.push_back(to_wire(it));
    }
    result.limits.max_header_bytes = source.limits.max_header_bytes;
    result.limits.max_body_bytes = source.limits.max_body_bytes;
    result.limits.header_timeout_ms = to_ms(source.limits.header_timeout);
    result.limits.idle_timeout_ms = to_ms(source.limits.idle_timeout);
    if (with_document) {
        result.document = source.document;
    }
    return result;
}

/// @param routes those that the encoded configuration leaves out
configuration from_wire(const wire::Configuration& source, std::map<std::string, route> routes) {
    configuration result;
    result.version = static_cast<std::uint64_t>(source.version);
    result.routes = std::move(routes);
    for (const auto& it : source.routes) {
        result.routes.insert_or_assign(it.name, from_wire(it));
    }
    for (const auto& it : source.services) {
        result.services.emplace(it.name, routed_service{it.name, it.health_path, it.max_connections,
                                                        it.key_ranges, from_ms(it.warm_up_ms)});
    }
    result.limits = {source.limits.max_header_bytes, source.limits.max_body_bytes,
                     from_ms(source.limits.header_timeout_ms), from_ms(source.limits.idle_timeout_ms)};
    result.document = source.document;
    return result;
}

wire::RegisteredUpstream to_wire(const upstream& source) {
    wire::RegisteredUpstream result;
    result.id = source.incarnation.id;
    result.started_ms = source.incarnation.started_ms;
    result.service_name = source.service;
    result.data_center = source.data_center;
    result.address = to_string(source.address);
    result.slots = source.slots;
    result.draining = source.draining;
    result.left = source.left;
    return result;
}

upstream from_wire(const wire::RegisteredUpstream& source) {
    return {{source.id, source.started_ms},
            source.service_name,
            source.data_center,
            parse_endpoint("directory", "address", source.address),
            source.slots,
            source.draining,
            source.left};
}

key_number parse_key(std::int32_t value) {
    if (value < 0 || value > static_cast<std::int32_t>(last_key)) {
        throw invalid_input("directory", "key", "must be 0 to 65535");
    }
    return static_cast<key_number>(value);
}

wire::KeyRange to_wire(const std::string& service, const key_range& source) {
    wire::KeyRange result;
    result.service_name = service;
    result.first = static_cast<std::int32_t>(source.first);
    result.last = static_cast<std::int32_t>(source.last);
    result.upstream = source.owner.id;
    result.upstream_started_ms = source.owner.started_ms;
    result.epoch = static_cast<std::int64_t>(source.epoch);
    return result;
}

void put_range(std::map<std::string, range_map>& ranges, const wire::KeyRange& source) {
    const key_range value{parse_key(source.first),
                          parse_key(source.last),
                          {source.upstream, source.upstream_started_ms},
                          static_cast<std::uint64_t>(source.epoch)};
    ranges[source.service_name].insert_or_assign(value.first, value);
}

wire::RangeAssignment to_wire(const assignment& source) {
    wire::RangeAssignment result;
    result.service_name = source.service;
    result.first = static_cast<std::int32_t>(source.first);
    result.last = static_cast<std::int32_t>(source.last);
    result.upstream = source.owner.id;
    result.upstream_started_ms = source.owner.started_ms;
    return result;
}

void add_upstreams(const snapshot* base, const snapshot& target, wire::DirectoryUpdate& out) {
    for (const auto& [id, it] : target.upstreams) {
        const auto before = base == nullptr ? target.upstreams.end() : base->upstreams.find(id);
        if (base == nullptr || before == base->upstreams.end() || before->second != it) {
            out.upstreams.push_back(to_wire(it));
        }
    }
    if (base == nullptr) {
        return;
    }
    for (const auto& [id, it] : base->upstreams) {
        if (!target.upstreams.contains(id)) {
            out.removed_upstreams.push_back(id);
        }
    }
}

void add_ranges(const std::string& service, const range_map& before, const range_map& after,
                wire::DirectoryUpdate& out) {
    for (const auto& [first, it] : after) {
        const auto known = before.find(first);
        if (known == before.end() || known->second != it) {
            out.ranges.push_back(to_wire(service, it));
        }
    }
    for (const auto& [first, it] : before) {
        if (!after.contains(first)) {
            wire::RangeStart removed;
            removed.service_name = service;
            removed.first = static_cast<std::int32_t>(first);
            out.removed_ranges.push_back(removed);
        }
    }
}

void add_ranges(const snapshot* base, const snapshot& target, wire::DirectoryUpdate& out) {
    static const range_map none;
    for (const auto& [service, ranges] : target.ranges) {
        const auto before = base == nullptr ? target.ranges.end() : base->ranges.find(service);
        const bool known = base != nullptr && before != base->ranges.end();
        add_ranges(service, known ? before->second : none, ranges, out);
    }
}

void add_configuration(const snapshot* base, const snapshot& target, bool with_document,
                       wire::DirectoryUpdate& out) {
    const configuration* known = base == nullptr ? nullptr : base->config.get();
    if (!target.config || target.config.get() == known) {
        return;
    }
    out.__set_configuration(to_wire(*target.config, known, with_document));
    if (known == nullptr) {
        return;
    }
    for (const auto& [name, it] : known->routes) {
        if (!target.config->routes.contains(name)) {
            out.removed_routes.push_back(name);
        }
    }
}

std::string encode_update(const snapshot* base, const snapshot& target, bool with_document) {
    wire::DirectoryUpdate out;
    out.index = static_cast<std::int64_t>(target.index);
    out.base = base == nullptr ? 0 : static_cast<std::int64_t>(base->index);
    add_configuration(base, target, with_document, out);
    add_upstreams(base, target, out);
    add_ranges(base, target, out);
    return wire::to_bytes(out);
}

template <class T>
T read(std::string_view bytes) {
    try {
        return wire::from_bytes<T>(bytes);
    } catch (const wire::malformed_payload& e) {
        throw invalid_input("directory", "bytes", e.what());
    }
}

} // namespace

std::string encode(const command& source) {
    wire::DirectoryCommand out;
    if (source.config) {
        out.__set_configuration(to_wire(*source.config, nullptr, true));
    }
    for (const auto& it : source.upstreams) {
        out.upstreams.push_back(to_wire(it));
    }
    out.removed_upstreams = source.removed_upstreams;
    for (const auto& it : source.assignments) {
        out.assignments.push_back(to_wire(it));
    }
    out.renumber_epochs = source.renumber_epochs;
    return wire::to_bytes(out);
}

command decode_command(const std::string& bytes) {
    const auto in = read<wire::DirectoryCommand>(bytes);
    command result;
    if (in.__isset.configuration) {
        result.config = from_wire(in.configuration, {});
    }
    for (const auto& it : in.upstreams) {
        result.upstreams.push_back(from_wire(it));
    }
    result.removed_upstreams = in.removed_upstreams;
    for (const auto& it : in.assignments) {
        result.assignments.push_back({it.service_name,
                                      parse_key(it.first),
                                      parse_key(it.last),
                                      {it.upstream, it.upstream_started_ms}});
    }
    result.renumber_epochs = in.renumber_epochs;
    return result;
}

std::string encode(const snapshot& source) {
    return encode_update(nullptr, source, true);
}

snapshot decode_snapshot(const std::string& bytes) {
    return apply_difference({}, bytes);
}

std::string encode_difference(const snapshot* base, const snapshot& target) {
    return encode_update(base, target, false);
}

snapshot apply_difference(const snapshot& held, const std::string& bytes) {
    const auto in = read<wire::DirectoryUpdate>(bytes);
    if (in.base != 0 && static_cast<std::uint64_t>(in.base) != held.index) {
        throw invalid_input("directory", "base", "is not the index of the directory held here");
    }
    snapshot result = in.base == 0 ? snapshot{} : held;
    result.index = static_cast<std::uint64_t>(in.index);
    if (in.__isset.configuration) {
        auto routes = result.config ? result.config->routes : std::map<std::string, route>{};
        for (const auto& it : in.removed_routes) {
            routes.erase(it);
        }
        result.config = std::make_shared<const configuration>(from_wire(in.configuration, std::move(routes)));
    }
    for (const auto& it : in.upstreams) {
        result.upstreams.insert_or_assign(it.id, from_wire(it));
    }
    for (const auto& it : in.removed_upstreams) {
        result.upstreams.erase(it);
    }
    for (const auto& it : in.removed_ranges) {
        result.ranges[it.service_name].erase(parse_key(it.first));
    }
    for (const auto& it : in.ranges) {
        put_range(result.ranges, it);
    }
    return result;
}

} // namespace kingcupseam::directory
