#include "process_settings.h"

#include <kingcupseam/error.h>

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace kingcupseam::platform {

namespace {

const std::string rendered = R"(name = "core-1"
data_center = "z1"
ip = "10.1.0.13"
peer_port = 7720
metrics_port = 7735
control = "10.1.0.13:8166"
data_folder = "/data/control"
seeds = ["10.1.0.13:8166","10.2.0.43:8166"]
bootstrap = true
tolerated_losses = 1
announce_interval = "870ms"
max_hold = "10000ms"
drain_period = "3s"
grace_period = "6s"
retry_ratio = 0.2
retry_slack = 60
retry_window = "10s"
memory_mb = 160
)";

/// Temporary settings file.
class settings_file {
public:
    explicit settings_file(const std::string& text)
        : path_(std::filesystem::temp_directory_path() /
                std::string("kingcupseam-settings-").append(std::to_string(::getpid()))) {
        std::ofstream(path_) << text;
    }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    ~settings_file() { std::filesystem::remove(path_); }
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("settings rendered by the provider are read") {
    const settings_file file(rendered);
    const auto settings = load_process_settings(file.path());
    CHECK(settings.name == "core-1");
    CHECK(settings.seeds == std::vector<std::string>{"10.1.0.13", "10.2.0.43"});
    CHECK(settings.control == endpoint_address{"10.1.0.13", 8166});
    CHECK_FALSE(settings.callers);
    CHECK(settings.bootstrap);
    CHECK(settings.announce_interval == std::chrono::milliseconds(870));
    CHECK(settings.retry_ratio == 0.2);
    CHECK(settings.memory_mb == 160);
}

TEST_CASE("invalid settings are refused with the name of the key") {
    const auto field_of = [](const std::string& text) {
        const settings_file file(text);
        try {
            load_process_settings(file.path());
        } catch (const invalid_input& e) {
            return e.field();
        }
        return std::string("accepted");
    };
    CHECK(field_of(replaced(rendered, "7720", "0")) == "peer_port");
    CHECK(field_of(replaced(rendered, "\"870ms\"", "\"870\"")) == "announce_interval");
    CHECK(field_of(replaced(rendered, "10.2.0.43:8166", "10.2.0.43")) == "seeds");
    CHECK(field_of(replaced(rendered, "bootstrap = true", "bootstrap = 1")) == "bootstrap");
    CHECK(field_of(replaced(rendered, "name = \"core-1\"\n", "")) == "name");
    CHECK(field_of(replaced(rendered, "memory_mb = 160", "memory_mb = -1")) == "memory_mb");
    CHECK(field_of(rendered + "unknown_key = 1\n") == "unknown_key");
    CHECK_THROWS_AS(load_process_settings("/nowhere/settings.toml"), io_error);
}

} // namespace kingcupseam::platform
