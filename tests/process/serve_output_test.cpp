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

// Guards against logs whose format changes with the thread that writes them.
TEST_CASE("an instance logs in the format of its settings") {
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
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            CHECK(nlohmann::json::accept(line) == json);
        }
    }
}

} // namespace kingcupseam::test
