#include <kingcupseam/placement.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace kingcupseam;
using namespace kingcupseam::placement;

namespace {

const std::string service = "registry";
const time_point start{std::chrono::hours(5)};

constexpr duration s(std::int64_t n) {
    return std::chrono::seconds(n);
}

/// A planner with the state it acts on; commands are applied at once unless a test holds them back.
struct leader {
    placement_state state;
    std::uint64_t index = 0;
    std::map<std::string, std::uint32_t> slots{{"a", 10}, {"b", 10}, {"c", 10}};
    duration hold = s(60);
    std::uint32_t shards = 12;
    time_point valid_until = start + std::chrono::hours(100);
    placement_planner planner{{}, start};
    std::uint64_t number = 0;

    planner_view view() const { return {state, {{service, {shards, hold, slots}}}, valid_until}; }
    bool apply(const command& change) { return state.apply(change, ++index); }
    void apply_all(const std::vector<command>& changes) {
        for (const auto& it : changes) {
            apply(it);
        }
    }
    contact_effects ask(const std::string& name, time_point now, std::uint64_t version = 0,
                        std::map<std::string, duration> used = {}) {
        return planner.on_contact({name, 1, ++number, version, std::move(used), {}}, view(), now);
    }
    std::optional<contact_reply> contact(const std::string& name, time_point now) {
        apply_all(ask(name, now).commands);
        return ask(name, now).reply;
    }
    /// First spread, at @p now.
    void form(time_point now) {
        for (const auto at : {now - s(2), now}) {
            for (const auto& [name, it] : slots) {
                contact(name, at);
            }
            apply_all(planner.plan(view(), at));
        }
    }
    std::int64_t shards_placed_in(const std::string& name) const {
        const auto& it = state.services.at(service);
        return std::count_if(it.placements.begin(), it.placements.end(), [&](auto home) {
            return home != unplaced && it.data_centers[static_cast<std::size_t>(home)] == name;
        });
    }
};

std::vector<std::int16_t> none(std::size_t shards) {
    return std::vector<std::int16_t>(shards, unplaced);
}

std::vector<std::int64_t> counts(const std::vector<std::int16_t>& placement, std::size_t data_centers) {
    std::vector<std::int64_t> result(data_centers);
    for (const auto it : placement) {
        ++result.at(static_cast<std::size_t>(it));
    }
    return result;
}

std::size_t moves(const std::vector<std::int16_t>& a, const std::vector<std::int16_t>& b) {
    std::size_t result = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        result += a[n] == b[n] ? 0 : 1;
    }
    return result;
}

} // namespace

TEST_CASE("shards are spread in proportion to the slots with the fewest moves") {
    const std::vector<bool> all(4096, true);
    const auto first = spread_shards(none(4096), {20, 10, 10}, all, {true, true, true});
    SUBCASE("the first spread is proportional and interleaved") {
        CHECK(counts(first, 3) == std::vector<std::int64_t>{2048, 1024, 1024});
        // Long runs of one home would put neighbouring shards of a hot service into one data centre.
        for (std::size_t n = 0; n + 4 < first.size(); ++n) {
            CHECK(std::count(first.begin() + std::ptrdiff_t(n), first.begin() + std::ptrdiff_t(n) + 4, 0) ==
                  2);
        }
    }
    SUBCASE("nothing moves when nothing changed") {
        CHECK(spread_shards(first, {20, 10, 10}, all, {true, true, true}) == first);
    }
    SUBCASE("a joining data centre takes its share and nothing else moves") {
        const auto next = spread_shards(first, {20, 10, 10, 10}, all, {true, true, true, true});
        const auto shared = counts(next, 4);
        CHECK(shared[3] == moves(first, next));
        CHECK(std::abs(shared[0] - 1638) <= 1);
        CHECK(std::abs(shared[3] - 819) <= 1);
    }
    SUBCASE("shards that may not move stay, whatever the slots") {
        CHECK(spread_shards(first, {0, 10, 10}, std::vector<bool>(4096, false), {true, true, true}) == first);
    }
    SUBCASE("shards without a home go to those that may gain, also above their share") {
        auto lost = first;
        std::replace(lost.begin(), lost.end(), std::int16_t{0}, unplaced);
        const auto next =
            spread_shards(lost, {0, 10, 10}, std::vector<bool>(4096, false), {false, true, false});
        CHECK(counts(next, 3) == std::vector<std::int64_t>{0, 3072, 1024});
    }
    SUBCASE("without a data centre that may gain nothing changes") {
        CHECK(spread_shards(none(4), {10, 10}, {true, true, true, true}, {false, false}) == none(4));
        CHECK(spread_shards(none(4), {0, 0}, {true, true, true, true}, {true, true}) == none(4));
    }
}

TEST_CASE("the planner moves homes of a silent data centre only after the hold") {
    leader it;
    const auto formed = start + s(10);
    it.form(formed);
    REQUIRE(it.shards_placed_in("a") == 4);
    const auto silent_until = [&it](time_point now) {
        it.contact("a", now);
        it.contact("b", now);
        return it.planner.plan(it.view(), now);
    };
    SUBCASE("not within the hold and its margin") {
        CHECK(silent_until(formed + s(60)).empty());
        CHECK(silent_until(formed + s(60) + drift_margin(s(60))).empty());
        it.apply_all(silent_until(formed + s(61)));
        CHECK(it.shards_placed_in("c") == 0);
        CHECK(it.shards_placed_in("a") == 6);
    }
    SUBCASE("a newly elected leader counts the hold from its election") {
        const auto elected = formed + s(50);
        it.planner = placement_planner({}, elected);
        CHECK(silent_until(elected + s(60)).empty());
        CHECK(silent_until(elected + s(61)).size() == 1);
    }
    SUBCASE("a leader that may have been replaced does not confirm contacts") {
        it.valid_until = formed + s(1);
        CHECK_FALSE(it.ask("c", formed + s(1)).reply);
    }
    SUBCASE("a contact while the move is being committed is answered only in the order of the log") {
        const auto now = formed + s(61);
        const auto move = silent_until(now);
        REQUIRE(move.size() == 1);
        const auto effects = it.ask("c", now);
        CHECK_FALSE(effects.reply);
        REQUIRE(effects.commands.size() == 1);
        SUBCASE("the move commits first: the reply says so") {
            it.apply_all(move);
            it.apply_all(effects.commands);
            const auto reply = it.ask("c", now).reply;
            REQUIRE(reply);
            CHECK(reply->assigned->services.at(service).shards.empty());
        }
        SUBCASE("the contact commits first: the move is refused") {
            it.apply_all(effects.commands);
            CHECK_FALSE(it.apply(move[0]));
            CHECK(it.shards_placed_in("c") == 4);
        }
    }
    SUBCASE("a hold that was promised before it was shortened still counts") {
        it.hold = s(5);
        CHECK(silent_until(formed + s(20)).empty());
        CHECK(silent_until(formed + s(61)).size() == 1);
    }
    SUBCASE("a longer hold is offered only once it is promised") {
        it.hold = s(600);
        const auto effects = it.ask("c", formed);
        CHECK_FALSE(effects.reply);
        it.apply_all(effects.commands);
        CHECK(it.state.promises.at("c").holds.at(service) == s(600));
        CHECK(it.ask("c", formed).reply);
    }
    SUBCASE("a request of a former leader of the data centre does not shorten the promise") {
        it.hold = s(600);
        it.contact("c", formed);
        it.hold = s(60);
        const auto old = it.state.promises.at("c").lengthened_at - 1;
        it.apply_all(it.ask("c", formed, old, {{service, s(60)}}).commands);
        CHECK(it.state.promises.at("c").holds.at(service) == s(600));
        it.apply_all(it.ask("c", formed, it.state.version, {{service, s(60)}}).commands);
        CHECK(it.state.promises.at("c").holds.at(service) == s(60));
    }
}

TEST_CASE("planned moves wait for a lasting change and for consent") {
    leader it;
    const auto formed = start + s(10);
    it.form(formed);
    std::vector<command> issued;
    const auto run = [&](duration from, duration until) {
        for (auto at = formed + from; at <= formed + until && issued.empty(); at += s(1)) {
            for (const auto& [name, count] : it.slots) {
                it.contact(name, at);
            }
            issued = it.planner.plan(it.view(), at);
        }
    };
    SUBCASE("a small change moves nothing") {
        it.slots["a"] = 8;
        run(s(1), s(1300));
        CHECK(issued.empty());
    }
    SUBCASE("a change that ends within the delay moves nothing") {
        it.slots["a"] = 0;
        run(s(1), s(500));
        it.slots["a"] = 10;
        run(s(501), s(510));
        it.slots["a"] = 0;
        run(s(511), s(1000));
        CHECK(issued.empty());
    }
    SUBCASE("a lasting change starts releases, and each home moves with its confirmation") {
        it.slots["a"] = 5;
        run(s(1), s(700));
        REQUIRE(issued.size() == 1);
        it.apply_all(issued);
        const auto& placement = it.state.services.at(service);
        const auto releases = placement.releases;
        REQUIRE(releases.size() == 2);
        CHECK(it.shards_placed_in("a") == 4);
        const auto [shard, release] = *releases.begin();
        CHECK_FALSE(it.apply(confirm_release{service, "a", {{shard, release.begun - 1}}}));
        CHECK_FALSE(it.apply(confirm_release{service, "b", {{shard, release.begun}}}));
        CHECK(it.apply(confirm_release{service, "a", {{shard, release.begun}}}));
        CHECK(it.shards_placed_in("a") == 3);
        CHECK_FALSE(it.apply(confirm_release{service, "a", {{shard, release.begun}}}));
    }
}

TEST_CASE("commands based on an older state are refused") {
    leader it;
    it.form(start + s(10));
    const auto version = it.state.services.at(service).version;
    const auto before = it.state;
    CHECK_FALSE(it.apply(begin_release{service, version - 1, {{0, "b"}}, {}}));
    CHECK_FALSE(it.apply(begin_release{"unknown", version, {{0, "b"}}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, 0, {"a"}, none(12), {}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, version, {"a"}, none(12), {}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, version, {"a", "b", "c"}, {7}, {}, {}}));
    CHECK(it.state == before);
}
