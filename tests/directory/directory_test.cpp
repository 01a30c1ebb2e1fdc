#include <kingcupseam/directory.h>

#include <doctest/doctest.h>

namespace kingcupseam::directory {

namespace {

configuration two_routes() {
    configuration result;
    result.version = 7;
    result.services["a"] = {"a", "/health", 100, true, std::chrono::seconds(5)};
    result.services["b"] = {"b", "/health", 100, false, {}};
    result.routes["short"] = {
        "short", "h", "/x/", execution::idempotent, std::chrono::milliseconds(900), {}, 1, 2, {{"a", 1}}};
    result.routes["long"] = {"long", "h", "/x/y/", execution::at_most_once, {},
                             {},     2,   1,       {{"a", 90}, {"b", 10}}};
    result.document = "text";
    return result;
}

upstream make_upstream(const std::string& id, std::int64_t started_ms) {
    return {{id, started_ms}, "a", "d1", {"127.0.0.1", 8080}, 2, false, false};
}

command assign(key_number first, key_number last, const upstream_incarnation& owner) {
    command result;
    result.assignments.push_back({"a", first, last, owner});
    return result;
}

} // namespace

TEST_CASE("an invalid configuration is refused") {
    auto config = two_routes();
    CHECK_NOTHROW(validate(config));
    SUBCASE("unknown service") {
        config.services.erase("b");
    }
    SUBCASE("no weight") {
        config.routes["long"].targets = {{"a", 0}, {"b", 0}};
    }
    SUBCASE("weight below zero") {
        config.routes["long"].targets[1].weight = -1;
    }
    SUBCASE("no attempts") {
        config.routes["short"].attempts = 0;
    }
    SUBCASE("two routes of one host and prefix") {
        config.routes["short"].path_prefix = "/x/y/";
    }
    SUBCASE("no target") {
        config.routes["short"].targets.clear();
    }
    CHECK_THROWS_AS(validate(config), invalid_configuration);
}

TEST_CASE("a request matches the longest path prefix of its host") {
    const route_index index(std::make_shared<const configuration>(two_routes()));
    CHECK(index.match("h", "/x/y/z")->name == "long");
    CHECK(index.match("h", "/x/z")->name == "short");
    CHECK(index.match("h", "/z") == nullptr);
    CHECK(index.match("other", "/x/z") == nullptr);
}

// Guards against a directory that returns to an older state, and against entries whose directory differs from
// that of the control group.
TEST_CASE("commands change the directory") {
    snapshot state;
    command change;
    change.config = two_routes();
    change.upstreams = {make_upstream("u1", 10), make_upstream("u2", 10)};
    state = apply(state, change, 1);
    REQUIRE(state.config);

    SUBCASE("a configuration that is not newer changes nothing") {
        command again;
        again.config = two_routes();
        again.config->routes.clear();
        CHECK(apply(state, again, 2).config->routes.size() == 2);
        again.config->version = 6;
        CHECK(apply(state, again, 2).config->version == 7);
    }

    SUBCASE("a late report of an earlier incarnation changes nothing") {
        command late;
        late.upstreams = {make_upstream("u1", 9)};
        CHECK(apply(state, late, 2).upstreams.at("u1").incarnation.started_ms == 10);
    }

    SUBCASE("a part of a range moves with a higher epoch") {
        state = apply(state, assign(0, last_key, {"u1", 10}), 2);
        state = apply(state, assign(100, 199, {"u2", 10}), 3);
        CHECK(state.range_of("a", 99)->owner.id == "u1");
        CHECK(state.range_of("a", 99)->epoch == 2);
        CHECK(state.range_of("a", 100)->owner.id == "u2");
        CHECK(state.range_of("a", 199)->epoch == 3);
        CHECK(state.range_of("a", 200)->owner.id == "u1");
        CHECK(state.range_of("a", last_key)->epoch == 2);
        CHECK(state.ranges.at("a").size() == 3);

        SUBCASE("renumbering joins adjacent ranges of one owner") {
            state = apply(state, assign(100, 199, {"u1", 10}), 4);
            command renumber;
            renumber.renumber_epochs = true;
            state = apply(state, renumber, 5);
            CHECK(state.ranges.at("a").size() == 1);
            CHECK(state.range_of("a", 150)->epoch == 5);
        }
    }

    SUBCASE("applying each difference yields the next state") {
        const auto update = [](const snapshot& from, const snapshot& to, const snapshot& entry) {
            return apply_difference(entry, encode_difference(&from, to));
        };
        snapshot entry = apply_difference({}, encode_difference(nullptr, state));
        CHECK(entry.config->document.empty()); // the document is not sent to entries
        const std::vector<command> changes{assign(0, last_key, {"u1", 10}), assign(5, 9, {"u2", 10}),
                                           assign(0, 6, {"u2", 10})};
        for (const auto& it : changes) {
            const snapshot next = apply(state, it, state.index + 1);
            entry = update(state, next, entry);
            state = next;
            CHECK(entry.ranges == state.ranges);
            CHECK(entry.upstreams == state.upstreams);
            CHECK(entry.config->routes == state.config->routes);
        }
        command reconfigure;
        reconfigure.config = two_routes();
        reconfigure.config->version = 8;
        reconfigure.config->routes.erase("short");
        reconfigure.removed_upstreams = {"u2"};
        const snapshot next = apply(state, reconfigure, state.index + 1);
        entry = update(state, next, entry);
        CHECK(entry.config->routes == next.config->routes);
        CHECK(entry.upstreams == next.upstreams);
        CHECK_THROWS_AS(apply_difference({}, encode_difference(&state, next)), invalid_input);
    }

    SUBCASE("encoded states and commands decode to equal values") {
        CHECK(decode_snapshot(encode(state)).config->document == "text");
        CHECK(decode_snapshot(encode(state)).upstreams == state.upstreams);
        CHECK(decode_command(encode(change)).upstreams == change.upstreams);
        CHECK(*decode_command(encode(change)).config == *change.config);
        CHECK_THROWS_AS(decode_command("?"), invalid_input);
    }
}

} // namespace kingcupseam::directory
