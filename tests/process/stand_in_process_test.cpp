#include <doctest/doctest.h>

#include "app/commands.h"
#include "app/http_client.h"
#include "app/run_judge.h"
#include "support/free_port.h"

#include <kingcupseam/error.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <mutex>
#include <optional>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;

namespace {

/// A process of the binary under test, killed on destruction.
class child {
public:
    explicit child(std::vector<std::string> words) {
        words.insert(words.begin(), KINGCUPSEAM_BINARY);
        std::vector<char*> argv;
        argv.reserve(words.size() + 1);
        for (auto& it : words) {
            argv.push_back(it.data());
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
        const int code = ::posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        REQUIRE(code == 0);
    }
    ~child() {
        if (!status_) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) const { ::kill(pid_, number); }
    /// @returns the exit code once the process has ended, or empty after @p limit
    std::optional<int> wait(duration limit) {
        const auto end = steady_now() + limit;
        while (!status_ && steady_now() < end) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            } else {
                ::usleep(5000);
            }
        }
        return status_;
    }

private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

struct fixture {
    asio::io_context context;
    http_client client{context, {}};
    std::string address = "127.0.0.1:" + std::to_string(test::free_port());
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("kcs-process-" + std::to_string(::getpid()));

    fixture() { std::filesystem::create_directories(folder); }
    ~fixture() { std::filesystem::remove_all(folder); }

    arguments stand_in_arguments(const arguments& more = {}) const {
        arguments words{"stand-in",       "--name", "u1",       "--service",   "registry",
                        "--listen",       address,  "--record", folder / "u1", "--no-grant-checks",
                        "--service-time", "300"};
        words.insert(words.end(), more.begin(), more.end());
        return words;
    }
    http_call call_to(const std::string& method, const std::string& path,
                      const std::string& key = "k") const {
        http_call call;
        call.method = method;
        call.url = "http://" + address + path;
        call.headers = {{"Kingcupseam-Request-Id", "r"}, {"Kingcupseam-Key", key}, {"Idempotency-Key", "id"}};
        call.timeout = 1s;
        return call;
    }
    http_result run(const http_call& call) {
        std::optional<http_result> result;
        client.send(call, [&](http_result it) { result = std::move(it); });
        const auto end = steady_now() + 3s;
        context.restart();
        while (!result && steady_now() < end) {
            context.run_one_for(20ms);
        }
        REQUIRE(result);
        return *result;
    }
    void wait_until_up() {
        const auto end = steady_now() + 5s;
        while (run(call_to("GET", "/kcs/health")).failure != http_failure::none) {
            REQUIRE(steady_now() < end);
            ::usleep(10000);
        }
    }
};

} // namespace

// Guards against a stand-in that drains, crashes or freezes unlike a real upstream, so that the tests
// that use it prove nothing.
TEST_CASE_FIXTURE(fixture, "a stand-in process drains, crashes and freezes as a real upstream does") {
    child process(stand_in_arguments({"--crash-prefix", "crash-"}));
    wait_until_up();
    SUBCASE("SIGTERM cuts off no request in flight") {
        std::optional<http_result> result;
        client.send(call_to("POST", "/work"), [&](http_result it) { result = std::move(it); });
        context.restart();
        context.run_for(100ms);
        process.signal(SIGTERM);
        context.run_for(500ms);
        REQUIRE(result);
        CHECK(result->failure == http_failure::none);
        CHECK(process.wait(2s) == 0);
    }
    SUBCASE("a key with the crash prefix ends the process at once, and the start of the run is on record") {
        CHECK(run(call_to("POST", "/work", "crash-1")).failure == http_failure::broken);
        CHECK(process.wait(2s) == 70);
        const auto found = judge_folder(folder, 100);
        CHECK(found.runs_by_idempotency_key.at("id") == 1);
    }
    SUBCASE("a frozen process answers nothing, not even a probe on a new connection, until the fault ends") {
        run(call_to("POST", "/stand-in/fault?kind=freeze&for_ms=800"));
        ::usleep(50000);
        auto probe = call_to("GET", "/kcs/health");
        probe.timeout = 200ms;
        probe.fresh_connection = true;
        CHECK(run(probe).failure == http_failure::timeout);
        ::usleep(700000);
        CHECK(run(probe).failure == http_failure::none);
    }
}

// Guards against a model that answers where a full upstream of a user resets the connection.
TEST_CASE_FIXTURE(fixture, "a full stand-in resets the connection of a further request when told to") {
    child process(stand_in_arguments({"--slots", "1", "--waiting", "0", "--reset-when-full"}));
    wait_until_up();
    std::optional<http_result> first;
    client.send(call_to("POST", "/work"), [&](http_result it) { first = std::move(it); });
    context.restart();
    context.run_for(100ms);
    CHECK(run(call_to("POST", "/work")).failure == http_failure::broken);
    context.restart();
    context.run_for(400ms);
    REQUIRE(first);
    CHECK(first->failure == http_failure::none);
    CHECK(judge_folder(folder, 100).runs_by_idempotency_key.at("id") == 1);
}

// Guards against an upstream that instances never learn of, or that they still use when it stops.
TEST_CASE_FIXTURE(fixture, "a stand-in without a grant repeats its announcement and announces draining") {
    const auto instance_port = test::free_port();
    std::vector<nlohmann::json> announced;
    const http_server listener(context, {.listen = {"127.0.0.1", instance_port}, .max_body_bytes = 65536},
                               [&](const http_request& request, const http_reply& reply) {
                                   announced.push_back(nlohmann::json::parse(request.body.str()));
                                   reply({202, {}, "{}"});
                               });
    child process(stand_in_arguments(
        {"--instance", "127.0.0.1:" + std::to_string(instance_port), "--drain-limit", "1000"}));
    context.run_for(1300ms);
    REQUIRE(announced.size() >= 2);
    CHECK(announced.front().at("state") == "active");
    CHECK(announced.front().at("address") == address);
    CHECK(announced.front().at("incarnation") == announced.back().at("incarnation"));
    CHECK(announced.front().at("checks_grants") == false);
    process.signal(SIGTERM);
    context.run_for(300ms);
    CHECK(announced.back().at("state") == "draining");
    CHECK(process.wait(2s) == 0);
}

// Guards against a script that takes a mistyped command for a passed or failed check.
TEST_CASE_FIXTURE(fixture, "exit codes of commands distinguish usage errors from violations") {
    CHECK(child({"load", "--help"}).wait(5s) == 0);
    CHECK(child({"stand-in", "--help"}).wait(5s) == 0);
    CHECK(child({"load", "--rate", "x"}).wait(5s) == 2);
    CHECK(child({"stand-in"}).wait(5s) == 2);
    CHECK(child({"load", "--judge", folder.string()}).wait(5s) == 0);
    run_recorder recorder(folder / "u1");
    recorder.append({steady_now(), process_start_event{"u1", "registry", 1, false}});
    for (int n = 0; n < 2; ++n) {
        recorder.append({steady_now(), run_event{true, "registry", "k", 1, "r", "id", 1, "POST"}});
    }
    CHECK(child({"load", "--judge", folder.string()}).wait(5s) == 1);
}
