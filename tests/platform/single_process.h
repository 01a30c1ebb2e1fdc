#pragma once

#include "support/free_port.h"
#include "support/process_cluster.h"
#include "support/temporary_folder.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <string>

namespace kingcupseam::platform::test {

using namespace kingcupseam::test;
using std::chrono::milliseconds;

/// One entry or control instance as a process on an address of its own, without the rest of the system.
class single_process {
public:
    /// @param role "entry" or "control"
    explicit single_process(std::string role)
        : role_(std::move(role)), ip_("127.2." + std::to_string(1 + ::getpid() % 250) + ".1") {
        // Addresses outside 127.0.0.1 are used by this process alone.
        peer_port = free_port();
        metrics_port = free_port();
        caller_port = free_port();
        readiness_port = free_port();
        operator_port = free_port();
    }

    void start(const child_surroundings& surroundings = {}) {
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{role_, "--config", folder_.write("settings.toml", settings())},
            (folder_.path() / "log").string(), surroundings);
    }
    /// Starts another process with the same settings beside the first one.
    std::unique_ptr<child_process> start_successor() {
        return std::make_unique<child_process>(
            std::vector<std::string>{role_, "--config", (folder_.path() / "settings.toml").string()},
            (folder_.path() / "successor").string());
    }
    child_process& process() { return *process_; }
    const std::string& ip() const noexcept { return ip_; }
    std::string log(const std::string& name = "log") const {
        std::ifstream in(folder_.path() / name);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    /// Waits until the log has @p text.
    bool logs(const std::string& text, duration limit = std::chrono::seconds(5),
              const std::string& name = "log") const {
        const time_point end = steady_now() + limit;
        while (log(name).find(text) == std::string::npos) {
            if (steady_now() >= end) {
                return false;
            }
            ::usleep(2000);
        }
        return true;
    }

    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t operator_port = 0;

private:
    std::string settings() const {
        std::string result = "name = \"p\"\ndata_center = \"d\"\nip = \"" + ip_ +
                             "\"\npeer_port = " + std::to_string(peer_port) +
                             "\nmetrics_port = " + std::to_string(metrics_port) + "\nseeds = [\"" + ip_ +
                             ":1\"]\nbootstrap = true\n";
        const auto listen = [&](const std::string& key, std::uint16_t port) {
            result.append(key).append(" = \"").append(ip_).append(":").append(std::to_string(port));
            result.append("\"\n");
        };
        if (role_ == "control") {
            listen("control", operator_port);
            result += "data_folder = \"" + (folder_.path() / "data").string() + "\"\n";
        } else {
            listen("callers", caller_port);
            listen("readiness", readiness_port);
        }
        return result;
    }

    temporary_folder folder_;
    std::string role_;
    std::string ip_;
    std::unique_ptr<child_process> process_;
};

} // namespace kingcupseam::platform::test
