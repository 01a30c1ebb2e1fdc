#include "process/request_support.h"

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// Longest time without an answered lookup of the key during @p length.
duration longest_gap(process_cluster& cluster, const process_cluster::instance& entry, const std::string& key,
                     duration length) {
    const auto end = steady_now() + length;
    auto last = steady_now();
    duration longest{0};
    while (steady_now() < end) {
        const auto found = cluster.lookup(entry, key);
        const auto now = steady_now();
        longest = std::max(longest, now - last);
        if (found.ran()) {
            last = now;
        }
        ::usleep(10000);
    }
    return longest;
}

void start_fault(process_cluster& cluster, const std::string& upstream, const std::string& query) {
    const auto it =
        cluster.call(cluster.upstream_at(upstream).address, "/stand-in/fault?" + query, "POST", "x");
    REQUIRE(it.status == 200);
}

/// True when the log of an instance says that it declared the upstream lost.
bool declared_lost(process_cluster& cluster, const std::string& upstream) {
    const auto& all = cluster.instances();
    return std::any_of(all.begin(), all.end(), [&](const auto& it) {
        return process_cluster::read_file(cluster.path(it.name + ".log"))
                   .find("upstream lost upstream=" + upstream + " ") != std::string::npos;
    });
}

} // namespace

// Guards against a caller that receives the answer to another request or a truncated answer.
TEST_CASE("late, crossed and cut-off answers reach no caller") {
    process_cluster cluster(
        single_data_center_options(3, 3, 5, 4,
                                   {"--fault", "late:0:60000:0.02", "--fault", "crossed:0:60000:0.05",
                                    "--fault", "cut-off:0:60000:0.05", "--late-by", "400"}));
    cluster.start();
    const auto load = cluster.start_load(200, 4, {"--mix", "80:20:0", "--judge", cluster.records_folder()});
    REQUIRE(load->wait(15s));
    const auto report = cluster.load_report();
    std::uint64_t damaged = 0;
    for (const auto& it : cluster.upstreams()) {
        const auto counts = cluster.call(it.address, "/stand-in/report").json();
        damaged += counts.at("crossed").get<std::uint64_t>() + counts.at("cut_off").get<std::uint64_t>();
    }
    MESSAGE(damaged << " damaged answers; " << report.at("ranks").dump());
    CHECK(damaged > 20);
    for (const auto* rank_name : {"urgent", "standard"}) {
        const auto& it = report.at("ranks").at(rank_name);
        CHECK(it.at("wrong") == 0);
        CHECK(it.at("double_runs") == 0);
        CHECK(it.at("false_not_run") == 0);
    }
    CHECK(report.at("ranks").at("urgent").at("answered").get<double>() >
          0.9 * report.at("ranks").at("urgent").at("sent").get<double>());
    cluster.judge();
}

// Guards against declaring an upstream lost because open connections went silent, and against waiting for
// an answer on such connections.
TEST_CASE("silent connections and a frozen upstream are told apart, each within a second") {
    process_cluster cluster(single_data_center_options(3, 3, 2));
    cluster.start();
    const auto& entry = cluster.at("a1");
    const auto key = find_key_owned_by(cluster, entry, "u1");
    SUBCASE("silent: the upstream stays and answers on new connections") {
        start_fault(cluster, "u1", "kind=silent");
        ::usleep(10000);
        // A booking may take 1 s; the 250 ms deadline of a lookup would pass at about the time of the probe.
        const auto sent = steady_now();
        const auto booked = cluster.book(entry, key, "after-silence");
        const auto took = steady_now() - sent;
        MESSAGE("booking on a silent connection: " << took.count() / 1000 << " ms");
        CHECK(booked.ran());
        CHECK(took < 1s);
        const auto gap = longest_gap(cluster, entry, key, 2500ms);
        MESSAGE("longest time without an answer: " << gap.count() / 1000 << " ms");
        CHECK(gap < 1s);
        CHECK_FALSE(declared_lost(cluster, "u1"));
    }
    SUBCASE("frozen: another upstream serves the key") {
        start_fault(cluster, "u1", "kind=freeze&for_ms=3500");
        const auto gap = longest_gap(cluster, entry, key, 2500ms);
        MESSAGE("longest time without an answer: " << gap.count() / 1000 << " ms");
        CHECK(gap < 1s);
        CHECK(owner_of(cluster, entry, key) != "u1");
        CHECK(declared_lost(cluster, "u1"));
    }
    cluster.judge();
}

// Guards against waiting for a paused instance whose connections stay open.
TEST_CASE("keys behind a paused instance are served again within a second") {
    process_cluster cluster(single_data_center_options(4, 4, 2));
    cluster.start();
    auto& entry = cluster.at("a1");
    std::string paused;
    std::string key;
    for (const auto& it : cluster.upstreams()) {
        const auto gate = cluster.upstream_row(entry, it.name).at("gate").get<std::string>();
        if (gate != "a1") {
            paused = gate;
            key = find_key_owned_by(cluster, entry, it.name);
            break;
        }
    }
    REQUIRE_FALSE(paused.empty());
    cluster.at(paused).process->signal(SIGSTOP);
    const auto gap = longest_gap(cluster, entry, key, 2500ms);
    cluster.at(paused).process->signal(SIGCONT);
    MESSAGE("longest time without an answer: " << gap.count() / 1000 << " ms");
    CHECK(gap < 1s);
    ::usleep(500000);
    CHECK(cluster.lookup(entry, key).ran());
    cluster.judge();
}

// Guards against a poison request that crashes one upstream after another, and against failed requests for
// other keys.
TEST_CASE("a poison request runs at most twice, even when resent through other instances") {
    process_cluster cluster(single_data_center_options(3, 6, 5, 4, {"--crash-prefix", "crash-"}));
    cluster.start();
    std::string last_reason;
    for (int n = 0; n < 14; ++n) {
        const auto& entry = cluster.instances()[static_cast<std::size_t>(n % 3)];
        const auto it = cluster.lookup(entry, "crash-1", 600ms);
        CHECK_FALSE(it.ran());
        last_reason = it.header("kingcupseam-reason");
        ::usleep(150000);
    }
    int served = 0;
    for (int n = 0; n < 60; ++n) {
        served += cluster.lookup(cluster.instances()[static_cast<std::size_t>(n % 3)],
                                 "other-" + std::to_string(n), 1s)
                          .ran()
                      ? 1
                      : 0;
    }
    int alive = 0;
    for (auto& it : cluster.upstreams()) {
        alive += it.process->running() ? 1 : 0;
    }
    const auto runs = count_runs(cluster).of_key("crash-1");
    MESSAGE(runs << " runs, " << alive << " of 6 upstreams alive, last reason " << last_reason << ", "
                 << served << " of 60 other keys served");
    CHECK(runs >= 1);
    CHECK(runs <= 2);
    CHECK(alive >= 4);
    CHECK(last_reason == "crashes-upstreams");
    CHECK(served == 60);
    cluster.judge();
}
