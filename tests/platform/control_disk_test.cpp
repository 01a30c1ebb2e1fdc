#include "platform/single_process.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <csignal>

namespace kingcupseam::platform::test {

namespace {

constexpr std::size_t routes = 40; // about 3 kB a configuration

std::string configuration(int version) {
    std::string digits = std::to_string(version);
    digits.insert(0, 8 - digits.size(), '0');
    std::string result = R"({"version":")" + digits +
                         R"(","routes":{"columns":["name","host","path_prefix","route_type","timeout",)"
                         R"("target_latency","priority","attempts","service"],"rows":[)";
    for (std::size_t n = 0; n < routes; ++n) {
        const std::string name = "r" + std::to_string(n);
        result.append(n == 0 ? "" : ",").append("[\"").append(name).append(R"(","h","/)").append(name);
        result += R"(/","safe","3s","1500ms",1,2,"s"])";
    }
    return result + R"(]},"services":{"columns":["name","health_path","sharded"],"rows":[["s","/health",)" +
           "false]]}}";
}

/// A control instance that is the only member of its group.
class control_with_disk {
public:
    control_with_disk() : output_(::open("/dev/null", O_WRONLY | O_CLOEXEC)) {}
    control_with_disk(const control_with_disk&) = delete;
    control_with_disk& operator=(const control_with_disk&) = delete;
    ~control_with_disk() { ::close(output_); }

    /// @param max_file_bytes limit on the size of each file, which can be lifted
    void start_limited(std::size_t max_file_bytes) {
        instance.start({.output = output_, .max_file_bytes = max_file_bytes});
    }
    void lift_limit() {
        const pid_t pid = instance.process().pid();
        rlimit limit{};
        REQUIRE(::prlimit(pid, RLIMIT_FSIZE, nullptr, &limit) == 0);
        limit.rlim_cur = limit.rlim_max;
        REQUIRE(::prlimit(pid, RLIMIT_FSIZE, &limit, nullptr) == 0);
    }
    bool accepts(int version) {
        return caller_.send("PUT", address(), "/config", configuration(version), {}, milliseconds(500))
                   .status == 200;
    }
    bool accepts_within(int version, duration limit) {
        return process_cluster::wait_until([&] { return accepts(version); }, limit);
    }
    std::string stored() { return caller_.send("GET", address(), "/config", {}, {}, milliseconds(500)).body; }

    single_process instance{"control"};

private:
    std::string address() const { return instance.ip() + ":" + std::to_string(instance.operator_port); }

    int output_;
    http_caller caller_;
};

} // namespace

// Guards against a limit on the size of files that ends the process instead of stopping its writes.
TEST_CASE("a control instance whose files may not grow waits until they may") {
    control_with_disk it;
    int last = 0;
    SUBCASE("from the start") {
        it.start_limited(0);
    }
    SUBCASE("after some configurations") {
        it.start_limited(20'000);
        REQUIRE(it.accepts_within(++last, std::chrono::seconds(5)));
        while (last < 20 && it.accepts(last + 1)) {
            ++last;
        }
        CHECK(last < 20);
    }
    CHECK_FALSE(it.instance.process().wait(std::chrono::seconds(1)));
    it.lift_limit();
    last += 2; // the one that was not answered may be accepted now
    REQUIRE(it.accepts_within(last, std::chrono::seconds(5)));
    it.instance.process().kill();
    it.instance.start();
    CHECK(process_cluster::wait_until([&] { return it.stored() == configuration(last); },
                                      std::chrono::seconds(5)));
}

// Guards against a stop signal that a wait for the disk does not notice: the process would be killed at the
// end of its grace period.
TEST_CASE("a control instance that waits for its disk stops when asked to") {
    control_with_disk it;
    SUBCASE("while it starts") {
        it.start_limited(0);
    }
    SUBCASE("while it runs") {
        it.start_limited(20'000);
        REQUIRE(it.accepts_within(1, std::chrono::seconds(5)));
        int version = 1;
        while (version < 20 && it.accepts(version + 1)) {
            ++version;
        }
    }
    CHECK_FALSE(it.instance.process().wait(milliseconds(500)));
    it.instance.process().signal(SIGTERM);
    CHECK(it.instance.process().wait(std::chrono::seconds(6)) == 0);
}

// Guards against a successor that ends while its predecessor is still stopping, and is not started again.
TEST_CASE("a control instance waits for its data folder while another process has it open") {
    single_process it("control");
    it.start();
    REQUIRE(it.logs("control instance started"));
    const auto successor = it.start_successor();
    CHECK(it.logs("data folder in use", std::chrono::seconds(5), "successor"));
    CHECK_FALSE(successor->wait(milliseconds(500)));
    SUBCASE("and starts once it is free") {
        it.process().signal(SIGTERM);
        CHECK(it.process().wait(std::chrono::seconds(6)) == 0);
        CHECK(it.logs("data folder free", std::chrono::seconds(5), "successor"));
        CHECK(it.logs("control instance started", std::chrono::seconds(5), "successor"));
    }
    SUBCASE("and stops with success when asked to") {
        successor->signal(SIGTERM);
        CHECK(successor->wait(std::chrono::seconds(6)) == 0);
        CHECK(it.logs("process ended code=0 reason=", std::chrono::seconds(5), "successor"));
        CHECK(it.process().running());
    }
}

} // namespace kingcupseam::platform::test
