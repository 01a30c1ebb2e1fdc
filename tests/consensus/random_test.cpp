#include "fake_network.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// Applies one random fault or repair; at most a minority is down at a time.
void disturb(fake_network& net, std::mt19937_64& random, bool allow_lost_disk) {
    std::vector<std::string> names;
    std::size_t down = 0;
    for (const auto& [name, it] : net.hosts()) {
        names.push_back(name);
        down += it.up() && !it.paused ? 0 : 1;
    }
    const std::string name = names[random() % names.size()];
    const std::string other = names[random() % names.size()];
    fake_network::host& it = net.at(name);
    switch (random() % 8) {
    case 0:
    case 1:
        if (!it.up()) {
            net.restart(name, allow_lost_disk);
        } else if (down < (names.size() - 1) / 2) {
            net.kill(name);
        }
        break;
    case 2:
        if (it.up()) {
            net.restart(name, allow_lost_disk);
        }
        break;
    case 3:
        if (it.paused) {
            net.resume(name);
        } else if (it.up() && down < (names.size() - 1) / 2) {
            net.pause(name);
        }
        break;
    case 4:
        net.cut(name, other);
        break;
    case 5:
        net.cut(name, "*");
        break;
    default:
        net.heal();
    }
}

/// Several virtual seconds of random faults under a stream of commands, then a recovery.
void run_random(fake_network& net, std::uint64_t seed, bool allow_lost_disk) {
    std::mt19937_64 random(seed);
    for (int n = 0; n < 150; ++n) {
        net.run(duration(static_cast<std::int64_t>(random() % 60000)));
        net.propose();
        if (random() % 3 == 0) {
            disturb(net, random, allow_lost_disk);
        }
    }
    net.heal();
    net.set_losses(0, 0, 3ms);
    for (const auto& [name, it] : net.hosts()) {
        if (!it.up()) {
            net.restart(name, false);
        }
        net.resume(name);
    }
    net.run(2s);
    net.propose();
    net.run(500ms);
    net.checks().finish();
}

network_options rough(std::uint64_t seed, std::size_t voters) {
    network_options settings;
    settings.voters = voters;
    settings.seed = seed;
    settings.max_delay = 40ms;
    settings.drop = 0.05;
    settings.duplicate = 0.05;
    settings.compact_after = seed % 2 == 0 ? 10 : 0;
    return settings;
}

/// Number of runs, of @p runs, in which the checker reports @p kind.
int count_detections(fault broken, violation kind, bool disks, int runs) {
    int found = 0;
    for (int seed = 1; seed <= runs; ++seed) {
        network_options settings = rough(static_cast<std::uint64_t>(seed), 3);
        settings.broken = broken;
        settings.disks = disks;
        settings.compact_after = 0;
        fake_network net(settings);
        run_random(net, static_cast<std::uint64_t>(seed), false);
        found += net.checks().found(kind) ? 1 : 0;
    }
    return found;
}

} // namespace

TEST_CASE("no random sequence of crashes, pauses, cuts and losses breaks an invariant") {
    for (const std::size_t voters : {3U, 5U}) {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            CAPTURE(voters);
            CAPTURE(seed);
            fake_network net(rough(seed, voters));
            run_random(net, seed, false);
            CHECK(net.checks().clean());
            CHECK_FALSE(net.leader().empty());
            CHECK(net.checks().acknowledged() > 10);
        }
    }
}

TEST_CASE("the checker detects broken variants in random runs") {
    SUBCASE("a forgotten fsync loses committed entries") {
        CHECK(count_detections(fault::forgets_fsync, violation::committed_entry_changed, true, 60) > 0);
        CHECK(count_detections(fault::forgets_fsync, violation::incomplete_leader, true, 60) > 0);
        CHECK(count_detections(fault::forgets_fsync, violation::lost_command, true, 60) > 0);
    }
    SUBCASE("a diskless voter that keeps its identity loses committed entries") {
        CHECK(count_detections(fault::keeps_identity, violation::incomplete_leader, false, 60) > 0);
    }
    SUBCASE("a command acknowledged before its commit is lost") {
        CHECK(count_detections(fault::acknowledges_early, violation::lost_command, true, 60) > 0);
    }
    SUBCASE("a voter that votes right after its restart breaks the leader's lease") {
        CHECK(count_detections(fault::forgets_leader, violation::broken_lease, true, 60) > 0);
    }
    SUBCASE("followers that confirm what they did not store lose committed entries") {
        CHECK(count_detections(fault::acknowledges_unstored, violation::incomplete_leader, true, 60) > 0);
    }
    SUBCASE("a state machine that applies a command twice diverges") {
        CHECK(count_detections(fault::changes_state, violation::diverged_state, true, 5) > 0);
    }
}
