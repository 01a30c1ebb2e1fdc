#include "support/process_cluster.h"

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// True once the leader of the global group reports exactly the voters @p wanted, which are sorted.
bool voters_restored(process_cluster& cluster, const std::vector<std::string>& wanted) {
    for (const auto& it : cluster.instances()) {
        if (!it.process || !it.process->running()) {
            continue;
        }
        const auto status = cluster.status(it);
        if (status.is_object() && status.at("global_group").is_object() &&
            status.at("global_group").at("leads").get<bool>()) {
            auto voters = status.at("global_group").at("voters").get<std::vector<std::string>>();
            std::sort(voters.begin(), voters.end());
            return voters == wanted;
        }
    }
    return false;
}

bool accept_change(process_cluster& cluster, const std::string& through, std::uint64_t base) {
    const auto id = "change-" + std::to_string(base);
    return process_cluster::wait_until(
        [&] {
            return cluster
                       .change_profile(cluster.at(through), "navalsig", base, id,
                                       cluster.profile_text() + "# " + id + "\n")
                       .status == 200;
        },
        4s);
}

} // namespace

// Guards against a group that readmits a voter which lost its votes with its disk, or never replaces it: the
// loss of a second voter would then end the group.
TEST_CASE("a durable voter that lost its disk returns as a new member, and a second voter may be lost") {
    cluster_options options;
    options.data_centers = {1, 1, 1};
    options.upstreams = 3;
    process_cluster cluster(options);
    cluster.start();
    cluster.at("b1").process->kill();
    REQUIRE(accept_change(cluster, "a1", 1));
    cluster.restart(cluster.at("b1"), true);
    const auto since = steady_now();
    CHECK(process_cluster::wait_until(
        [&] {
            const auto log = process_cluster::read_file(cluster.path("a1.log")) +
                             process_cluster::read_file(cluster.path("c1.log"));
            return log.find("member=b1 change=2") != std::string::npos &&
                   voters_restored(cluster, {"a1", "b1", "c1"});
        },
        8s));
    MESSAGE("repaired after ms: ", (steady_now() - since) / 1ms);
    SUBCASE("the second loss is a voter that stored the change when it was accepted") {
        cluster.at("a1").process->kill();
        CHECK(accept_change(cluster, "b1", 2));
        CHECK(cluster.profile_version(cluster.at("c1"), "navalsig") >= 2);
    }
    SUBCASE("the returned voter is lost again, with its disk") {
        cluster.at("b1").process->kill();
        CHECK(accept_change(cluster, "c1", 2));
    }
}

// Guards against a group that stays one voter short although another instance with a disk is available.
TEST_CASE("a spare with a disk takes the place of a durable voter that is lost for good") {
    cluster_options options;
    options.data_centers = {2, 1, 1};
    options.durable = {"a1", "a2", "b1", "c1"};
    options.global_voters = {"a1", "b1", "c1"};
    options.upstreams = 3;
    process_cluster cluster(options);
    cluster.start();
    cluster.at("c1").process->kill();
    const auto since = steady_now();
    REQUIRE(process_cluster::wait_until([&] { return voters_restored(cluster, {"a1", "a2", "b1"}); }, 8s));
    MESSAGE("replaced after ms: ", (steady_now() - since) / 1ms);
    cluster.at("b1").process->kill();
    CHECK(accept_change(cluster, "a2", 1));
}
