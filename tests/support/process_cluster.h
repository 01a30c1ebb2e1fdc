#pragma once

#include "app/http_client.h"
#include "support/temporary_folder.h"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace kingcupseam::test {

/// What a process finds when it starts.
struct child_surroundings {
    int output = -1;                              ///< descriptor for its output; -1: the log file
    bool streams_closed = false;                  ///< it starts without standard streams
    std::optional<std::size_t> max_descriptors;   ///< RLIMIT_NOFILE
    std::optional<std::size_t> max_file_bytes;    ///< RLIMIT_FSIZE; its log counts as well, pass an output
    std::optional<std::size_t> max_address_bytes; ///< RLIMIT_AS

    /// Called in the child, before the program is executed.
    void apply_limits() const {
        // Only the soft limit, so that a test can lift it again.
        const auto set = [](auto which, const std::optional<std::size_t>& value) {
            rlimit limit{};
            if (value && ::getrlimit(which, &limit) == 0) {
                limit.rlim_cur = *value;
                ::setrlimit(which, &limit);
            }
        };
        set(RLIMIT_NOFILE, max_descriptors);
        set(RLIMIT_FSIZE, max_file_bytes);
        set(RLIMIT_AS, max_address_bytes);
    }
};

/// A process of the binary under test that writes its output to a log file. It is killed when this object is
/// destroyed or the thread that started it ends.
class child_process {
public:
    child_process(std::vector<std::string> arguments, const std::string& log,
                  const child_surroundings& surroundings = {}) {
        arguments.insert(arguments.begin(), KINGCUPSEAM_BINARY);
        std::vector<char*> argv;
        argv.reserve(arguments.size() + 1);
        for (auto& it : arguments) {
            argv.push_back(it.data());
        }
        argv.push_back(nullptr);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        REQUIRE(pid_ >= 0);
        if (pid_ == 0) {
            // The child is killed when the test run is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = surroundings.output >= 0
                                ? surroundings.output
                                : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            const int in = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            if (::getppid() == parent && out >= 0 && in >= 0) {
                ::dup2(in, 0);
                ::dup2(out, 1);
                ::dup2(out, 2);
                // The test's own sockets would keep their ports in use.
                ::close_range(3, ~0U, 0);
                if (surroundings.streams_closed) {
                    ::close_range(0, 2, 0);
                }
                surroundings.apply_limits();
                ::execv(argv[0], argv.data());
            }
            ::_exit(127);
        }
    }
    ~child_process() { kill(); }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const {
        if (!status_) {
            ::kill(pid_, number);
        }
    }
    void kill() {
        signal(SIGKILL);
        signal(SIGCONT);
        if (!status_) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            status_ = -SIGKILL;
        }
    }
    /// @returns the largest resident memory so far, in bytes; 0 once the process has ended
    std::size_t peak_memory() const {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        const std::string name = "VmHWM:";
        constexpr std::size_t kilobyte = 1024;
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name)) {
                return std::stoul(line.substr(name.size())) * kilobyte;
            }
        }
        return 0;
    }
    /// @returns the exit code once the process has ended (negative: the signal), or empty after @p limit
    std::optional<int> wait(duration limit) {
        const auto end = steady_now() + limit;
        for (;;) {
            int status = 0;
            if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
                status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            }
            if (status_ || steady_now() >= end) {
                return status_;
            }
            ::usleep(5000);
        }
    }
    bool running() { return !wait(duration::zero()); }
    pid_t pid() const noexcept { return pid_; }

private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

struct cluster_options {
    std::vector<std::size_t> data_centers = {3}; ///< instances per data centre; named a1, a2, …, b1, …
    std::vector<std::string> durable;       ///< instances with a disk; default: the first of each data centre
    std::vector<std::string> global_voters; ///< initial voters of the global group; default: all of `durable`
    std::size_t upstreams = 4; ///< stand-ins for the profile's first service, spread over data centres
    double service_time_ms = 5;
    std::uint32_t slots = 4;
    std::vector<std::string> upstream_options; ///< further arguments for every stand-in
    std::string extra_settings;                ///< lines at the top of every settings file
    std::string profile = "navalsig";
};

struct answer {
    int status = 0; ///< 0: no complete answer
    std::string body;
    app::header_list headers;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    /// True for a complete answer of an upstream.
    bool ran() const { return status >= 200 && status < 300 && header("kingcupseam-outcome") == "ran"; }
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Synchronous HTTP client; each thread has its own.
class http_caller {
public:
    answer send(const std::string& method, const std::string& address, const std::string& target,
                const std::string& body = {}, app::header_list headers = {},
                duration timeout = std::chrono::seconds(2)) {
        app::http_call call;
        call.method = method;
        call.url = "http://" + address + target;
        call.headers = std::move(headers);
        call.body = body;
        call.timeout = timeout;
        call.connect_timeout = timeout;
        std::optional<app::http_result> result;
        client_.send(call, [&](app::http_result it) { result = std::move(it); });
        context_.restart();
        const auto end = steady_now() + timeout + std::chrono::seconds(1);
        while (!result && steady_now() < end) {
            context_.run_one_for(std::chrono::milliseconds(20));
        }
        if (!result || result->failure != app::http_failure::none) {
            return {};
        }
        return {result->answer.status, result->answer.body, result->answer.headers};
    }

private:
    asio::io_context context_;
    app::http_client client_{context_, {}};
};

/// Instances and stand-in upstreams as processes on loopback, with addresses and a folder of their own.
class process_cluster {
public:
    static constexpr auto token = "process-test-token";

    struct instance {
        std::string name;
        std::string data_center;
        std::string ip;
        std::uint16_t port = 0; ///< first of five: peer, traffic, caller, upstream, operator
        bool durable = false;
        std::unique_ptr<child_process> process;

        std::string address(int offset) const { return ip + ":" + std::to_string(port + offset); }
        std::string peer_address() const { return address(0); }
        std::string caller_address() const { return address(2); }
        std::string upstream_address() const { return address(3); }
        std::string operator_address() const { return address(4); }
    };
    struct upstream {
        std::string name;
        std::string data_center;
        std::string address;
        std::uint64_t seed = 0;
        std::unique_ptr<child_process> process;
    };

    explicit process_cluster(cluster_options options = {}) : options_(std::move(options)) {
        const auto host = std::to_string(1 + ::getpid() % 250);
        for (std::size_t dc = 0; dc < options_.data_centers.size(); ++dc) {
            const std::string letter(1, static_cast<char>('a' + dc));
            for (std::size_t n = 0; n < options_.data_centers[dc]; ++n) {
                instance it;
                it.name = letter + std::to_string(n + 1);
                it.data_center = "dc-" + letter;
                it.ip = "127.0." + host + "." + std::to_string(dc + 1);
                it.port = find_free_ports(it.ip, 5);
                it.durable = options_.durable.empty() ? n == 0 : contains(options_.durable, it.name);
                instances_.push_back(std::move(it));
            }
        }
        for (const auto& it : instances_) {
            if (it.durable) {
                durable_names_.push_back(it.name);
            }
        }
        std::filesystem::create_directories(records_folder());
        for (std::size_t n = 0; n < options_.upstreams; ++n) {
            const auto dc = n % options_.data_centers.size();
            upstream it;
            it.name = "u" + std::to_string(n + 1);
            it.data_center = std::string("dc-") + static_cast<char>('a' + dc);
            const auto ip = "127.0." + host + "." + std::to_string(dc + 1);
            it.address = ip + ":" + std::to_string(find_free_ports(ip, 1));
            it.seed = n + 1;
            upstreams_.push_back(std::move(it));
        }
    }

    // -- start and restart of processes

    /// Starts everything, accepts the profile and waits until every instance sees an owner for every shard.
    void start(duration limit = std::chrono::seconds(15)) {
        const auto end = steady_now() + limit;
        for (auto& it : instances_) {
            start(it);
        }
        accept_profile(end - steady_now());
        for (auto& it : upstreams_) {
            start(it);
        }
        const bool owned = wait_until([&] { return all_owned(); }, end - steady_now());
        std::string seen;
        for (const auto& it : instances_) {
            seen += owned ? "" : status(it).dump() + "\n" + read_file(path(it.name + ".log"));
        }
        INFO(seen);
        REQUIRE(owned);
    }
    void start(instance& it, const child_surroundings& surroundings = {}) {
        const auto file = folder_.write(it.name + ".toml", settings_of(it));
        it.process = std::make_unique<child_process>(std::vector<std::string>{"serve", "--config", file},
                                                     path(it.name + ".log"), surroundings);
    }
    void start(upstream& it) {
        std::string announce_to;
        for (const auto& host : instances_) {
            if (host.data_center == it.data_center) {
                announce_to.append(announce_to.empty() ? "" : ",").append(host.upstream_address());
            }
        }
        std::vector<std::string> arguments{"stand-in",
                                           "--name",
                                           it.name,
                                           "--service",
                                           service(),
                                           "--listen",
                                           it.address,
                                           "--instance",
                                           announce_to,
                                           "--slots",
                                           std::to_string(options_.slots),
                                           "--service-time",
                                           std::to_string(options_.service_time_ms),
                                           "--seed",
                                           std::to_string(it.seed),
                                           "--record",
                                           record_file(it)};
        arguments.insert(arguments.end(), options_.upstream_options.begin(), options_.upstream_options.end());
        it.process = std::make_unique<child_process>(arguments, path(it.name + ".log"));
    }
    void restart(instance& it, bool lose_disk = false) {
        it.process.reset();
        if (lose_disk) {
            std::filesystem::remove_all(path(it.name + "-data"));
        }
        start(it);
    }
    /// Starts another command of the binary, for example `load`; its output goes to the file @p name.log.
    std::unique_ptr<child_process> run(const std::string& name, const std::vector<std::string>& arguments) {
        return std::make_unique<child_process>(arguments, path(name + ".log"));
    }
    /// Starts a load on the caller listeners of all instances, or of those in @p names.
    std::unique_ptr<child_process> start_load(double rate, double seconds,
                                              const std::vector<std::string>& more = {},
                                              const std::vector<std::string>& names = {}) {
        std::string addresses;
        for (const auto& it : instances_) {
            if (names.empty() || contains(names, it.name)) {
                addresses.append(addresses.empty() ? "" : ",").append(it.caller_address());
            }
        }
        std::filesystem::remove(path("load.log"));
        std::vector<std::string> arguments{"load",
                                           "--address",
                                           addresses,
                                           "--firm",
                                           options_.profile,
                                           "--rate",
                                           std::to_string(rate),
                                           "--duration",
                                           std::to_string(seconds),
                                           "--json"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run("load", arguments);
    }
    /// Report of the last load; it must have ended.
    nlohmann::json load_report() { return nlohmann::json::parse(read_file(path("load.log"))); }

    // -- requests

    answer call(const std::string& address, const std::string& target, const std::string& method = "GET",
                const std::string& body = {}, duration timeout = std::chrono::seconds(2)) {
        return http_.send(method, address, target, body, {{"Authorization", std::string("Bearer ") + token}},
                          timeout);
    }
    answer lookup(const instance& entry, const std::string& key,
                  duration timeout = std::chrono::milliseconds(300)) {
        return http_.send("GET", entry.caller_address(), "/registry/rafts/" + key + "/history", {}, {},
                          timeout);
    }
    /// Sends an at-most-once request with @p id as idempotency key.
    answer book(const instance& entry, const std::string& key, const std::string& id,
                duration timeout = std::chrono::milliseconds(1500)) {
        return http_.send("POST", entry.caller_address(), "/registry/rafts/" + key + "/bookings", "body",
                          {{"Idempotency-Key", id}}, timeout);
    }
    answer change_profile(const instance& it, const std::string& name, std::uint64_t base,
                          const std::string& change_id, const std::string& content) {
        return call(it.operator_address(),
                    "/v1/profiles/" + name + "?base_version=" + std::to_string(base) +
                        "&change_id=" + change_id,
                    "POST", content);
    }
    nlohmann::json status(const instance& it, duration timeout = std::chrono::milliseconds(500)) {
        const auto found = call(it.operator_address(), "/v1/status", "GET", {}, timeout);
        return found.status == 200 ? found.json() : nlohmann::json();
    }
    /// @returns the accepted version of the profile in the view of the instance; 0 without an answer
    std::uint64_t profile_version(const instance& it, const std::string& name) {
        const auto found =
            call(it.operator_address(), "/v1/profiles/" + name, "GET", {}, std::chrono::milliseconds(500));
        return found.status == 200 ? found.json().at("version").get<std::uint64_t>() : 0;
    }
    std::string profile_text() const {
        return read_file(std::string(KINGCUPSEAM_SOURCE_DIR) + "/profiles/" + options_.profile + ".toml");
    }
    void accept_profile(duration limit) {
        const auto end = steady_now() + limit;
        for (;;) {
            for (const auto& it : instances_) {
                if (change_profile(it, options_.profile, 0, "first", profile_text()).status == 200) {
                    return;
                }
            }
            REQUIRE(steady_now() < end);
            ::usleep(50000);
        }
    }

    // -- observations

    bool ready(const instance& it) {
        return call(it.operator_address(), "/ready", "GET", {}, std::chrono::milliseconds(300)).status == 200;
    }
    /// True when every running instance is ready and sees an owner for every shard of its own data centre.
    bool all_owned() {
        for (const auto& it : instances_) {
            if (it.process && it.process->running() && !sees_owners(it)) {
                return false;
            }
        }
        return true;
    }
    bool sees_owners(const instance& it) {
        const auto found = status(it);
        if (!found.is_object() || !found.at("ready").get<bool>()) {
            return false;
        }
        std::size_t rows = 0;
        for (const auto& table : found.at("data_centers")) {
            if (table.at("shards_without_owner") != 0) {
                return false;
            }
            for (const auto& row : table.at("upstreams")) {
                rows += row.at("shards").get<std::size_t>() > 0 ? 1 : 0;
            }
        }
        return rows > 0;
    }
    /// Polls @p check every 20 ms. @returns false when it did not hold within @p limit
    static bool wait_until(const std::function<bool()>& check, duration limit) {
        const auto end = steady_now() + limit;
        for (;;) {
            if (check()) {
                return true;
            }
            if (steady_now() >= end) {
                return false;
            }
            ::usleep(20000);
        }
    }
    /// Row of the upstream in the view of the instance; null when there is none.
    nlohmann::json upstream_row(const instance& viewer, const std::string& upstream_name) {
        const auto found = status(viewer);
        if (found.is_object()) {
            for (const auto& table : found.at("data_centers")) {
                for (const auto& it : table.at("upstreams")) {
                    if (it.at("name") == upstream_name && it.at("condition") != "lost") {
                        return it;
                    }
                }
            }
        }
        return {};
    }
    /// Checks the records of all stand-ins: no double run, no double owner, no run without a grant.
    nlohmann::json judge() {
        std::filesystem::remove(path("judge.log"));
        const auto it = run("judge", {"load", "--judge", records_folder(), "--json"});
        REQUIRE(it->wait(std::chrono::seconds(20)));
        auto found = nlohmann::json::parse(read_file(path("judge.log"))).at("records");
        CAPTURE(found.dump(1));
        CHECK(found.at("double_runs") == 0);
        CHECK(found.at("double_owners") == 0);
        CHECK(found.at("runs_without_grant") == 0);
        return found;
    }

    // -- processes and files

    std::vector<instance>& instances() { return instances_; }
    std::vector<upstream>& upstreams() { return upstreams_; }
    instance& at(const std::string& name) {
        for (auto& it : instances_) {
            if (it.name == name) {
                return it;
            }
        }
        FAIL("no instance " << name);
        std::abort();
    }
    upstream& upstream_at(const std::string& name) {
        for (auto& it : upstreams_) {
            if (it.name == name) {
                return it;
            }
        }
        FAIL("no upstream " << name);
        std::abort();
    }
    std::string path(const std::string& name) const { return (folder_.path() / name).string(); }
    std::string records_folder() const { return path("records"); }
    std::string record_file(const upstream& it) const { return records_folder() + "/" + it.name; }
    std::string service() const { return options_.profile == "navalsig" ? "registry" : "records"; }
    static std::string read_file(const std::string& file) {
        const std::ifstream in(file, std::ios::binary);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

private:
    static bool contains(const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    /// First of @p count consecutive ports that are unused at the time of the call. They lie below the range
    /// of ephemeral ports, which outgoing connections use.
    static std::uint16_t find_free_ports(const std::string& ip, int count) {
        static std::mt19937 random(static_cast<std::mt19937::result_type>(::getpid()));
        static std::uint16_t next = static_cast<std::uint16_t>(12000 + random() % 16000);
        for (int attempt = 0; attempt < 1000; ++attempt) {
            const auto first = next;
            next = static_cast<std::uint16_t>(next + count > 32000 ? 12000 : next + count);
            if (are_ports_free(ip, first, count)) {
                return first;
            }
        }
        FAIL("no free ports");
        return 0;
    }
    static bool are_ports_free(const std::string& ip, std::uint16_t first, int count) {
        asio::io_context context;
        for (int n = 0; n < count; ++n) {
            asio::error_code ec;
            asio::ip::tcp::acceptor acceptor(context);
            const asio::ip::tcp::endpoint it(asio::ip::make_address(ip),
                                             static_cast<std::uint16_t>(first + n));
            acceptor.open(it.protocol(), ec);
            acceptor.bind(it, ec);
            if (ec) {
                return false;
            }
        }
        return true;
    }

    std::string settings_of(const instance& it) const {
        std::size_t size = 0;
        for (const auto& other : instances_) {
            size += other.data_center == it.data_center ? 1 : 0;
        }
        std::ostringstream out;
        out << options_.extra_settings << "name = \"" << it.name << "\"\ndata_center = \"" << it.data_center
            << "\"\npeer_listen = \"" << it.peer_address() << "\"\ncaller_listen = \"" << it.caller_address()
            << "\"\nupstream_listen = \"" << it.upstream_address() << "\"\noperator_listen = \""
            << it.operator_address() << "\"\noperator_token = \"" << token
            << "\"\ndata_center_size = " << size << "\nglobal_voters = [";
        const auto& voters = options_.global_voters.empty() ? durable_names_ : options_.global_voters;
        for (std::size_t n = 0; n < voters.size(); ++n) {
            out << (n == 0 ? "" : ", ") << '"' << voters[n] << '"';
        }
        out << "]\n";
        if (it.durable) {
            out << "data_folder = \"" << path(it.name + "-data") << "\"\n";
        }
        for (const auto& other : instances_) {
            if (other.durable) {
                out << "[[seeds]]\nname = \"" << other.name << "\"\ndata_center = \"" << other.data_center
                    << "\"\naddress = \"" << other.peer_address() << "\"\n";
            }
        }
        return out.str();
    }

    cluster_options options_;
    temporary_folder folder_;
    http_caller http_;
    std::vector<std::string> durable_names_;
    std::vector<instance> instances_;
    std::vector<upstream> upstreams_;
};

} // namespace kingcupseam::test
