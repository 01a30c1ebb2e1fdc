#include "ledger/simulation.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

/// A simulation in which each step submits a request and may inject a random fault.
struct random_run {
    simulation sim;
    std::mt19937_64 random;

    random_run(const simulation_options& settings, std::uint64_t seed)
        : sim(settings, seed), random(seed * 7919) {}

    std::uint64_t pick(std::uint64_t limit) { return random() % limit; }
    std::string any_gate() { return pick(2) == 0 ? sim.current_gate() : "g" + std::to_string(1 + pick(3)); }
    std::string any_replica() { return "r" + std::to_string(1 + pick(3)); }

    void step(std::uint64_t round) {
        // Also resends keys of the last rounds, through any gate.
        const std::string key = "k" + std::to_string(round / 4 + pick(3));
        // Draws are statements of their own: the order in which a call's arguments are evaluated differs
        // between x86-64 and arm64.
        const std::string digest = pick(20) == 0 ? "other" : "d";
        sim.submit(any_gate(), key, digest);
        switch (pick(12)) {
        case 0:
            sim.appoint("g" + std::to_string(1 + pick(3)));
            break;
        case 1: {
            const auto pause = 1ms * pick(80);
            sim.pause_replica(any_replica(), pause);
            break;
        }
        case 2: {
            const auto pause = 1ms * pick(80);
            sim.pause_gate(any_gate(), pause);
            break;
        }
        case 3:
            if (sim.install_missing()) {
                sim.replace_replica(any_replica());
            }
            break;
        case 4: {
            const std::string replica = any_replica();
            sim.cut(any_gate(), replica);
            break;
        }
        case 5:
            sim.heal();
            break;
        default:
            break;
        }
        sim.advance(1ms * pick(12));
    }

    /// Stops at the first violation.
    void run(std::uint64_t rounds) {
        for (std::uint64_t n = 0; n < rounds && sim.violations().empty(); ++n) {
            step(n);
        }
        sim.heal();
        sim.advance(3s);
        sim.install_missing();
    }
};

simulation_options faulty_network() {
    simulation_options settings;
    settings.loss = 0.05;
    settings.duplication = 0.1;
    settings.late = 0.1;
    settings.shed = 0.15;
    settings.lost_answer = 0.05;
    return settings;
}

/// True if the first violation of a run with one of the seeds starts with @p kind.
bool detects(const simulation_options& settings, const std::string& kind) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_run it(settings, seed);
        it.run(400);
        if (!it.sim.violations().empty() && it.sim.violations().front().rfind(kind, 0) == 0) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("under random faults no key runs twice and every reported outcome is correct") {
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        random_run it(faulty_network(), seed);
        it.run(400);
        for (const auto& violation : it.sim.violations()) {
            FAIL_CHECK(violation);
        }
        CHECK(it.sim.count(reported_outcome::nothing) == 0);
        CHECK(it.sim.pending() == 0);
        ran += it.sim.count(reported_outcome::ran);
        not_run += it.sim.count(reported_outcome::not_run);
        unknown += it.sim.count(reported_outcome::unknown);
    }
    // A run that serves few requests would pass without testing much.
    MESSAGE("ran " << ran << ", not-run " << not_run << ", unknown " << unknown);
    CHECK(ran > 1500);
    CHECK(not_run > 500);
}

// Guards against checks that would pass a broken ledger.
TEST_CASE("the checks detect injected bugs") {
    simulation_options settings = faulty_network();
    SUBCASE("replicas that ignore the epoch let a replaced gate run a key again") {
        settings.replicas_ignore_epoch = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a writer that dispatches after one replica has accepted") {
        settings.one_acceptance_is_enough = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a replica that lost its records and serves without install()") {
        settings.empty_replica_serves = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a gate that reports not-run after its lease has ended") {
        settings.not_run_without_lease = true;
        CHECK(detects(settings, "not-run reported although"));
    }
    SUBCASE("a replica that lets a delayed not_run of the first attempt replace the second attempt") {
        settings.late_not_run_replaces = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a replica that truncates answers") {
        settings.truncates_answers = true;
        CHECK(detects(settings, "answer differs"));
    }
}
