#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/settings.h>

#include "support/failure.h"

#include <regex>
#include <sstream>

using namespace kingcupseam;
using test::failure_of;

namespace {

const std::string minimal = "name = \"a1\"\n"
                            "data_center = \"a\"\n"
                            "peer_listen = \"127.0.0.1:7100\"\n"
                            "caller_listen = \"127.0.0.1:7101\"\n"
                            "upstream_listen = \"127.0.0.1:7102\"\n"
                            "operator_listen = \"127.0.0.1:7103\"\n"
                            "operator_token = \"0123456789abcdef\"\n";

const std::string seed_b = "[[seeds]]\nname = \"b1\"\ndata_center = \"b\"\naddress = \"127.0.0.1:7200\"\n";

settings::instance_settings parse(const std::string& text) {
    return settings::parse_settings("node.toml", text);
}

/// Error for the minimal settings followed by @p more, or "no failure".
std::string problem_with(const std::string& more) {
    return failure_of([&] { parse(minimal + more); });
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against defaults that change unnoticed, against a shipped example that no longer parses, and against
// missing keys or files that go unreported.
TEST_CASE("a settings file is parsed, and missing keys and files are reported") {
    SUBCASE("a file with only the required keys gives the documented defaults") {
        const auto it = parse(minimal);
        CHECK(it.name == "a1");
        CHECK(it.caller_listen == endpoint_address{"127.0.0.1", 7101});
        CHECK_FALSE(it.data_folder);
        CHECK(it.grant_lease == std::chrono::milliseconds(600));
        CHECK(it.routing == settings::routing_mode::gate);
        CHECK(it.log == settings::log_format::text);
        CHECK(it.log_level == "info");
    }
    SUBCASE("the shipped example is valid") {
        const auto it = settings::load_settings(KINGCUPSEAM_SOURCE_DIR "/docs/example-settings.toml");
        CHECK(it.global_voters.size() == 3);
        CHECK(it.seeds[2].address.port == 7300);
        CHECK(it.data_folder == "/var/lib/kingcupseam");
    }
    SUBCASE("the error for a missing required key names it") {
        for (const char* key : {"name", "data_center", "peer_listen", "caller_listen", "upstream_listen",
                                "operator_listen", "operator_token"}) {
            std::string line("\n");
            line.append(key);
            const std::string message = failure_of([&] { parse(replaced("\n" + minimal, line, "\n#")); });
            CHECK(message.rfind("node.toml: " + std::string(key) + ": is missing", 0) == 0);
        }
    }
    SUBCASE("a file that does not exist is an I/O error, not an empty configuration") {
        CHECK_THROWS_AS(settings::load_settings("/nonexistent/node.toml"), io_error);
    }
}

// Guards against an instance that starts with a misspelt key or a value that it cannot use.
TEST_CASE("misspelt keys and invalid values in the settings are refused") {
    SUBCASE("the error for a misspelt key suggests the most similar one, also inside a seed") {
        CHECK(problem_with("grant_lease = 600\n") ==
              "node.toml: grant_lease: is not a known key; the nearest known key is grant_lease_ms");
        CHECK(problem_with(replaced(seed_b, "address", "adress")).rfind("node.toml: seeds[0].address: ", 0) ==
              0);
        CHECK(problem_with(seed_b + "port = 1\n").rfind("node.toml: seeds[0].port: is not", 0) == 0);
    }
    SUBCASE("values out of range") {
        for (const char* line :
             {"grant_lease_ms = 49", "grant_lease_ms = 60001", "grant_lease_ms = 0.5",
              "grant_interval_ms = 9", "heartbeat_interval_ms = 0", "heartbeat_timeout_ms = 60001",
              "shutdown_grace_ms = -1", "data_center_size = 0", "routing = \"both\"", "log = \"xml\"",
              "log_level = \"loud\"", "data_folder = \"\"", "global_voters = [1]", "seeds = 3"}) {
            const std::string key(line, std::string_view(line).find(' '));
            CHECK(problem_with(std::string(line) + "\n").rfind("node.toml: " + key + ": must be", 0) == 0);
        }
    }
    SUBCASE("an address that is not an IPv4 address with a port") {
        for (const char* address : {"localhost:7100", "127.0.0.1", "127.0.0.1:0", "[::1]:80", "1.2.3:80"}) {
            const auto text = replaced(minimal, "127.0.0.1:7100", address);
            CHECK(failure_of([&] { parse(text); }).rfind("node.toml: peer_listen: ", 0) == 0);
        }
    }
    SUBCASE(
        "a name or token with a space, which would break a header or a path, and a token that is too short") {
        CHECK(failure_of([&] { parse(replaced(minimal, "\"a1\"", "\"a 1\"")); }) ==
              "node.toml: name: must consist of [A-Za-z0-9._-]");
        CHECK(failure_of([&] {
                  parse(replaced(minimal, "0123456789abcdef", "0123456789 abcdef"));
              }).rfind("node.toml: operator_token: ", 0) == 0);
        CHECK(failure_of([&] {
                  parse(replaced(minimal, "0123456789abcdef", "short"));
              }).rfind("node.toml: operator_token: ", 0) == 0);
    }
}

// Guards against values that are each in range and together stop the instance from working, such as a grant
// that ends when a single renewal is lost.
TEST_CASE("settings that contradict each other are refused") {
    SUBCASE("a grant interval at which one lost renewal would end every grant") {
        CHECK(problem_with("grant_interval_ms = 300\n").rfind("node.toml: grant_interval_ms: ", 0) == 0);
        CHECK(problem_with("grant_interval_ms = 299\n") == "no failure");
    }
    SUBCASE("a heartbeat timeout at which one late heartbeat would close every link") {
        CHECK(problem_with("heartbeat_timeout_ms = 199\n").rfind("node.toml: heartbeat_timeout_ms: ", 0) ==
              0);
        CHECK(problem_with("heartbeat_timeout_ms = 200\n") == "no failure");
    }
    SUBCASE("a voter that is not a seed, so that no instance could reach it, or that is listed twice") {
        CHECK(problem_with("global_voters = [\"b1\"]\n").rfind("node.toml: global_voters: ", 0) == 0);
        CHECK(problem_with("global_voters = [\"b1\"]\n" + seed_b) == "no failure");
        CHECK(problem_with("global_voters = [\"b1\", \"b1\"]\n" + seed_b) ==
              "node.toml: global_voters: names 'b1' twice");
    }
    SUBCASE("an initial voter without a data folder, which would lose its votes at a restart") {
        CHECK(problem_with("global_voters = [\"a1\"]\n").rfind("node.toml: data_folder: is missing", 0) == 0);
        CHECK(problem_with("global_voters = [\"a1\"]\ndata_folder = \"/data\"\n") == "no failure");
    }
    SUBCASE("two listeners on one port, and a peer address to which nobody can connect") {
        CHECK(failure_of([&] {
                  parse(replaced(minimal, "7102", "7101"));
              }).rfind("node.toml: upstream_listen: ", 0) == 0);
        CHECK(failure_of([&] {
                  parse(replaced(minimal, "127.0.0.1:7100", "0.0.0.0:7100"));
              }).rfind("node.toml: peer_listen: ", 0) == 0);
    }
    SUBCASE("a seed list that contradicts the instance's own data centre or address, or has a name twice") {
        const auto own = replaced(seed_b, "b1", "a1");
        CHECK(problem_with(own) ==
              "node.toml: seeds: gives this instance a data centre that differs from data_center");
        CHECK(problem_with(replaced(own, "\"b\"", "\"a\"")) ==
              "node.toml: seeds: gives this instance an address that differs from peer_listen");
        CHECK(problem_with(seed_b + seed_b) == "node.toml: seeds[1].name: is used by two seeds");
    }
}

namespace {

struct documented_key {
    std::string name;
    std::string range;         ///< such as "50 to 60000"
    std::string default_value; ///< a number
};

/// Rows of the settings table in docs/operators.md whose default is a number.
std::vector<documented_key> documented_numbers() {
    std::istringstream page(config::read_file(KINGCUPSEAM_SOURCE_DIR "/docs/operators.md"));
    std::vector<documented_key> result;
    std::string line;
    while (std::getline(page, line) && line != "## First profile") {
        std::smatch found;
        if (std::regex_match(line, found,
                             std::regex("\\| `([a-z_]+)` \\|.*\\| ([0-9]+ to [0-9]+).*\\| ([0-9]+) \\|"))) {
            result.push_back({found[1], found[2], found[3]});
        }
    }
    return result;
}

} // namespace

// Guards against ranges and defaults in docs/operators.md that differ from those of the code.
TEST_CASE("docs/operators.md states the ranges and defaults of the code") {
    const auto keys = documented_numbers();
    CHECK(keys.size() == 6);
    for (const auto& it : keys) {
        CAPTURE(it.name);
        CHECK(parse(minimal + it.name + " = " + it.default_value + "\n") == parse(minimal));
        CHECK(problem_with(it.name + " = -1\n") ==
              "node.toml: " + it.name + ": must be an integer of " + it.range);
    }
}
