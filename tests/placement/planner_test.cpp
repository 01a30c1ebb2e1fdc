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

/// The leader of the global group: the planner and the state that its commands are applied to.
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
    /// Passes one contact request of the data centre to the planner and applies none of the commands.
    contact_effects send_request(const std::string& name, time_point now, std::uint64_t version = 0,
                                 std::map<std::string, duration> used = {}) {
        return planner.on_contact({name, 1, ++number, version, std::move(used), {}}, view(), now);
    }
    /// Repeats a contact request after the commands of the first one have been applied, as a data centre
    /// does.
    std::optional<contact_reply> contact(const std::string& name, time_point now) {
        apply_all(send_request(name, now).commands);
        return send_request(name, now).reply;
    }
    /// Makes the initial placement at @p now.
    void place_initially(time_point now) {
        for (const auto at : {now - s(2), now}) {
            for (const auto& [name, it] : slots) {
                contact(name, at);
            }
            apply_all(planner.plan(view(), at));
        }
    }
    std::int64_t shards_placed_in(const std::string& name) const {
        const auto& it = state.services.at(service);
        return std::count_if(it.placements.begin(), it.placements.end(), [&](auto placed_in) {
            return placed_in != unplaced && it.data_centers[static_cast<std::size_t>(placed_in)] == name;
        });
    }
};

std::vector<std::int16_t> all_unplaced(std::size_t shards) {
    return std::vector<std::int16_t>(shards, unplaced);
}

std::vector<std::int64_t> shards_per_data_center(const std::vector<std::int16_t>& placement,
                                                 std::size_t data_centers) {
    std::vector<std::int64_t> result(data_centers);
    for (const auto it : placement) {
        ++result.at(static_cast<std::size_t>(it));
    }
    return result;
}

std::size_t count_moves(const std::vector<std::int16_t>& a, const std::vector<std::int16_t>& b) {
    std::size_t result = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        result += a[n] == b[n] ? 0 : 1;
    }
    return result;
}

} // namespace

// Guards against moves beyond the necessary ones, and against a data centre with more than its share.
TEST_CASE("shards are spread in proportion to the slots with the fewest moves") {
    const std::vector<bool> all(4096, true);
    const auto first = spread_shards(all_unplaced(4096), {20, 10, 10}, all, {true, true, true});
    SUBCASE("the initial placement is proportional and interleaved") {
        CHECK(shards_per_data_center(first, 3) == std::vector<std::int64_t>{2048, 1024, 1024});
        // Long runs would place adjacent shards of a hot service in one data centre.
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
        const auto shared = shards_per_data_center(next, 4);
        CHECK(shared[3] == count_moves(first, next));
        CHECK(std::abs(shared[0] - 1638) <= 1);
        CHECK(std::abs(shared[3] - 819) <= 1);
    }
    SUBCASE("shards that may not move stay, whatever the slots") {
        CHECK(spread_shards(first, {0, 10, 10}, std::vector<bool>(4096, false), {true, true, true}) == first);
    }
    SUBCASE("unplaced shards go to data centres that may gain, even above their share") {
        auto lost = first;
        std::replace(lost.begin(), lost.end(), std::int16_t{0}, unplaced);
        const auto next =
            spread_shards(lost, {0, 10, 10}, std::vector<bool>(4096, false), {false, true, false});
        CHECK(shards_per_data_center(next, 3) == std::vector<std::int64_t>{0, 3072, 1024});
    }
    SUBCASE("nothing changes when no data centre may gain") {
        CHECK(spread_shards(all_unplaced(4), {10, 10}, {true, true, true, true}, {false, false}) ==
              all_unplaced(4));
        CHECK(spread_shards(all_unplaced(4), {0, 0}, {true, true, true, true}, {true, true}) ==
              all_unplaced(4));
    }
}

// Guards against a takeover while the data centre that loses the shards may still serve them.
TEST_CASE("shards of a silent data centre are taken over only after the hold") {
    leader it;
    const auto placed_at = start + s(10);
    it.place_initially(placed_at);
    REQUIRE(it.shards_placed_in("a") == 4);
    const auto plan_with_c_silent = [&it](time_point now) {
        it.contact("a", now);
        it.contact("b", now);
        return it.planner.plan(it.view(), now);
    };
    SUBCASE("not within the hold and its margin") {
        CHECK(plan_with_c_silent(placed_at + s(60)).empty());
        CHECK(plan_with_c_silent(placed_at + s(60) + drift_margin(s(60))).empty());
        it.apply_all(plan_with_c_silent(placed_at + s(61)));
        CHECK(it.shards_placed_in("c") == 0);
        CHECK(it.shards_placed_in("a") == 6);
    }
    SUBCASE("a newly elected leader counts the hold from its election") {
        const auto elected = placed_at + s(50);
        it.planner = placement_planner({}, elected);
        CHECK(plan_with_c_silent(elected + s(60)).empty());
        CHECK(plan_with_c_silent(elected + s(61)).size() == 1);
    }
    SUBCASE("a leader that may have been replaced does not reply to contacts") {
        it.valid_until = placed_at + s(1);
        CHECK_FALSE(it.send_request("c", placed_at + s(1)).reply);
    }
    SUBCASE("a contact during a takeover is answered once the log has ordered both") {
        const auto now = placed_at + s(61);
        const auto move = plan_with_c_silent(now);
        REQUIRE(move.size() == 1);
        const auto effects = it.send_request("c", now);
        CHECK_FALSE(effects.reply);
        REQUIRE(effects.commands.size() == 1);
        SUBCASE("the takeover commits first: the reply takes the shards away") {
            it.apply_all(move);
            it.apply_all(effects.commands);
            const auto reply = it.send_request("c", now).reply;
            REQUIRE(reply);
            CHECK(reply->assigned->services.at(service).shards.empty());
        }
        SUBCASE("the contact commits first: the takeover is refused") {
            it.apply_all(effects.commands);
            CHECK_FALSE(it.apply(move[0]));
            CHECK(it.shards_placed_in("c") == 4);
        }
    }
    SUBCASE("a hold that was granted before it was shortened still counts") {
        it.hold = s(5);
        CHECK(plan_with_c_silent(placed_at + s(20)).empty());
        CHECK(plan_with_c_silent(placed_at + s(61)).size() == 1);
    }
    SUBCASE("a longer hold is granted only after it has been committed") {
        it.hold = s(600);
        const auto effects = it.send_request("c", placed_at);
        CHECK_FALSE(effects.reply);
        it.apply_all(effects.commands);
        CHECK(it.state.granted.at("c").holds.at(service) == s(600));
        CHECK(it.send_request("c", placed_at).reply);
    }
    SUBCASE("a request of a former leader of the data centre does not shorten the hold") {
        it.hold = s(600);
        it.contact("c", placed_at);
        it.hold = s(60);
        const auto old_version = it.state.granted.at("c").lengthened_at - 1;
        it.apply_all(it.send_request("c", placed_at, old_version, {{service, s(60)}}).commands);
        CHECK(it.state.granted.at("c").holds.at(service) == s(600));
        it.apply_all(it.send_request("c", placed_at, it.state.version, {{service, s(60)}}).commands);
        CHECK(it.state.granted.at("c").holds.at(service) == s(60));
    }
}

// Guards against moves for a change that does not last, and against moves that the former data centre has not
// confirmed.
TEST_CASE("planned moves wait for a lasting change and for confirmation") {
    leader it;
    const auto placed_at = start + s(10);
    it.place_initially(placed_at);
    std::vector<command> issued;
    const auto run = [&](duration from, duration until) {
        for (auto at = placed_at + from; at <= placed_at + until && issued.empty(); at += s(1)) {
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
    SUBCASE("a lasting change starts releases, and each shard moves with its confirmation") {
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

// Guards against a command that is committed after the placement it was planned for has changed.
TEST_CASE("commands based on an older state are refused") {
    leader it;
    it.place_initially(start + s(10));
    const auto version = it.state.services.at(service).version;
    const auto before = it.state;
    CHECK_FALSE(it.apply(begin_release{service, version - 1, {{0, "b"}}, {}}));
    CHECK_FALSE(it.apply(begin_release{"unknown", version, {{0, "b"}}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, 0, {"a"}, all_unplaced(12), {}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, version, {"a"}, all_unplaced(12), {}, {}}));
    CHECK_FALSE(it.apply(set_placement{service, version, {"a", "b", "c"}, {7}, {}, {}}));
    CHECK(it.state == before);
}
