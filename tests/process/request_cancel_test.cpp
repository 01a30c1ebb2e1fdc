#include "process/request_support.h"

#include <atomic>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

// Guards against reusing a slot while a request whose deadline passed still runs in it.
TEST_CASE("an execution that outlives its deadline keeps its slot until it ends") {
    // Lookups have a deadline of 250 ms; each takes 600 ms in one of two slots.
    process_cluster cluster(single_data_center_options(3, 1, 600, 2));
    cluster.start();
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < 6; ++n) {
        callers.emplace_back([&, n] {
            http_caller caller;
            while (!stop) {
                caller.send("GET", cluster.instances()[n % 3].caller_address(), "/registry/rafts/k/history",
                            {}, {}, 400ms);
                ::usleep(20000);
            }
        });
    }
    std::uint64_t most_waiting = 0;
    const auto& upstream = cluster.upstreams().front();
    const auto end = steady_now() + 3s;
    nlohmann::json report;
    while (steady_now() < end) {
        report = cluster.call(upstream.address, "/stand-in/report").json();
        most_waiting = std::max(most_waiting, report.at("waiting").get<std::uint64_t>());
        ::usleep(10000);
    }
    stop = true;
    for (auto& it : callers) {
        it.join();
    }
    MESSAGE(report.at("started") << " started, at most " << most_waiting << " waiting at the upstream, "
                                 << report.at("cancelled") << " cancelled there");
    CHECK(report.at("started") >= 4);
    CHECK(most_waiting == 0);
    cluster.judge();
}
