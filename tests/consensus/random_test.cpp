#include "fake_network.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// Injects or repairs one random fault; at most a minority is down at a time.
void inject_random_fault(fake_network& net, std::mt19937_64& random, bool allow_lost_disk) {
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

/// Injects random faults for several virtual seconds while commands are proposed, then repairs them all.
/// @param restart_all whether some faults restart all members at once
void run_random(fake_network& net, std::uint64_t seed, bool allow_lost_disk, bool restart_all = false) {
    std::mt19937_64 random(seed);
    for (int n = 0; n < 150; ++n) {
        net.run(duration(static_cast<std::int64_t>(random() % 60000)));
        net.propose();
        if (restart_all && random() % 12 == 0) {
            for (const auto& [name, it] : net.hosts()) {
                net.restart(name, false);
            }
        } else if (random() % 3 == 0) {
            inject_random_fault(net, random, allow_lost_disk);
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

network_options lossy_network(std::uint64_t seed, std::size_t voters) {
    network_options settings;
    settings.voters = voters;
    settings.seed = seed;
    settings.max_delay = 40ms;
    settings.drop = 0.05;
    settings.duplicate = 0.05;
    settings.compact_after = seed % 2 == 0 ? 10 : 0;
    return settings;
}

/// True if the checker reports @p kind in one of @p runs runs.
bool detects(fault injected, violation kind, bool disks, int runs) {
    for (int seed = 1; seed <= runs; ++seed) {
        network_options settings = lossy_network(static_cast<std::uint64_t>(seed), 3);
        settings.injected = injected;
        settings.disks = disks;
        settings.compact_after = 0;
        fake_network net(settings);
        run_random(net, static_cast<std::uint64_t>(seed), false);
        if (net.checks().found(kind)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("random crashes, pauses, network cuts and message losses violate no invariant") {
    for (const std::size_t voters : {3U, 5U}) {
        std::size_t total = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(voters);
            CAPTURE(seed);
            fake_network net(lossy_network(seed, voters));
            run_random(net, seed, false);
            CHECK(net.checks().clean());
            CHECK_FALSE(net.leader().empty());
            total += net.checks().acknowledged();
            const std::size_t before = net.checks().acknowledged();
            for (int n = 0; n < 20; ++n) {
                CHECK(net.propose());
            }
            net.run(500ms);
            CHECK(net.checks().acknowledged() == before + 20);
        }
        CHECK(total > 200 * 10);
    }
}

TEST_CASE("automatic replacement of voters under random faults and lost disks violates no invariant") {
    for (const bool disks : {true, false}) {
        std::size_t changes = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            CAPTURE(disks);
            CAPTURE(seed);
            network_options settings = lossy_network(seed, 3);
            settings.spares = 2;
            settings.disks = disks;
            fake_network net(settings);
            net.enable_replacement({3, 300ms});
            run_random(net, seed, true);
            CHECK(net.checks().clean());
            changes += net.changes_started();
        }
        // A run may lose the majority permanently, so the number of changes is checked over all runs.
        CHECK(changes > 200);
    }
}

// Guards against two valid leases: a restarted voter may have confirmed a leader just before its restart.
TEST_CASE("elections right after restarts violate no invariant and overlap no lease") {
    for (const std::size_t voters : {3U, 5U}) {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(voters);
            CAPTURE(seed);
            network_options settings = lossy_network(seed, voters);
            settings.elect_after_restart = true;
            fake_network net(settings);
            run_random(net, seed, false, true);
            CHECK(net.checks().clean());
            CHECK_FALSE(net.leader().empty());
        }
    }
}

TEST_CASE("a restarted voter does not help elect a new leader while the old leader's lease is valid") {
    const auto violates_lease = [](fault injected) {
        network_options settings;
        settings.elect_after_restart = true;
        settings.injected = injected;
        fake_network net(settings);
        net.run(2s);
        const std::string leader = net.leader();
        REQUIRE_FALSE(leader.empty());
        std::vector<std::string> others;
        for (const auto& [name, it] : net.hosts()) {
            if (name != leader) {
                others.push_back(name);
            }
        }
        // One follower is cut off from the leader and requests votes; the other one confirms the leader and
        // restarts.
        net.cut(leader, others[0]);
        net.cut(others[0], leader);
        net.run(1s);
        REQUIRE(net.leader() == leader);
        // The vote request must arrive before the leader's next heartbeat, so the restart is repeated.
        for (int n = 0; n < 40; ++n) {
            net.restart(others[1], false);
            net.run(137ms);
        }
        return net.checks().found(violation::overlapping_lease);
    };
    CHECK_FALSE(violates_lease(fault::none));
    CHECK(violates_lease(fault::hides_provisional));
}

TEST_CASE("the checker detects injected bugs in random runs") {
    SUBCASE("a missing fsync loses committed entries") {
        CHECK(detects(fault::forgets_fsync, violation::committed_entry_changed, true, 60));
        CHECK(detects(fault::forgets_fsync, violation::incomplete_leader, true, 60));
        CHECK(detects(fault::forgets_fsync, violation::lost_command, true, 60));
    }
    SUBCASE("a diskless voter that keeps its identity loses committed entries") {
        CHECK(detects(fault::keeps_identity, violation::incomplete_leader, false, 60));
    }
    SUBCASE("a command acknowledged before its commit is lost") {
        CHECK(detects(fault::acknowledges_early, violation::lost_command, true, 60));
    }
    SUBCASE("a voter that votes right after its restart causes overlapping leases") {
        CHECK(detects(fault::forgets_leader, violation::overlapping_lease, true, 60));
    }
    SUBCASE("followers that confirm entries without storing them lose committed entries") {
        CHECK(detects(fault::acknowledges_unstored, violation::incomplete_leader, true, 60));
    }
    SUBCASE("a state machine that applies a command twice diverges") {
        CHECK(detects(fault::changes_state, violation::diverged_state, true, 5));
    }
}
