#include "support/process_cluster.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/resource.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

cluster_options one_instance() {
    cluster_options options;
    options.data_centers = {1};
    options.upstreams = 0;
    return options;
}

/// @param bytes limit on the size of each file of the process; empty: none
void limit_files(const child_process& process, std::optional<rlim_t> bytes) {
    rlimit limit{};
    REQUIRE(::prlimit(process.pid(), RLIMIT_FSIZE, nullptr, &limit) == 0);
    limit.rlim_cur = bytes.value_or(limit.rlim_max);
    REQUIRE(::prlimit(process.pid(), RLIMIT_FSIZE, &limit, nullptr) == 0);
}

bool accepts_change(process_cluster& cluster, std::uint64_t base, duration limit) {
    const auto id = "change-" + std::to_string(base);
    return process_cluster::wait_until(
        [&] {
            return cluster
                       .change_profile(cluster.at("a1"), "navalsig", base, id,
                                       cluster.profile_text() + "# " + id + "\n")
                       .status == 200;
        },
        limit);
}

bool logs(const process_cluster& cluster, const std::string& text) {
    return process_cluster::wait_until(
        [&] { return process_cluster::read_file(cluster.path("a1.log")).find(text) != std::string::npos; },
        5s);
}

} // namespace

// Guards against an instance that ends because its disk has no room for a while.
TEST_CASE("an instance whose disk is full waits until it has room") {
    process_cluster cluster(one_instance());
    auto& it = cluster.at("a1");
    cluster.start(it);
    cluster.accept_profile(10s);
    limit_files(*it.process, 1);
    CHECK_FALSE(accepts_change(cluster, 1, 1s));
    REQUIRE(it.process->running());
    SUBCASE("and has what it acknowledged after a restart") {
        limit_files(*it.process, std::nullopt);
        REQUIRE(accepts_change(cluster, 1, 10s));
        it.process->kill();
        cluster.start(it);
        CHECK(process_cluster::wait_until([&] { return cluster.profile_version(it, "navalsig") == 2; }, 10s));
    }
    SUBCASE("or is asked to stop") {
        it.process->signal(SIGTERM);
        CHECK(it.process->wait(6s) == 0);
    }
}

// Guards against an instance that ends while its predecessor is still stopping.
TEST_CASE("an instance waits for its data folder while another process has it open") {
    process_cluster cluster(one_instance());
    auto& it = cluster.at("a1");
    const auto folder = cluster.path("a1-data");
    std::filesystem::create_directory(folder);
    const int lock = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    REQUIRE(::flock(lock, LOCK_EX | LOCK_NB) == 0);
    cluster.start(it);
    CHECK(logs(cluster, "data folder in use"));
    CHECK_FALSE(it.process->wait(300ms));
    SUBCASE("and starts once it is free") {
        ::close(lock);
        cluster.accept_profile(10s);
    }
    SUBCASE("or is asked to stop") {
        it.process->signal(SIGTERM);
        CHECK(it.process->wait(6s) == 0);
        ::close(lock);
    }
}
