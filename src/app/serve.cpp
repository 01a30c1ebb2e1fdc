#include "app/commands.h"
#include "app/instance/instance.h"

#include <kingcupseam/error.h>
#include <kingcupseam/lifecycle.h>
#include <kingcupseam/settings.h>

#include <boost/program_options.hpp>

#include <spdlog/spdlog.h>

#include <iostream>

namespace kingcupseam::app {

namespace {

namespace options = boost::program_options;

options::options_description serve_options() {
    options::options_description result("kingcupseam serve --config FILE");
    result.add_options()("help", "show this help")("config", options::value<std::string>()->required(),
                                                   "settings file (TOML)");
    return result;
}

void configure_log(const settings::instance_settings& settings) {
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
    if (settings.log == settings::log_format::json) {
        spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","thread":%t,"message":"%v"})");
    } else {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l " + settings.name + " %v");
    }
}

} // namespace

int run_serve(const arguments& args) {
    const auto description = serve_options();
    options::variables_map values;
    try {
        options::store(options::command_line_parser(args).options(description).run(), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return exit_success;
        }
        options::notify(values);
    } catch (const options::error& e) {
        throw invalid_input("command line", "serve", e.what());
    }
    const auto settings = settings::load_settings(values["config"].as<std::string>());
    configure_log(settings);
    try {
        run_instance(settings);
    } catch (const lifecycle::stop_requested_error& e) {
        spdlog::info("stopped instance={} reason=\"{}\"", settings.name, e.what());
    }
    return exit_success;
}

} // namespace kingcupseam::app
