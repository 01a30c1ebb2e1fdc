#include "router/directory_publisher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

/// An entry that applies the updates that it gets.
class fake_entry : public transport::connection {
public:
    explicit fake_entry(const std::string& name) : peer_{{name, 1}, "d"} {}
    void send(transport::frame outgoing) override {
        bytes += outgoing.payload.size();
        ++updates;
        const std::uint64_t before = held.index;
        const bool compressed = outgoing.type == transport::frame_type::directory_update_compressed;
        held = directory::apply_difference(held, compressed ? transport::expand(outgoing.payload)
                                                            : outgoing.payload);
        goes_back = goes_back || held.index < before;
    }
    void after_written(std::function<void()> /*done*/) override {}
    const transport::peer_identity& peer() const override { return peer_; }
    bool open() const override { return true; }

    directory::snapshot held;
    bool goes_back = false; ///< an update had a lower index than the directory before
    std::size_t bytes = 0;
    int updates = 0;

private:
    transport::peer_identity peer_;
};

/// States of a directory whose configuration has many routes; each state adds an upstream.
std::vector<directory::snapshot_ptr> make_states(std::uint64_t n) {
    auto config = std::make_shared<directory::configuration>();
    config->version = 1;
    for (int i = 0; i < 1500; ++i) {
        const std::string name = "route-" + std::to_string(i);
        directory::route route;
        route.name = name;
        route.path_prefix = std::string("/").append(name).append("/");
        config->routes.emplace(name, route);
    }
    std::vector<directory::snapshot_ptr> result;
    directory::snapshot state;
    state.config = config;
    for (std::uint64_t index = 1; index <= n; ++index) {
        const std::string id = std::string("u").append(std::to_string(index));
        state.index = index;
        directory::upstream added;
        added.incarnation = {id, 1};
        added.address = {"127.0.0.1", 80};
        state.upstreams.emplace(id, added);
        result.push_back(std::make_shared<const directory::snapshot>(state));
    }
    return result;
}

struct harness {
    directory_publisher& publisher(std::size_t n) { return *publishers.at(n); }
    void run() {
        context.run_for(std::chrono::milliseconds(60));
        context.restart();
    }

    asio::io_context context;
    task_times times;
    std::vector<std::unique_ptr<directory_publisher>> publishers;
    harness() {
        for (int i = 0; i < 2; ++i) {
            publishers.push_back(std::make_unique<directory_publisher>(context, times));
        }
    }
};

} // namespace

// Guards against a change of leader that sends the whole directory to every entry: the next leader lost its
// lease meanwhile.
TEST_CASE("an entry that changes to another control instance gets only what it lacks") {
    harness it;
    const auto states = make_states(200);
    const auto entry = std::make_shared<fake_entry>("entry");
    for (std::size_t i = 0; i < 100; ++i) {
        it.publisher(0).publish(states[i]);
        it.publisher(1).publish(states[i]);
    }
    it.publisher(0).subscribe(entry, {0, false});
    it.run();
    REQUIRE(entry->held.index == 100);
    const std::size_t whole = entry->bytes;
    entry->bytes = 0;

    SUBCASE("when the other one has the same directory") {
        it.publisher(1).subscribe(entry, {entry->held.index, false});
        it.run();
        CHECK(entry->updates == 1);
        it.publisher(1).publish(states[100]);
        it.run();
        CHECK(entry->held.upstreams == states[100]->upstreams);
    }
    SUBCASE("when the other one has a newer directory") {
        for (std::size_t i = 100; i < 120; ++i) {
            it.publisher(1).publish(states[i]);
        }
        it.publisher(1).subscribe(entry, {entry->held.index, false});
        it.run();
        CHECK(entry->held.index == 120);
        CHECK(entry->held.upstreams == states[119]->upstreams);
        CHECK(entry->bytes < whole / 20);
    }
    SUBCASE("when the other one lags behind") {
        for (std::size_t i = 100; i < 110; ++i) {
            it.publisher(0).publish(states[i]);
        }
        it.run();
        REQUIRE(entry->held.index == 110);
        entry->bytes = 0;
        it.publisher(1).subscribe(entry, {entry->held.index, false});
        it.run();
        CHECK(entry->bytes == 0);
        for (std::size_t i = 100; i < 115; ++i) {
            it.publisher(1).publish(states[i]);
        }
        it.run();
        CHECK(entry->held.index == 115);
        CHECK(entry->held.upstreams == states[114]->upstreams);
        CHECK(entry->bytes < whole / 20);
    }
    SUBCASE("when the other one has skipped the directory that it holds") {
        const auto early = std::make_shared<fake_entry>("early");
        directory_publisher skipping(it.context, it.times);
        skipping.publish(states[49]);
        skipping.subscribe(early, {0, false});
        it.run();
        REQUIRE(early->held.index == 50);
        skipping.publish(states[119]);
        skipping.subscribe(entry, {entry->held.index, false});
        it.run();
        CHECK(entry->held.index == 120);
        CHECK_FALSE(entry->goes_back);
    }
    SUBCASE("and one that starts then gets the same directory") {
        it.publisher(0).publish(states[100]);
        const auto started = std::make_shared<fake_entry>("started");
        it.publisher(0).subscribe(started, {0, false});
        it.run();
        CHECK(started->held.index == 101);
        CHECK(started->held.upstreams == states[100]->upstreams);
        CHECK(started->held.config->routes == states[100]->config->routes);
    }
    SUBCASE("but the whole directory when its own is long outdated") {
        for (std::size_t i = 100; i < 200; ++i) {
            it.publisher(1).publish(states[i]);
        }
        it.publisher(1).subscribe(entry, {entry->held.index, false});
        it.run();
        CHECK(entry->held.upstreams == states[199]->upstreams);
    }
}

// Guards against whole directories for all entries while hundreds of upstreams register: links were full of
// them.
TEST_CASE("an entry gets a difference however many changes are made between two updates") {
    harness it;
    const auto states = make_states(300);
    const auto entry = std::make_shared<fake_entry>("entry");
    it.publisher(0).publish(states[0]);
    it.publisher(0).subscribe(entry, {0, false});
    it.run();
    REQUIRE(entry->held.index == 1);
    const std::size_t whole = entry->bytes;
    for (std::size_t i = 1; i < 300; ++i) {
        if (i % 100 == 0) {
            entry->bytes = 0;
            it.run();
            CHECK(entry->held.index == i);
            CHECK(entry->bytes < whole / 10);
        }
        it.publisher(0).publish(states[i]);
    }
}

// Guards against compressing a large update anew for each entry.
TEST_CASE("a large update is compressed for the entries that can expand it") {
    harness it;
    const auto states = make_states(2);
    const auto newer = std::make_shared<fake_entry>("newer");
    const auto older = std::make_shared<fake_entry>("older");
    it.publisher(0).subscribe(newer, {0, true});
    it.publisher(0).subscribe(older, {0, false});
    it.publisher(0).publish(states[0]);
    it.run();
    CHECK(newer->held.config->routes == states[0]->config->routes);
    CHECK(older->held.config->routes == states[0]->config->routes);
    CHECK(newer->bytes < older->bytes / 4);
    it.publisher(0).publish(states[1]);
    it.run();
    CHECK(newer->held.upstreams == states[1]->upstreams);
}

// Guards against a leader that loses its lease while it sends a large update to all entries.
TEST_CASE("other work goes on while an update is sent to many entries") {
    harness it;
    const auto states = make_states(1);
    std::vector<std::shared_ptr<fake_entry>> entries;
    for (int i = 0; i < 89; ++i) {
        entries.push_back(std::make_shared<fake_entry>("entry" + std::to_string(i)));
        it.publisher(0).subscribe(entries.back(), {0, false});
    }
    it.publisher(0).publish(states[0]);
    const auto updated = [&] {
        return std::count_if(entries.begin(), entries.end(), [](const auto& e) { return e->updates > 0; });
    };
    auto before = updated();
    while (it.context.run_one_for(std::chrono::milliseconds(60)) > 0) {
        const auto now = updated();
        CHECK(now - before <= 8);
        before = now;
    }
    CHECK(before == 89);
}

// Guards against an entry without a directory until the next change.
TEST_CASE("an entry that subscribes while others get an update gets its own") {
    harness it;
    const auto states = make_states(1);
    std::vector<std::shared_ptr<fake_entry>> entries;
    for (int i = 10; i < 30; ++i) {
        entries.push_back(std::make_shared<fake_entry>("m" + std::to_string(i)));
        it.publisher(0).subscribe(entries.back(), {0, true});
    }
    it.publisher(0).publish(states[0]);
    it.context.run_one_for(std::chrono::milliseconds(60));
    REQUIRE(entries.front()->held.index == 1);
    REQUIRE(entries.back()->held.index == 0);
    // Its name comes before those that the round still has to visit.
    entries.push_back(std::make_shared<fake_entry>("a"));
    it.publisher(0).subscribe(entries.back(), {0, true});
    it.run();
    for (const auto& entry : entries) {
        CHECK(entry->held.index == 1);
    }
}

// Guards against entries that hold an outdated configuration while others get every change.
TEST_CASE("each of many entries gets its updates while changes go on") {
    harness it;
    const auto states = make_states(200);
    std::vector<std::shared_ptr<fake_entry>> entries;
    for (int i = 0; i < 89; ++i) {
        entries.push_back(std::make_shared<fake_entry>("entry" + std::to_string(i)));
        it.publisher(0).subscribe(entries.back(), {0, true});
    }
    for (const auto& state : states) {
        it.publisher(0).publish(state);
        it.context.run_one_for(std::chrono::milliseconds(60));
    }
    for (const auto& entry : entries) {
        CHECK(entry->held.index > 150);
    }
}

// Guards against an entry that believes it is subscribed and never gets a change again.
TEST_CASE("the end of a subscription on a former connection does not end the one on the present connection") {
    harness it;
    const auto states = make_states(2);
    const auto former = std::make_shared<fake_entry>("entry");
    const auto present = std::make_shared<fake_entry>("entry");
    it.publisher(0).publish(states[0]);
    it.publisher(0).subscribe(former, {0, false});
    it.run();
    it.publisher(0).subscribe(present, {0, false});
    it.publisher(0).unsubscribe(*former);
    it.run();
    it.publisher(0).publish(states[1]);
    it.run();
    CHECK(present->held.index == 2);
    it.publisher(0).unsubscribe(*present);
    CHECK(it.publisher(0).subscribers() == 0);
}

} // namespace kingcupseam::router
