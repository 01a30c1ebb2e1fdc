#include <doctest/doctest.h>

#include <kingcupseam/ownership.h>

#include <algorithm>

using namespace kingcupseam;
using namespace kingcupseam::ownership;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours(1)};

/// A data centre group in which no grant is live unless a test sets an end in the view.
struct group {
    assignment_state state{"dc1", 1};
    std::uint64_t index = 0;
    planner_options settings;
    std::unique_ptr<planner> active_planner;
    cluster_view view;
    time_point now = start;
    std::uint32_t shards_moved = 0;
    std::uint32_t gates_changed = 0;
    std::uint32_t keys_moved = 0;

    group() {
        settings.ramp = duration::zero();
        active_planner = make_fewest_moves_planner(settings);
        view.live_instances = {"i1", "i2", "i3"};
    }
    const table& rows() const { return *state.current(); }
    bool apply(const command& change) { return state.apply(change, ++index); }

    void announce(const std::string& name, std::uint32_t slots = 2, std::uint64_t incarnation = 1) {
        upstream_row row;
        row.name = name;
        row.incarnation = incarnation;
        row.service = "s";
        row.slots = slots;
        row.condition = upstream_status::active;
        REQUIRE(apply(register_upstream{row, 96, {}}));
    }
    /// Makes one plan and applies it. @returns the number of its commands
    std::size_t plan() {
        const auto commands = active_planner->plan(rows(), view, now);
        for (const auto& it : commands) {
            if (const auto* move = std::get_if<begin_move>(&it)) {
                shards_moved += static_cast<std::uint32_t>(move->shards.size());
                keys_moved += static_cast<std::uint32_t>(move->hot_keys.size());
            }
            gates_changed += std::holds_alternative<set_gate>(it) ? 1 : 0;
            CHECK(apply(it));
        }
        return commands.size();
    }
    void settle() {
        for (int n = 0; plan() > 0; ++n) {
            REQUIRE(n < 20);
        }
    }
    std::uint32_t count(const std::string& name) const {
        std::uint32_t n = 0;
        for (std::uint32_t shard = 0; shard < 96; ++shard) {
            const auto* owner = rows().owner_of("s", shard, "");
            n += owner != nullptr && owner->name == name ? 1 : 0;
        }
        return n;
    }
};

} // namespace

// Guards against needless moves, and against moves that complete while a grant of the former owner may be
// live.
TEST_CASE("shards are balanced by slots with the fewest moves") {
    group it;
    it.announce("a");
    it.announce("b");
    it.announce("c", 4);
    it.settle();
    CHECK(it.count("a") == 24);
    CHECK(it.count("b") == 24);
    CHECK(it.count("c") == 48);
    it.shards_moved = 0;

    SUBCASE("a joining upstream takes its share and nothing else moves") {
        it.announce("d", 4);
        it.settle();
        CHECK(it.count("d") == 32);
        CHECK(it.shards_moved == 32);
    }
    SUBCASE("only the shards of a lost upstream move, and only after the end of its grant") {
        it.view.grant_may_live_until["a"] = start + 100ms;
        it.apply(set_condition{"a", 1, upstream_status::lost});
        it.settle();
        CHECK(it.shards_moved == 0);
        it.now = start + 100ms;
        it.settle();
        CHECK(it.shards_moved == 0);
        it.now += 1us;
        it.settle();
        CHECK(it.shards_moved == 24);
        CHECK(it.count("b") == 32);
        CHECK(it.count("c") == 64);
    }
    SUBCASE("the shards of a draining upstream move once it has acknowledged the new version") {
        it.view.grant_may_live_until["a"] = start + 1s;
        const auto former_version = it.rows().latest_row("a")->version;
        it.apply(set_condition{"a", 1, upstream_status::draining});
        it.settle();
        CHECK(it.rows().owner_of("s", 0, "") == nullptr);
        CHECK(it.count("a") == 0);
        CHECK(it.count("b") == 24);
        const auto version = it.rows().latest_row("a")->version;
        it.view.acknowledged_version["a"] = former_version;
        it.settle();
        CHECK(it.count("b") == 24);
        it.view.acknowledged_version["a"] = version;
        it.settle();
        CHECK(it.count("b") == 32);
    }
    SUBCASE("a new incarnation gets no shards while the former one may hold a grant") {
        it.view.grant_may_live_until["a"] = start + 1s;
        it.announce("a", 2, 2);
        it.view.acknowledged_version["a"] = it.rows().latest_row("a")->version;
        it.settle();
        CHECK(it.count("a") == 0);
        CHECK(it.shards_moved == 0);
        it.now = start + 2s;
        it.settle();
        CHECK(it.count("a") == 24);
    }
    SUBCASE("a move whose target is lost gets another target") {
        it.view.grant_may_live_until["a"] = start + 1s;
        it.apply(begin_move{"s", {0}, {}, "b"});
        it.apply(set_condition{"b", 1, upstream_status::lost});
        it.settle();
        CHECK(it.rows().owner_of("s", 0, "") == nullptr);
        it.now = start + 2s;
        it.settle();
        CHECK(it.count("a") + it.count("c") == 96);
    }
}

// Guards against sending a cold upstream its full share at once.
TEST_CASE("a joining upstream with cold caches gets its share in steps") {
    group it;
    it.settings.ramp = 5s;
    it.active_planner = make_fewest_moves_planner(it.settings);
    it.announce("a");
    it.announce("b");
    it.settle();
    it.announce("c");
    it.view.joined_at["c"] = start;
    std::uint32_t last = 0;
    for (int second = 0; second < 5; ++second) {
        it.now = start + std::chrono::seconds(second);
        it.settle();
        CHECK(it.count("c") > last);
        last = it.count("c");
        const double weight = 2.0 * (second + 1) / 5;
        CHECK(std::abs(last - 96 * weight / (4 + weight)) < 1);
    }
    CHECK(last == 32);
}

// Guards against an instance that is the gate of most upstreams, and against needless changes of gates.
TEST_CASE("gates and standbys are spread evenly with few changes") {
    group it;
    for (int n = 0; n < 9; ++n) {
        it.announce(std::to_string(n));
    }
    it.settle();
    const auto gates_of = [&it](const std::string& instance) {
        return std::count_if(it.rows().upstreams.begin(), it.rows().upstreams.end(),
                             [&](const auto& row) { return row.gate == instance; });
    };
    for (const auto& row : it.rows().upstreams) {
        CHECK(row.gate != row.standby);
        CHECK_FALSE(row.standby.empty());
    }
    CHECK(gates_of("i1") == 3);
    it.gates_changed = 0;

    SUBCASE("the standby becomes the gate of a lost instance in one plan, and no shard moves") {
        const auto before = it.rows();
        it.shards_moved = 0;
        it.view.live_instances.erase("i1");
        it.plan();
        for (std::size_t n = 0; n < before.upstreams.size(); ++n) {
            CHECK(it.rows().upstreams[n].gate != "i1");
            if (before.upstreams[n].gate == "i1") {
                CHECK(it.rows().upstreams[n].epoch > before.upstreams[n].epoch);
                CHECK(it.rows().upstreams[n].version == before.upstreams[n].version);
            }
        }
        CHECK(std::abs(gates_of("i2") - gates_of("i3")) <= 1);
        CHECK(it.shards_moved == 0);
    }
    SUBCASE("a new instance gets an equal share with few changes") {
        it.view.live_instances.insert("i4");
        it.settle();
        CHECK(gates_of("i4") == 2);
        CHECK(it.gates_changed <= 4);
    }
    SUBCASE("without any instance nothing changes") {
        it.view.live_instances.clear();
        CHECK(it.plan() == 0);
    }
}

// Guards against two gates that dispatch to an upstream that runs the requests of both.
TEST_CASE("an upstream that does not check grants gets its next gate after the lease of the former one") {
    group it;
    upstream_row row;
    row.name = "a";
    row.service = "s";
    row.checks_grants = false;
    row.condition = upstream_status::active;
    REQUIRE(it.apply(register_upstream{row, 96, {}}));
    it.settle();
    const auto former = it.rows().latest_row("a")->gate;
    it.view.grant_may_live_until["a"] = start + 500ms;
    it.view.live_instances.erase(former);
    it.settle();
    CHECK(it.rows().latest_row("a")->gate == former);
    it.now = start + 501ms;
    it.settle();
    CHECK(it.rows().latest_row("a")->gate != former);
}

// Guards against moving a whole shard because of one key, and against moves that do not balance the load.
TEST_CASE("hot keys move without their shard, only where it balances the load, and within their limit") {
    group it;
    for (const auto* name : {"a", "b", "c"}) {
        it.announce(name);
    }
    it.settle();
    std::vector<std::string> keys;
    for (int n = 0; keys.size() < 25; ++n) {
        if (it.rows().owner_of("s", shard_of(std::to_string(n), 96), "")->name == "a") {
            keys.push_back(std::to_string(n));
        }
    }
    it.shards_moved = 0;
    SUBCASE("a single hot key stays, because moving it would not balance the load") {
        it.view.hot_keys = {{"s", keys[0], 1000}};
        CHECK(it.plan() == 0);
    }
    SUBCASE("two hot keys of one upstream are separated") {
        it.view.hot_keys = {{"s", keys[0], 1000}, {"s", keys[1], 900}};
        it.settle();
        CHECK(it.keys_moved == 1);
        CHECK(it.shards_moved == 0);
        CHECK(it.rows().services.at("s").hot_keys.size() == 1);
        SUBCASE("a key without load for a period returns to the owner of its shard") {
            const auto moved = it.rows().services.at("s").hot_keys.begin()->first;
            it.view.hot_keys = {{"s", moved == keys[0] ? keys[1] : keys[0], 1000}};
            it.plan();
            it.now += it.settings.hot_key_period;
            it.settle();
            CHECK(it.rows().services.at("s").hot_keys.empty());
        }
        SUBCASE("a key whose owner is lost gets another owner") {
            const auto moved = it.rows().services.at("s").hot_keys.begin()->first;
            const std::string owner = it.rows().owner_of("s", shard_of(moved, 96), moved)->name;
            it.apply(set_condition{owner, 1, upstream_status::lost});
            it.settle();
            CHECK(it.rows().owner_of("s", shard_of(moved, 96), moved) != nullptr);
        }
    }
    SUBCASE("at most max_hot_key_moves keys move in one period") {
        for (const auto& key : keys) {
            it.view.hot_keys.push_back({"s", key, 100});
        }
        it.settle();
        CHECK(it.keys_moved == 10);
        it.now += it.settings.hot_key_period;
        it.settle();
        CHECK(it.keys_moved > 10);
        CHECK(it.keys_moved <= 20);
    }
}

// Guards against a replica that counts before it has copied the window.
TEST_CASE("a ledger group that loses a replica gets a joining instance") {
    group it;
    it.view.live_instances = {"i1", "i2", "i3", "i4", "i5"};
    it.announce("a");
    it.settle();
    REQUIRE(it.rows().ledger_groups.size() == 16);
    std::map<std::string, int> counts;
    for (const auto& ledger : it.rows().ledger_groups) {
        CHECK(std::set<std::string>(ledger.replicas.begin(), ledger.replicas.end()).size() == 3);
        for (const auto& name : ledger.replicas) {
            ++counts[name];
        }
    }
    for (const auto& [name, n] : counts) {
        CHECK(n >= 9);
        CHECK(n <= 10);
    }
    const auto before = it.rows().ledger_groups;
    it.view.live_instances.erase("i1");
    it.settle();
    for (std::size_t n = 0; n < before.size(); ++n) {
        const auto& ledger = it.rows().ledger_groups[n];
        CHECK(ledger.replicas == before[n].replicas);
        const bool hit = std::count(ledger.replicas.begin(), ledger.replicas.end(), "i1") > 0;
        CHECK(ledger.joining.size() == (hit ? 1 : 0));
    }
}
