#include <doctest/doctest.h>

#include <kingcupseam/ownership.h>

#include <random>

using namespace kingcupseam;
using namespace kingcupseam::ownership;

namespace {

register_upstream announce(const std::string& name, std::uint64_t incarnation, std::uint32_t shards = 8) {
    upstream_row row;
    row.name = name;
    row.incarnation = incarnation;
    row.service = "registry";
    row.address = "127.0.0.1:9000";
    return {row, shards, {}};
}

/// Applies commands at increasing indexes, as the replicated log does.
struct command_log {
    assignment_state state{"dc1", 3};
    std::uint64_t index = 0;

    bool apply(const command& change) { return state.apply(change, ++index); }
    const table& rows() const { return *state.current(); }
    /// Moves shards to an upstream at once.
    void assign(const std::string& upstream, const std::vector<std::uint32_t>& shards) {
        apply(begin_move{"registry", shards, {}, upstream});
        apply(complete_move{"registry", shards, {}, upstream});
    }
};

/// A key that belongs to @p shard of 8 shards.
std::string key_in(std::uint32_t shard) {
    for (int n = 0;; ++n) {
        auto key = std::to_string(n);
        if (shard_of(key, 8) == shard) {
            return key;
        }
    }
}

} // namespace

// Guards against two owners of a shard at the same time.
TEST_CASE("a shard has no owner from the start of its move to its completion") {
    command_log it;
    it.apply(announce("a", 1));
    it.apply(announce("b", 1));
    it.assign("a", {0, 1, 2, 3});
    REQUIRE(it.rows().owner_of("registry", 1, "k")->name == "a");
    const auto before = it.rows();

    REQUIRE(it.apply(begin_move{"registry", {1}, {}, "b"}));
    CHECK(it.rows().owner_of("registry", 1, "k") == nullptr);
    CHECK(scope_of(it.rows(), *it.rows().latest_row("a")).shards ==
          std::vector<std::pair<std::uint32_t, std::uint32_t>>{{0, 0}, {2, 3}});
    CHECK(it.rows().latest_row("a")->version > before.latest_row("a")->version);
    CHECK(it.rows().services.at("registry").shards[1].epoch == it.rows().latest_row("a")->version);

    SUBCASE("the next owner gets a higher epoch") {
        REQUIRE(it.apply(complete_move{"registry", {1}, {}, "b"}));
        CHECK(it.rows().owner_of("registry", 1, "k")->name == "b");
        CHECK(it.rows().latest_row("b")->epoch > it.rows().latest_row("a")->epoch);
        CHECK(it.rows().latest_row("b")->epoch == make_epoch(3, it.index));
    }
    SUBCASE(
        "a completion for another target is ignored, so that an old leader cannot complete a changed move") {
        it.apply(announce("c", 1));
        REQUIRE(it.apply(begin_move{"registry", {1}, {}, "c"}));
        CHECK_FALSE(it.apply(complete_move{"registry", {1}, {}, "b"}));
        CHECK(it.apply(complete_move{"registry", {1}, {}, "c"}));
        CHECK_FALSE(it.apply(complete_move{"registry", {1}, {}, "c"}));
    }
    SUBCASE("a move to an upstream that was lost meanwhile is not completed") {
        REQUIRE(it.apply(set_condition{"b", 1, upstream_status::lost}));
        CHECK_FALSE(it.apply(complete_move{"registry", {1}, {}, "b"}));
    }
    SUBCASE("a command that is replayed at its old index changes nothing") {
        CHECK_FALSE(it.state.apply(complete_move{"registry", {1}, {}, "b"}, it.index));
    }
    SUBCASE("readers of an earlier table see no change") {
        const auto held = it.state.current();
        const table copy = decode_table(encode(*held));
        it.apply(complete_move{"registry", {1}, {}, "b"});
        CHECK(*held == copy);
        CHECK_FALSE(it.rows() == copy);
    }
}

// Guards against grants from before the loss that are valid again when the upstream returns.
TEST_CASE("a lost upstream gets its shards back only under a higher epoch") {
    command_log it;
    it.apply(announce("a", 1));
    it.apply(announce("b", 1));
    it.assign("a", {0, 1});
    const auto epoch = it.rows().latest_row("a")->epoch;
    REQUIRE(it.apply(set_condition{"a", 1, upstream_status::lost}));
    CHECK(it.rows().owner_of("registry", 0, "k") == nullptr);
    CHECK(scope_of(it.rows(), it.rows().upstreams[0]).empty());
    CHECK_FALSE(it.apply(set_condition{"a", 1, upstream_status::active}));

    SUBCASE("a report of the loss from before it registered again is ignored") {
        const auto lost_epoch = it.rows().latest_row("a")->epoch;
        REQUIRE(it.apply(announce("a", 1)));
        CHECK_FALSE(it.apply(set_condition{"a", 1, upstream_status::lost, lost_epoch}));
        CHECK(it.apply(set_condition{"a", 1, upstream_status::lost, it.rows().latest_row("a")->epoch}));
    }
    SUBCASE("the same incarnation gets its shards back under a higher epoch") {
        REQUIRE(it.apply(announce("a", 1)));
        CHECK(it.rows().latest_row("a")->epoch > epoch);
        CHECK(it.rows().owner_of("registry", 0, "k")->name == "a");
    }
    SUBCASE(
        "a new incarnation starts without shards; the former one keeps its row until its shards have moved") {
        REQUIRE(it.apply(announce("a", 2)));
        CHECK(it.rows().latest_row("a")->incarnation == 2);
        CHECK(scope_of(it.rows(), *it.rows().latest_row("a")).empty());
        CHECK(it.rows().owner_of("registry", 0, "k") == nullptr);
        it.assign("b", {0, 1});
        REQUIRE(it.apply(announce("c", 1)));
        CHECK(it.rows().upstreams.size() == 3);
        CHECK(it.rows().upstreams[0].name == "c");
    }
    SUBCASE("a new incarnation replaces the former one even before its loss is noticed") {
        REQUIRE(it.apply(announce("b", 2)));
        CHECK(it.rows().latest_row("b")->incarnation == 2);
        CHECK_FALSE(it.apply(set_condition{"b", 1, upstream_status::draining}));
    }
}

// Guards against a hot key that is granted both with its shard and on its own.
TEST_CASE("a hot key has an owner of its own") {
    command_log it;
    it.apply(announce("a", 1));
    it.apply(announce("b", 1));
    it.assign("a", {0, 1, 2, 3, 4, 5, 6, 7});
    const auto key = key_in(5);
    REQUIRE(it.apply(begin_move{"registry", {}, {key}, "b"}));
    CHECK(it.rows().owner_of("registry", 5, key) == nullptr);
    CHECK(it.rows().owner_of("registry", 5, key_in(5) + "x")->name == "a");
    CHECK(scope_of(it.rows(), *it.rows().latest_row("a")).moved_keys.count(key) == 1);
    REQUIRE(it.apply(complete_move{"registry", {}, {key}, "b"}));
    CHECK(it.rows().owner_of("registry", 5, key)->name == "b");
    CHECK(scope_of(it.rows(), *it.rows().latest_row("b")).hot_keys.count(key) == 1);

    SUBCASE("the hot key keeps its owner while its shard moves") {
        REQUIRE(it.apply(begin_move{"registry", {5}, {}, "b"}));
        CHECK(it.rows().owner_of("registry", 5, key)->name == "b");
    }
    SUBCASE("the row of the hot key is removed when it returns to the owner of its shard") {
        it.apply(begin_move{"registry", {}, {key}, "a"});
        it.apply(complete_move{"registry", {}, {key}, "a"});
        CHECK(it.rows().services.at("registry").hot_keys.empty());
        CHECK(it.rows().owner_of("registry", 5, key)->name == "a");
    }
}

// Guards against a shard that has an owner in two data centres.
TEST_CASE("shards that are placed in another data centre have no owner here") {
    command_log it;
    it.apply(announce("a", 1));
    it.assign("a", {0, 1});
    REQUIRE(it.apply(set_placement{"registry", {0}}));
    CHECK(it.rows().owner_of("registry", 0, "k")->name == "a");
    CHECK(it.rows().owner_of("registry", 1, "k") == nullptr);
    SUBCASE("the owner is removed only once its grant has ended") {
        CHECK(it.rows().services.at("registry").shards[1].owner == 0);
        CHECK(it.apply(complete_move{"registry", {1, 2}, {}, ""}));
        CHECK(it.rows().services.at("registry").shards[1].owner == no_upstream);
        CHECK_FALSE(it.apply(begin_move{"registry", {1}, {}, "a"}));
    }
    SUBCASE("a shard that is placed here again early still waits for the end of the former grant") {
        REQUIRE(it.apply(set_placement{"registry", {0, 1}}));
        CHECK(it.rows().owner_of("registry", 1, "k") == nullptr);
        CHECK(it.apply(complete_move{"registry", {1}, {}, "a"}));
        CHECK(it.rows().owner_of("registry", 1, "k")->name == "a");
    }
}

// Guards against grants of a former generation that prevail over those of a later one.
TEST_CASE("epochs of a later generation are higher than all epochs of a former one") {
    CHECK(make_epoch(4, 1) > make_epoch(3, 1ULL << 39U));
    CHECK(make_epoch(3, 2) > make_epoch(3, 1));
}

// Guards against voters whose tables differ after the same commands.
TEST_CASE("random commands give the same table on every replica and survive encoding") {
    std::mt19937 random(7);
    assignment_state first("dc1", 1);
    assignment_state second("dc1", 1);
    std::vector<std::shared_ptr<const table>>
        held; // forces copies at the first replica, while the second changes its table in place
    epoch_number highest = 0;
    for (std::uint64_t index = 1; index <= 3000; ++index) {
        const auto name = "u" + std::to_string(random() % 5);
        const auto shard = static_cast<std::uint32_t>(random() % 8);
        command change;
        switch (random() % 8) {
        case 0:
            change = announce(name, random() % 2);
            break;
        case 1:
            change = set_condition{name, random() % 2, static_cast<upstream_status>(random() % 4)};
            break;
        case 2:
            change = set_gate{name, "i" + std::to_string(random() % 3), "i9"};
            break;
        case 3:
            change = begin_move{"registry", {shard, 7 - shard}, {key_in(shard)}, name};
            break;
        case 4:
            change = set_placement{"registry", {0, 1, 2, 3, shard}};
            break;
        case 5:
            change = set_ledger_group{shard, {{"i1", "i2"}, {name}}};
            break;
        default:
            change = complete_move{"registry", {shard, 3}, {key_in(shard)}, random() % 9 ? name : ""};
        }
        const auto bytes = encode(change);
        REQUIRE(encode(decode_command(bytes)) == bytes);
        held.push_back(first.current());
        const bool changed = first.apply(change, index);
        REQUIRE(changed == second.apply(decode_command(bytes), index));
        REQUIRE(*first.current() == *second.current());
        REQUIRE(changed != (*first.current() == *held.back()));
        for (const auto& it : first.current()->upstreams) {
            REQUIRE(it.epoch <= make_epoch(1, index));
            highest = std::max(highest, it.epoch);
        }
        if (index % 10 == 0) {
            REQUIRE(decode_table(encode(*first.current())) == *first.current());
            second = assignment_state(decode_table(encode(*second.current())));
        }
    }
    CHECK(highest > make_epoch(1, 2900));
}

// Guards against damaged bytes that crash the decoder or are accepted in part.
TEST_CASE("bytes from the network that are not a table or command are refused") {
    command_log it;
    it.apply(announce("a", 1));
    it.assign("a", {0, 1});
    const auto bytes = encode(it.rows());
    const auto change = encode(command{begin_move{"registry", {1, 2}, {"k"}, "a"}});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_THROWS_AS(decode_table(bytes.substr(0, n)), invalid_input);
    }
    for (std::size_t n = 0; n < change.size(); ++n) {
        CHECK_THROWS_AS(decode_command(change.substr(0, n)), invalid_input);
    }
    CHECK_THROWS_AS(decode_table(bytes + "x"), invalid_input);
    CHECK_THROWS_AS(decode_command(change + "x"), invalid_input);
    std::mt19937 random(3);
    for (int n = 0; n < 20000; ++n) {
        auto broken = n % 2 ? bytes : change;
        broken[random() % broken.size()] = static_cast<char>(random());
        try {
            n % 2 ? static_cast<void>(decode_table(broken)) : static_cast<void>(decode_command(broken));
        } catch (const invalid_input&) {
            continue;
        }
    }
}

// Guards against new shards for a draining upstream because of a late report that it accepted a grant.
TEST_CASE("only an announcement as active ends a drain") {
    command_log it;
    it.apply(announce("a", 1));
    auto draining = announce("a", 1);
    draining.row.condition = upstream_status::draining;
    REQUIRE(it.apply(draining));
    CHECK_FALSE(it.apply(set_condition{"a", 1, upstream_status::active}));
    CHECK_FALSE(it.apply(announce("a", 1)));
    CHECK(it.rows().latest_row("a")->condition == upstream_status::draining);
    auto active = announce("a", 1);
    active.row.condition = upstream_status::active;
    CHECK(it.apply(active));
    CHECK(it.rows().latest_row("a")->condition == upstream_status::active);
}
