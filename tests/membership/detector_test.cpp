#include "support/virtual_network.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kingcupseam;
using namespace kingcupseam::membership;
using namespace std::chrono_literals;
using kingcupseam::test::virtual_network;

namespace {

/// A group in which all members know each other.
struct group {
    virtual_network net;
    std::vector<std::pair<std::size_t, record>> changes;

    explicit group(std::size_t members, std::uint64_t seed = 1, double loss = 0.01) : net(seed, loss) {
        for (std::size_t n = 0; n < members; ++n) {
            net.start(n);
        }
        net.run(10s);
        REQUIRE(net.count_unseen_pairs() == 0);
        net.on_change = [this](std::size_t n, const record& it) { changes.emplace_back(n, it); };
    }
    auto seen(status condition, const std::string& name) const {
        return std::count_if(changes.begin(), changes.end(), [&](const auto& it) {
            return it.second.condition == condition && it.second.id.name == name;
        });
    }
};

} // namespace

// Guards against an instance that some members never learn of.
TEST_CASE("instances find each other through their seeds") {
    group it(12);
    it.net.start(12);
    it.net.run(2s);
    CHECK(it.net.count_unseen_pairs() == 0);
    CHECK(it.seen(status::alive, "i12") >= 12);
}

TEST_CASE("all members detect a loss within 300 ms") {
    group it(12, 4, 0);
    it.net.stop(7);
    it.net.run(300ms);
    CHECK(it.seen(status::dead, "i7") == 11);
}

TEST_CASE("an instance that starts before its seeds joins them later") {
    virtual_network net(2, 0);
    net.start(5);
    net.run(3s);
    net.start(0);
    net.run(2s);
    CHECK(net.count_unseen_pairs() == 0);
}

TEST_CASE("all members declare a lost instance dead") {
    group it(12);
    it.net.stop(7);
    it.net.run(2s);
    CHECK(it.seen(status::dead, "i7") == 11);
    CHECK_FALSE(it.net.at(3).alive({"i7", 1}));
    CHECK(it.net.count_unseen_pairs() == 0);

    SUBCASE("the instance returns with a higher incarnation") {
        it.net.start(7, 2);
        it.net.run(3s);
        CHECK(it.net.count_unseen_pairs() == 0);
        CHECK_FALSE(it.net.at(3).alive({"i7", 1}));
    }
}

// Guards against an instance that stays dead for the others after a pause, or that declares the others dead
// because of it.
TEST_CASE("an instance that was paused returns and refutes its death") {
    group it(12);
    it.net.pause(7, true);
    it.net.run(2s);
    CHECK_FALSE(it.net.at(3).alive({"i7", 1}));
    it.changes.clear();
    it.net.pause(7, false);
    it.net.run(3s);
    CHECK(it.net.count_unseen_pairs() == 0);
    SUBCASE("the paused instance does not declare others dead") {
        CHECK(std::none_of(it.changes.begin(), it.changes.end(), [](const auto& one) {
            return one.first == 7 && one.second.condition == status::dead;
        }));
    }
}

TEST_CASE("an instance that pauses for 200 ms is suspected, but not declared dead") {
    group it(12, 3, 0);
    it.net.pause(7, true);
    it.net.run(200ms);
    it.net.pause(7, false);
    it.net.run(2s);
    CHECK(it.seen(status::dead, "i7") == 0);
    CHECK(it.net.count_unseen_pairs() == 0);
    CHECK(it.seen(status::suspect, "i7") > 0);
}

TEST_CASE("an instance that leaves is recorded as left, not declared dead") {
    group it(12);
    it.net.leave(7);
    it.net.run(2s);
    CHECK(it.seen(status::left, "i7") == 11);
    CHECK(it.seen(status::dead, "i7") == 0);
}

// Guards against a group that stays split after the network has recovered.
TEST_CASE("both sides of a partition merge after it heals") {
    group it(20);
    it.net.split(8);
    it.net.run(20s);
    CHECK_FALSE(it.net.at(2).alive({"i15", 1}));
    CHECK_FALSE(it.net.at(15).alive({"i2", 1}));
    CHECK(it.net.at(2).alive({"i7", 1}));
    SUBCASE("while the records of dead members are kept") {
        it.changes.clear();
        it.net.split(0);
        it.net.run(10s);
        CHECK(it.net.count_unseen_pairs() == 0);
        // Neither side may adopt the other side's records of its own members as dead.
        CHECK(std::none_of(it.changes.begin(), it.changes.end(),
                           [](const auto& one) { return one.second.condition == status::dead; }));
    }
    SUBCASE("through the seeds, after the records of dead members have expired") {
        it.net.run(11min);
        it.net.split(0);
        it.net.run(30s);
        CHECK(it.net.count_unseen_pairs() == 0);
    }
}

TEST_CASE("1% message loss does not get a member declared dead") {
    group it(12, 5, 0.01);
    it.net.run(60s);
    CHECK(std::none_of(it.changes.begin(), it.changes.end(),
                       [](const auto& one) { return one.second.condition == status::dead; }));
}
