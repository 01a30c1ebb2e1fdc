#include "ledger/world.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::test;
using namespace std::chrono_literals;

namespace {

struct random_run {
    world subject;
    std::mt19937_64 random;

    random_run(const world_options& settings, std::uint64_t seed)
        : subject(settings, seed), random(seed * 7919) {}

    std::uint64_t pick(std::uint64_t limit) { return random() % limit; }
    std::string gate() { return pick(2) == 0 ? subject.current() : "g" + std::to_string(1 + pick(3)); }
    std::string replica() { return "r" + std::to_string(1 + pick(3)); }

    void step(std::uint64_t round) {
        // Keys of the last rounds are sent again, through any gate.
        const std::string key = "k" + std::to_string(round / 4 + pick(3));
        subject.submit(gate(), key, pick(20) == 0 ? "other" : "d");
        switch (pick(12)) {
        case 0:
            subject.appoint("g" + std::to_string(1 + pick(3)));
            break;
        case 1:
            subject.pause_replica(replica(), 1ms * pick(80));
            break;
        case 2:
            subject.pause_gate(gate(), 1ms * pick(80));
            break;
        case 3:
            if (subject.install_missing()) {
                subject.replace_replica(replica());
            }
            break;
        case 4:
            subject.cut(gate(), replica());
            break;
        case 5:
            subject.heal();
            break;
        default:
            break;
        }
        subject.advance(1ms * pick(12));
    }

    /// @returns at the first violation
    void run(std::uint64_t rounds) {
        for (std::uint64_t n = 0; n < rounds && subject.violations().empty(); ++n) {
            step(n);
        }
        subject.heal();
        subject.advance(3s);
        subject.install_missing();
    }
};

world_options faults() {
    world_options settings;
    settings.loss = 0.05;
    settings.duplication = 0.1;
    settings.late = 0.1;
    settings.shed = 0.15;
    settings.lost_answer = 0.05;
    return settings;
}

/// True when a run with one of the seeds ends with a violation that starts with @p kind.
bool detects(const world_options& settings, const std::string& kind) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_run it(settings, seed);
        it.run(400);
        if (!it.subject.violations().empty() && it.subject.violations().front().rfind(kind, 0) == 0) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("random faults never run a key twice, and no outcome that was told is false") {
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        random_run it(faults(), seed);
        it.run(400);
        for (const auto& violation : it.subject.violations()) {
            FAIL_CHECK(violation);
        }
        CHECK(it.subject.count(told::nothing) == 0);
        CHECK(it.subject.pending() == 0);
        ran += it.subject.count(told::ran);
        not_run += it.subject.count(told::not_run);
        unknown += it.subject.count(told::unknown);
    }
    // A run in which hardly anything is served would prove nothing.
    MESSAGE("ran " << ran << ", not-run " << not_run << ", unknown " << unknown);
    CHECK(ran > 1500);
    CHECK(not_run > 500);
}

TEST_CASE("the checks detect broken variants") {
    world_options settings = faults();
    SUBCASE("replicas that ignore the epoch let a replaced gate run a key again") {
        settings.replicas_ignore_epoch = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a writer that dispatches after one acceptance") {
        settings.one_acceptance_is_enough = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a replica that serves after losing its records") {
        settings.empty_replica_serves = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a gate that says not-run after it lost its lease") {
        settings.not_run_without_lease = true;
        CHECK(detects(settings, "not-run while"));
    }
    SUBCASE("a replica that lets a late not_run of the first attempt replace the second attempt") {
        settings.late_not_run_replaces = true;
        CHECK(detects(settings, "executed twice"));
    }
    SUBCASE("a replica that returns an answer cut short") {
        settings.answers_cut = true;
        CHECK(detects(settings, "another answer"));
    }
}
