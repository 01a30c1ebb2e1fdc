#include "process/request_support.h"
#include "support/unread_pipe.h"

#include <csignal>

namespace kingcupseam::test {

namespace {

bool lives(process_cluster& cluster) {
    return cluster.call(cluster.instances().front().operator_address(), "/live").status == 200;
}

} // namespace

// Guards against a log that is written by the threads that serve: without a reader all of them stopped.
TEST_CASE("an instance whose output nobody reads serves and ends within its grace period") {
    for (const std::string format : {"text", "json"}) {
        CAPTURE(format);
        auto options = single_data_center_options(1, 0, 1);
        options.extra_settings = "log = \"" + format + "\"\n";
        process_cluster cluster(options);
        auto& it = cluster.instances().front();
        const unread_pipe output;
        output.fill();
        child_surroundings surroundings;
        surroundings.output = output.write_end();
        cluster.start(it, surroundings);
        CHECK(process_cluster::wait_until([&] { return lives(cluster); }, std::chrono::seconds(5)));
        it.process->signal(SIGHUP);
        ::usleep(100'000);
        CHECK(lives(cluster));
        const auto metrics = cluster.call(it.operator_address(), "/metrics");
        CHECK(metrics.body.find("log_lines_dropped 0") != std::string::npos);
        it.process->signal(SIGTERM);
        CHECK(it.process->wait(std::chrono::seconds(6)) == 0);
    }
}

// Guards against logs whose format or last line changes with the thread that writes them.
TEST_CASE("an instance logs in the format of its settings why it started and ended") {
    for (const std::string format : {"text", "json"}) {
        CAPTURE(format);
        auto options = single_data_center_options(1, 0, 1);
        options.extra_settings = "log = \"" + format + "\"\n";
        process_cluster cluster(options);
        auto& it = cluster.instances().front();
        cluster.start(it);
        REQUIRE(process_cluster::wait_until([&] { return lives(cluster); }, std::chrono::seconds(5)));
        it.process->signal(SIGTERM);
        REQUIRE(it.process->wait(std::chrono::seconds(6)) == 0);
        const std::string log = process_cluster::read_file(cluster.path(it.name + ".log"));
        CAPTURE(log);
        const bool json = format == "json";
        CHECK(log.find(json ? R"("level":"info","thread":)" : " info a1 started instance=a1") !=
              std::string::npos);
        CHECK(log.find("process started role=serve name=a1 pid=" + std::to_string(it.process->pid())) !=
              std::string::npos);
        CHECK(log.ends_with(json ? "\"message\":\"process ended code=0\"}\n" : "process ended code=0\n"));
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            CHECK(nlohmann::json::accept(line) == json);
        }
    }
}

// Guards against an instance that ends without a line from which an engineer learns why.
TEST_CASE("the log of an instance tells why it ended") {
    process_cluster cluster(single_data_center_options(1, 0, 1));
    auto& it = cluster.instances().front();
    const auto log = [&] { return process_cluster::read_file(cluster.path(it.name + ".log")); };
    SUBCASE("by a fatal signal") {
        cluster.start(it);
        REQUIRE(process_cluster::wait_until([&] { return lives(cluster); }, std::chrono::seconds(5)));
        it.process->signal(SIGABRT);
        CHECK(it.process->wait(std::chrono::seconds(5)) == -SIGABRT);
        CHECK(log().find(R"("process":"a1","message":"process ended signal=6")") != std::string::npos);
    }
    SUBCASE("since its data folder is a file") {
        std::ofstream(cluster.path(it.name + "-data")) << "no folder";
        cluster.start(it);
        CHECK(it.process->wait(std::chrono::seconds(5)) == 1);
        CHECK(log().find(" critical a1 process ended code=1 problem=\"") != std::string::npos);
    }
}

} // namespace kingcupseam::test
