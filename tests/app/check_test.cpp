#include <doctest/doctest.h>

#include "app/operator_commands.h"
#include "support/temporary_folder.h"

#include <algorithm>
#include <sstream>

using namespace kingcupseam;
using test::temporary_folder;

namespace {

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result check(const app::arguments& args) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = app::check_command(args, out, err);
    return {code, out.str(), err.str()};
}

const std::string source_folder = KINGCUPSEAM_SOURCE_DIR;

} // namespace

// Guards against an invalid file that passes the check, or that keeps the other files from being checked.
TEST_CASE("check reports every file and fails if one is invalid") {
    const temporary_folder folder;

    SUBCASE("valid files get one line each and exit code 0") {
        const auto it = check({"--settings", source_folder + "/docs/example-settings.toml", "--profile",
                               source_folder + "/profiles/navalsig.toml", "--profile",
                               source_folder + "/profiles/cairnmark.toml", "--chart",
                               source_folder + "/charts/grant.toml"});
        CHECK(it.code == app::exit_success);
        CHECK(it.err.empty());
        CHECK(std::count(it.out.begin(), it.out.end(), '\n') == 5);
        CHECK(it.out.find("ok settings " + source_folder) == 0);
        CHECK(it.out.find("ok profiles together\n") != std::string::npos);
    }
    SUBCASE("without a file the embedded charts are checked") {
        const auto it = check({});
        CHECK(it.code == app::exit_success);
        CHECK(it.out.find("ok chart upstream (embedded)\n") != std::string::npos);
    }
    SUBCASE("an invalid file is reported with its name and key, and the other files are still checked") {
        const std::string bad = folder.write("bad.toml", "name = \"p\"\nhome_hold_s = -1\n");
        const std::string chart = folder.write("chart.toml", "name = \"c\"\ninitial = \"x\"\n");
        const auto it = check(
            {"--profile", bad, "--chart", chart, "--profile", source_folder + "/profiles/navalsig.toml"});
        CHECK(it.code == app::exit_invalid_input);
        CHECK(it.err.find(bad + ": home_hold_s: must be an integer of 1 to 604800\n") != std::string::npos);
        CHECK(it.err.find(chart + ": initial: there is no state x\n") != std::string::npos);
        CHECK(it.out == "ok profile " + source_folder + "/profiles/navalsig.toml\n");
    }
    SUBCASE("two profiles that are valid alone are refused together if they claim the same service") {
        const std::string file = source_folder + "/profiles/navalsig.toml";
        const auto it = check({"--profile", file, "--profile", file});
        CHECK(it.code == app::exit_invalid_input);
        CHECK(it.err.find("registry: is a service of two profiles") != std::string::npos);
    }
    SUBCASE("a missing file is an error") {
        const auto it = check({"--settings", "/nonexistent/node.toml"});
        CHECK(it.code == app::exit_invalid_input);
        CHECK(it.err.find("/nonexistent/node.toml: open: ") != std::string::npos);
    }
    SUBCASE("an invalid command line exits with 2, and --help with 0") {
        CHECK(check({"--profiles", "x"}).code == app::exit_invalid_input);
        CHECK(check({"stray"}).code == app::exit_invalid_input);
        const auto help = check({"--help"});
        CHECK(help.code == app::exit_success);
        CHECK(help.out.find("usage: kingcupseam check") == 0);
    }
    SUBCASE("--diagram prints an embedded chart as a Mermaid diagram") {
        CHECK(check({"--diagram", "grant"}).out.rfind("stateDiagram-v2\n    [*] --> none\n", 0) == 0);
        CHECK(check({"--diagram", "unknown"}).code == app::exit_invalid_input);
    }
}
