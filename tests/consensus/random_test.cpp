#include "group_simulation.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// Injects or repairs one random fault; at most a minority is down at a time.
void inject_random_fault(group_simulation& group, std::mt19937_64& random, bool allow_lost_disk) {
    std::vector<std::string> names;
    std::size_t down = 0;
    for (const auto& [name, it] : group.hosts()) {
        names.push_back(name);
        down += it.up() && !it.paused ? 0 : 1;
    }
    const std::string name = names[random() % names.size()];
    const std::string other = names[random() % names.size()];
    group_simulation::host& it = group.at(name);
    switch (random() % 8) {
    case 0:
    case 1:
        if (!it.up()) {
            group.restart(name, allow_lost_disk);
        } else if (down < (names.size() - 1) / 2) {
            group.kill(name);
        }
        break;
    case 2:
        if (it.up()) {
            group.restart(name, allow_lost_disk);
        }
        break;
    case 3:
        if (it.paused) {
            group.resume(name);
        } else if (it.up() && down < (names.size() - 1) / 2) {
            group.pause(name);
        }
        break;
    case 4:
        group.cut(name, other);
        break;
    case 5:
        group.cut(name, "*");
        break;
    default:
        group.heal();
    }
}

/// Injects random faults for several virtual seconds while commands are proposed, then repairs them all.
/// @param restart_all whether some faults restart all members at once
void run_random(group_simulation& group, std::uint64_t seed, bool allow_lost_disk, bool restart_all = false) {
    std::mt19937_64 random(seed);
    for (int n = 0; n < 150; ++n) {
        group.run(duration(static_cast<std::int64_t>(random() % 60000)));
        group.propose();
        if (restart_all && random() % 12 == 0) {
            for (const auto& [name, it] : group.hosts()) {
                group.restart(name, false);
            }
        } else if (random() % 3 == 0) {
            inject_random_fault(group, random, allow_lost_disk);
        }
    }
    group.heal();
    group.set_losses(0, 0, 3ms);
    for (const auto& [name, it] : group.hosts()) {
        if (!it.up()) {
            group.restart(name, false);
        }
        group.resume(name);
    }
    group.run(2s);
    group.propose();
    group.run(500ms);
    group.checks().finish();
}

group_options lossy_group(std::uint64_t seed, std::size_t voters) {
    group_options settings;
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
        group_options settings = lossy_group(static_cast<std::uint64_t>(seed), 3);
        settings.injected = injected;
        settings.disks = disks;
        settings.compact_after = 0;
        group_simulation group(settings);
        run_random(group, static_cast<std::uint64_t>(seed), false);
        if (group.checks().found(kind)) {
            return true;
        }
    }
    return false;
}

} // namespace

// The invariants are the kinds of violation in checker.h, such as two leaders in a term or a lost command.
TEST_CASE("random crashes, pauses, network cuts and message losses violate no invariant") {
    for (const std::size_t voters : {3U, 5U}) {
        std::size_t total = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(voters);
            CAPTURE(seed);
            group_simulation group(lossy_group(seed, voters));
            run_random(group, seed, false);
            CHECK(group.checks().clean());
            CHECK_FALSE(group.leader().empty());
            total += group.checks().acknowledged();
            const std::size_t before = group.checks().acknowledged();
            for (int n = 0; n < 20; ++n) {
                CHECK(group.propose());
            }
            group.run(500ms);
            CHECK(group.checks().acknowledged() == before + 20);
        }
        CHECK(total > 200 * 10);
    }
}

// Guards against a replacement that relies on a voter that has lost its disk.
TEST_CASE("automatic replacement of voters under random faults and lost disks violates no invariant") {
    for (const bool disks : {true, false}) {
        std::size_t changes = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            CAPTURE(disks);
            CAPTURE(seed);
            group_options settings = lossy_group(seed, 3);
            settings.spares = 2;
            settings.disks = disks;
            group_simulation group(settings);
            group.enable_replacement({3, 300ms});
            run_random(group, seed, true);
            CHECK(group.checks().clean());
            changes += group.changes_started();
        }
        // A run may lose the majority permanently, so the number of changes is checked over all runs.
        CHECK(changes > 200);
    }
}

// Guards against two valid leases: a voter may have confirmed a leader just before it restarted and votes for
// another one.
TEST_CASE("elections right after restarts violate no invariant, and no two leases overlap") {
    for (const std::size_t voters : {3U, 5U}) {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(voters);
            CAPTURE(seed);
            group_options settings = lossy_group(seed, voters);
            settings.elect_after_restart = true;
            group_simulation group(settings);
            run_random(group, seed, false, true);
            CHECK(group.checks().clean());
            CHECK_FALSE(group.leader().empty());
        }
    }
}

TEST_CASE("a restarted voter does not help elect a new leader while the old leader's lease is valid") {
    const auto violates_lease = [](fault injected) {
        group_options settings;
        settings.elect_after_restart = true;
        settings.injected = injected;
        group_simulation group(settings);
        group.run(2s);
        const std::string leader = group.leader();
        REQUIRE_FALSE(leader.empty());
        std::vector<std::string> others;
        for (const auto& [name, it] : group.hosts()) {
            if (name != leader) {
                others.push_back(name);
            }
        }
        // One follower is cut off from the leader and requests votes; the other one confirms the leader and
        // restarts.
        group.cut(leader, others[0]);
        group.cut(others[0], leader);
        group.run(1s);
        REQUIRE(group.leader() == leader);
        // The vote request must arrive between a restart and the leader's next heartbeat, so the restart is
        // repeated.
        for (int n = 0; n < 40; ++n) {
            group.restart(others[1], false);
            group.run(137ms);
        }
        return group.checks().found(violation::overlapping_lease);
    };
    CHECK_FALSE(violates_lease(fault::none));
    CHECK(violates_lease(fault::ignores_provisional));
}

// Guards against a checker that would pass a broken implementation.
TEST_CASE("the checker detects injected bugs in random runs") {
    SUBCASE("a missing fsync loses committed entries") {
        CHECK(detects(fault::skips_fsync, violation::committed_entry_changed, true, 60));
        CHECK(detects(fault::skips_fsync, violation::incomplete_leader, true, 60));
        CHECK(detects(fault::skips_fsync, violation::lost_command, true, 60));
    }
    SUBCASE("a diskless voter that keeps its identity loses committed entries") {
        CHECK(detects(fault::keeps_identity, violation::incomplete_leader, false, 60));
    }
    SUBCASE("a command acknowledged before its commit is lost") {
        CHECK(detects(fault::acknowledges_early, violation::lost_command, true, 60));
    }
    SUBCASE("a voter that votes right after its restart causes overlapping leases") {
        CHECK(detects(fault::votes_right_after_restart, violation::overlapping_lease, true, 60));
    }
    SUBCASE("followers that confirm entries without storing them lose committed entries") {
        CHECK(detects(fault::acknowledges_unstored, violation::incomplete_leader, true, 60));
    }
    SUBCASE("a state machine that applies a command twice diverges") {
        CHECK(detects(fault::applies_twice, violation::diverged_state, true, 5));
    }
}
