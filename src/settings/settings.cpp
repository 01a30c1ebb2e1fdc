#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/settings.h>

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace kingcupseam::settings {

namespace {

using config::table;

constexpr std::size_t max_seeds = 64;
constexpr std::size_t max_global_voters = 7;

std::string read_name(const table& input, const std::string& key) {
    std::string name = input.string(key, 1, 64);
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    if (!std::all_of(name.begin(), name.end(), allowed)) {
        input.fail(key, "must consist of [A-Za-z0-9._-]");
    }
    return name;
}

endpoint_address read_address(const table& input, const std::string& key) {
    auto address = parse_endpoint(input.source(), input.path(key), input.string(key, 1, 64));
    in_addr ignored{};
    if (::inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1) {
        input.fail(key, "must be IP:PORT with an IPv4 address");
    }
    return address;
}

std::string read_token(const table& input, const std::string& key) {
    std::string token = input.string(key, 16, 256);
    // The token is sent in an HTTP header, where a space or control character would terminate it.
    if (!std::all_of(token.begin(), token.end(), [](unsigned char c) { return std::isgraph(c) != 0; })) {
        input.fail(key, "must consist of visible ASCII characters");
    }
    return token;
}

peer read_seed(const table& input) {
    peer result;
    result.name = read_name(input, "name");
    result.data_center = read_name(input, "data_center");
    result.address = read_address(input, "address");
    input.reject_unknown_keys();
    return result;
}

std::vector<peer> read_seeds(const table& root) {
    std::vector<peer> result;
    std::set<std::string> names;
    const auto entries = root.tables("seeds");
    if (entries.size() > max_seeds) {
        root.fail("seeds", "must have at most " + std::to_string(max_seeds) + " entries");
    }
    for (const auto& it : entries) {
        result.push_back(read_seed(it));
        if (!names.insert(result.back().name).second) {
            it.fail("name", "is used by two seeds");
        }
    }
    return result;
}

void read_listeners(const table& root, instance_settings& result) {
    result.peer_listen = read_address(root, "peer_listen");
    result.caller_listen = read_address(root, "caller_listen");
    result.upstream_listen = read_address(root, "upstream_listen");
    result.operator_listen = read_address(root, "operator_listen");
}

void read_times(const table& root, instance_settings& result) {
    result.grant_lease = root.milliseconds("grant_lease_ms", 50, 60'000, result.grant_lease);
    result.grant_interval = root.milliseconds("grant_interval_ms", 10, 30'000, result.grant_interval);
    result.heartbeat_interval =
        root.milliseconds("heartbeat_interval_ms", 10, 10'000, result.heartbeat_interval);
    result.heartbeat_timeout =
        root.milliseconds("heartbeat_timeout_ms", 20, 60'000, result.heartbeat_timeout);
    result.shutdown_grace = root.milliseconds("shutdown_grace_ms", 0, 600'000, result.shutdown_grace);
}

void read_logging(const table& root, instance_settings& result) {
    static const std::vector<std::string> levels{"trace", "debug", "info", "warn", "error"};
    result.log = static_cast<log_format>(root.choice("log", {"text", "json"}, 0));
    result.log_level = levels[root.choice("log_level", levels, 2)];
}

void check_listeners(const table& root, const instance_settings& parsed) {
    // Other instances connect to this address as this instance announces it, so it must not be the wildcard.
    if (parsed.peer_listen.ip == "0.0.0.0") {
        root.fail("peer_listen", "must be an address that other instances can reach, not 0.0.0.0");
    }
    const std::vector<std::pair<std::string, endpoint_address>> listeners{
        {"peer_listen", parsed.peer_listen},
        {"caller_listen", parsed.caller_listen},
        {"upstream_listen", parsed.upstream_listen},
        {"operator_listen", parsed.operator_listen}};
    std::set<std::uint16_t> ports;
    for (const auto& [key, address] : listeners) {
        if (!ports.insert(address.port).second) {
            root.fail(key, "must have a port that no other listener uses");
        }
    }
}

void check_times(const table& root, const instance_settings& parsed) {
    if (parsed.grant_interval * 2 >= parsed.grant_lease) {
        root.fail("grant_interval_ms", "must be below half of grant_lease_ms, so that one lost renewal does "
                                       "not end the grant");
    }
    if (parsed.heartbeat_timeout < parsed.heartbeat_interval * 2) {
        root.fail("heartbeat_timeout_ms", "must be at least twice heartbeat_interval_ms, so that one late "
                                          "heartbeat does not close the link");
    }
}

void check_voters(const table& root, const instance_settings& parsed) {
    if (parsed.global_voters.size() > max_global_voters) {
        root.fail("global_voters", "must have at most " + std::to_string(max_global_voters) + " entries");
    }
    std::set<std::string> known{parsed.name};
    for (const auto& it : parsed.seeds) {
        known.insert(it.name);
    }
    std::set<std::string> voters;
    for (const auto& it : parsed.global_voters) {
        if (!known.contains(it)) {
            root.fail("global_voters", "must name seeds or this instance; '" + it + "' is neither");
        }
        if (!voters.insert(it).second) {
            root.fail("global_voters", "names '" + it + "' twice");
        }
    }
    if (voters.contains(parsed.name) && !parsed.data_folder) {
        root.fail("data_folder", "is missing; an instance in global_voters must be durable");
    }
}

void check_own_seed(const table& root, const instance_settings& parsed) {
    for (const auto& it : parsed.seeds) {
        if (it.name != parsed.name) {
            continue;
        }
        if (it.data_center != parsed.data_center) {
            root.fail("seeds", "gives this instance a data centre that differs from data_center");
        }
        if (it.address != parsed.peer_listen) {
            root.fail("seeds", "gives this instance an address that differs from peer_listen");
        }
    }
}

} // namespace

instance_settings parse_settings(const std::string& source, const std::string& text) {
    const table root = table::parse(source, text);
    instance_settings result;
    result.name = read_name(root, "name");
    result.data_center = read_name(root, "data_center");
    read_listeners(root, result);
    result.operator_token = read_token(root, "operator_token");
    if (root.has("data_folder")) {
        result.data_folder = root.string("data_folder", 1, 4096);
    }
    result.seeds = read_seeds(root);
    result.global_voters = root.strings("global_voters");
    result.data_center_size = static_cast<std::uint32_t>(
        root.integer("data_center_size", 1, 1024, std::int64_t{result.data_center_size}));
    result.routing = static_cast<routing_mode>(root.choice("routing", {"gate", "direct"}, 0));
    read_logging(root, result);
    read_times(root, result);
    root.reject_unknown_keys();
    check_listeners(root, result);
    check_times(root, result);
    check_voters(root, result);
    check_own_seed(root, result);
    return result;
}

instance_settings load_settings(const std::filesystem::path& file) {
    return parse_settings(file.string(), config::read_file(file));
}

} // namespace kingcupseam::settings
