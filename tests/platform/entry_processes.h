#pragma once

#include "app/http_client.h"
#include "support/free_port.h"
#include "support/process_cluster.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::platform::test {

using namespace kingcupseam::test;
using std::chrono::milliseconds;

/// Value of X-Request-Id in the bytes of a request; empty when absent.
inline std::string request_id_of(const std::string& request) {
    const std::string name = "X-Request-Id: ";
    const auto at = request.find(name);
    return at == std::string::npos
               ? std::string()
               : request.substr(at + name.size(), request.find('\r', at) - at - name.size());
}

/// A control instance and entries as processes on loopback, and an upstream whose connections the test
/// scripts. The routes /safe/ and /unsafe/ retry refused requests; /once/ is at most once and does not.
class entry_processes {
public:
    /// @param key_ranges whether each key of the service has one owner
    /// @param entry_settings further lines of the entries' settings
    explicit entry_processes(raw_server::connect_handler on_connect, std::size_t entries = 1,
                             bool key_ranges = false, const std::string& entry_settings = {})
        : upstream(context, std::move(on_connect)), key_ranges_(key_ranges) {
        // Links between instances use one port at different addresses.
        peer_port_ = free_port();
        control_ = address_of(1) + ":" + std::to_string(free_port());
        control_process_ = start("control", "control", address_of(1),
                                 "control = \"" + control_ + "\"\ndata_folder = \"" +
                                     (folder_.path() / "data").string() + "\"\n");
        for (std::size_t n = 0; n < entries; ++n) {
            const std::string ip = address_of(n + 2);
            const std::string callers = ip + ":" + std::to_string(free_port());
            readiness_.push_back(ip + ":" + std::to_string(free_port()));
            callers_.push_back(callers);
            processes_.push_back(start("entry", "entry" + std::to_string(n), ip,
                                       "callers = \"" + callers + "\"\nreadiness = \"" + readiness_.back() +
                                           "\"\n" + entry_settings));
        }
        register_all();
    }

    /// Reports an upstream that listens on @p port.
    void announce(const std::string& id, std::uint16_t port, bool draining = false) {
        const std::string body = R"({"address":"127.0.0.1:)" + std::to_string(port) +
                                 R"(","born":1,"info":{"service":"s","zone":"d","capacity":64},)"
                                 R"("status":{"state":")" +
                                 (draining ? "draining" : "ready") + R"(","sequence":)" +
                                 std::to_string(++announcements_) + R"(,"warmup_left":"0ms"}})";
        REQUIRE(put("/instances/" + id, body));
    }
    /// @returns the status of the answer to a report with this body
    int report_status(const std::string& id, const std::string& body) {
        http_caller caller;
        return caller.send("PUT", control_, "/instances/" + id, body).status;
    }
    int configuration_status(const std::string& body) {
        http_caller caller;
        return caller.send("PUT", control_, "/config", body).status;
    }
    child_process& control() { return *control_process_; }
    std::string control_log() const {
        std::ifstream in(folder_.path() / "control.log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    asio::ip::tcp::endpoint caller_endpoint(std::size_t n = 0) const {
        const std::string& address = callers_.at(n);
        const auto colon = address.find(':');
        return {asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    }
    child_process& entry(std::size_t n = 0) { return *processes_.at(n); }

    /// A request of its own id to an entry; its result once the request has ended.
    struct pending_request {
        std::string id;
        std::optional<app::http_result> result;
    };
    using pending_ptr = std::shared_ptr<pending_request>;

    pending_ptr start_request(const std::string& target, duration limit = milliseconds(2000),
                              std::size_t entry = 0, const std::string& body = {}) {
        auto out = std::make_shared<pending_request>();
        out->id = "request-" + std::to_string(++requests_);
        app::http_call call;
        call.url = "http://" + callers_.at(entry) + target;
        call.timeout = limit + milliseconds(1000);
        const auto ms = std::chrono::duration_cast<milliseconds>(limit).count();
        call.headers = {{"Host", "h"}, {"X-Request-Id", out->id}, {"X-Deadline-Ms", std::to_string(ms)}};
        if (key_ranges_) {
            call.headers.emplace_back("X-Shard-Key", "5");
        }
        call.method = body.empty() ? "GET" : "POST";
        call.body = body;
        client_.send(std::move(call), [out](app::http_result it) { out->result = std::move(it); });
        return out;
    }
    /// @returns the status of the answer; 0 when the connection ended without a whole answer
    int status_of(const pending_ptr& request) {
        run_until([&] { return request->result.has_value(); });
        REQUIRE(request->result);
        return request->result->failure == app::http_failure::none ? request->result->answer.status : 0;
    }
    int request_status(const std::string& target) { return status_of(start_request(target)); }

    template <class Condition>
    bool run_until(const Condition& condition, duration limit = std::chrono::seconds(10)) {
        const time_point end = steady_now() + limit;
        while (!condition() && steady_now() < end) {
            run_for(milliseconds(2));
        }
        return condition();
    }
    void run_for(duration time) {
        context.run_for(time);
        context.restart();
    }
    void run_after(duration delay, std::function<void()> task) {
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, task = std::move(task)](auto) { task(); });
    }

    asio::io_context context;
    raw_server upstream;

private:
    static std::string address_of(std::size_t n) {
        return "127.1." + std::to_string(1 + ::getpid() % 250) + "." + std::to_string(n);
    }
    std::unique_ptr<child_process> start(const std::string& command, const std::string& name,
                                         const std::string& ip, const std::string& more) {
        const std::string settings = "name = \"" + name + "\"\ndata_center = \"d\"\nip = \"" + ip +
                                     "\"\npeer_port = " + std::to_string(peer_port_) + "\nseeds = [\"" +
                                     address_of(1) +
                                     ":1\"]\nannounce_interval = \"20s\"\nbootstrap = true\n" + more;
        return std::make_unique<child_process>(
            std::vector<std::string>{command, "--config", folder_.write(name + ".toml", settings)},
            (folder_.path() / (name + ".log")).string());
    }
    void register_all() {
        const std::string configuration =
            R"({"version":"00000001","routes":{"columns":["name","host","path_prefix","route_type","timeout",)"
            R"("target_latency","priority","attempts","service"],"rows":[)"
            R"(["safe","h","/safe/","safe","3s","1500ms",1,2,"s"],)"
            R"(["unsafe","h","/unsafe/","unsafe","3s","1500ms",1,2,"s"],)"
            R"(["once","h","/once/","unsafe","3s","1ms",1,2,"s"]]},)"
            R"("services":{"columns":["name","health_path","sharded"],"rows":[["s","/health",)" +
            std::string(key_ranges_ ? "true" : "false") + "]]}}";
        REQUIRE(put("/config", configuration));
        announce("u", upstream.port());
        http_caller caller;
        for (const auto& it : readiness_) {
            REQUIRE(run_until([&] { return caller.send("GET", it, "/readyz").status == 200; }));
        }
        // Ready entries have a configuration; the upstream may follow later.
        run_for(milliseconds(500));
    }
    bool put(const std::string& path, const std::string& body) {
        http_caller caller;
        return run_until([&] { return caller.send("PUT", control_, path, body).status == 200; });
    }

    bool key_ranges_;
    temporary_folder folder_;
    std::uint16_t peer_port_ = 0;
    std::string control_;
    std::vector<std::string> callers_;
    std::vector<std::string> readiness_;
    std::unique_ptr<child_process> control_process_;
    std::vector<std::unique_ptr<child_process>> processes_;
    app::http_client client_{context, {}};
    int requests_ = 0;
    int announcements_ = 0;
};

} // namespace kingcupseam::platform::test
