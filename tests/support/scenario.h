#pragma once

#include <kingcupseam/error.h>

#include <toml.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace kingcupseam::test {

/// One step of a scenario: a verb and its arguments, interpreted by the test that loads the file.
struct scenario_step {
    std::string verb;
    toml::value arguments;

    std::string text(const std::string& key, const std::string& fallback = "") const {
        return toml::find_or(arguments, key, fallback);
    }
    std::int64_t number(const std::string& key, std::int64_t fallback = 0) const {
        return toml::find_or(arguments, key, fallback);
    }
    std::vector<std::string> list(const std::string& key) const {
        return toml::find_or(arguments, key, std::vector<std::string>{});
    }
};

/// A scenario of tests/scenarios/<library>_<name>.toml, which has the keys name, guards (the failure that it
/// guards against) and seed, and [[step]] tables with a "do" key.
struct scenario {
    std::string name;
    std::string guards;
    std::uint64_t seed = 1;
    std::vector<std::uint64_t> more_seeds; ///< seeds with which the scenario has failed before
    toml::value setup;
    std::vector<scenario_step> steps;
};

inline scenario load_scenario(const std::filesystem::path& file) {
    const toml::value root = toml::parse(file.string());
    scenario result;
    result.name = toml::find<std::string>(root, "name");
    result.guards = toml::find<std::string>(root, "guards");
    result.seed = static_cast<std::uint64_t>(toml::find_or(root, "seed", 1));
    result.more_seeds = toml::find_or(root, "more_seeds", std::vector<std::uint64_t>{});
    result.setup = toml::find_or(root, "setup", toml::value(toml::table{}));
    for (const auto& it : toml::find<toml::array>(root, "step")) {
        result.steps.push_back({toml::find<std::string>(it, "do"), it});
    }
    return result;
}

/// Files of all scenarios of one library, sorted by name.
inline std::vector<std::filesystem::path> scenarios_of(const std::string& library) {
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(KINGCUPSEAM_SOURCE_DIR "/tests/scenarios")) {
        if (it.path().filename().string().rfind(library + "_", 0) == 0) {
            files.push_back(it.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace kingcupseam::test
