#include "app/commands.h"
#include "commands.h"

#include <kingcupseam/lifecycle.h>
#include <kingcupseam/logging.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

namespace {

using namespace kingcupseam::app;

struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(const arguments&);
    bool accepts_signals = false; ///< the command itself, once its handlers are installed
};

constexpr std::array<command, 9> commands{{
    {"serve", "run an instance", run_serve, true},
    {"entry", "run an entry on the provider's machines", kingcupseam::platform::run_entry_command, true},
    {"control", "run a control instance on the provider's machines",
     kingcupseam::platform::run_control_command, true},
    {"check", "validate settings, profiles and state charts", run_check},
    {"profile", "accept, show, list or compare profiles", run_profile},
    {"status", "show owners, gates, groups and instances", run_status},
    {"explain", "merge the log lines of all processes about one request", run_explain},
    {"stand-in", "run a model of an upstream, for experiments", run_stand_in},
    {"load", "send load and report outcomes and latency per rank, for experiments", run_load},
}};

void print_usage(std::FILE* out) {
    std::fputs("usage: kingcupseam COMMAND [OPTION...]\n\ncommands:\n", out);
    for (const auto& it : commands) {
        std::fprintf(out, "  %-9s %s\n", it.name.data(), it.summary.data());
    }
    std::fputs("\nkingcupseam COMMAND --help lists the options of a command.\n", out);
}

int dispatch(const arguments& args) {
    if (args.empty()) {
        print_usage(stderr);
        return exit_invalid_input;
    }
    if (args.front() == "--help" || args.front() == "help") {
        print_usage(stdout);
        return exit_success;
    }
    for (const auto& it : commands) {
        if (it.name == args.front()) {
            kingcupseam::lifecycle::report_write_errors();
            if (!it.accepts_signals) {
                kingcupseam::lifecycle::accept_signals();
            }
            return it.run({args.begin() + 1, args.end()});
        }
    }
    std::fprintf(stderr, "kingcupseam: unknown command '%s'\n", args.front().c_str());
    print_usage(stderr);
    return exit_invalid_input;
}

// Runs before the constructors of the shared libraries, which take most of the time until main().
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_constructors)() = kingcupseam::lifecycle::hold_signals;

} // namespace

int main(int argc, char** argv) {
    kingcupseam::lifecycle::open_standard_streams();
    int code = exit_success;
    try {
        code = dispatch(arguments(argv + 1, argv + argc));
    } catch (const std::exception& e) {
        code = exit_code(e);
        kingcupseam::logging::print_error("kingcupseam: " + std::string(e.what()) + "\n");
    }
    if (!kingcupseam::logging::finish()) {
        std::_Exit(code); // exit() would wait for the thread of the log
    }
    return code;
}
