#include "router/directory_publisher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t states = 64;
// A control instance has 256 MB for these, its log and everything else.
constexpr std::size_t most_bytes_kept = 40 * mebibyte;

/// An entry that applies the updates that it gets and counts their bytes.
class fake_entry : public transport::connection {
public:
    explicit fake_entry(const std::string& name) : peer_{{name, 1}, "d"} {}
    void send(transport::frame outgoing) override {
        held = directory::apply_difference(held, outgoing.payload);
        bytes += outgoing.payload.size();
    }
    void after_written(std::function<void()> /*done*/) override {}
    const transport::peer_identity& peer() const override { return peer_; }
    bool open() const override { return true; }

    directory::snapshot held;
    std::size_t bytes = 0;

private:
    transport::peer_identity peer_;
};

std::shared_ptr<const directory::configuration> make_configuration(std::uint64_t version, int routes,
                                                                   std::size_t document_bytes) {
    auto result = std::make_shared<directory::configuration>();
    result->version = version;
    result->document = std::string(document_bytes, 'd');
    for (int i = 0; i < routes; ++i) {
        directory::route it;
        it.name = "route-" + std::to_string(i);
        it.path_prefix = std::string("/").append(it.name).append("/");
        result->routes.emplace(it.name, it);
    }
    // Each configuration differs from the one before in a single route.
    directory::route changed;
    changed.name = "changed";
    changed.priority = static_cast<std::int32_t>(version);
    result->routes.emplace(changed.name, changed);
    return result;
}

/// Publishes states and tells which of them are still in memory.
struct harness {
    void publish(directory::snapshot state) {
        auto shared = std::make_shared<const directory::snapshot>(std::move(state));
        published.push_back(shared);
        publisher.publish(std::move(shared));
    }
    void run() {
        context.run_for(std::chrono::milliseconds(60));
        context.restart();
    }
    std::size_t kept() const {
        return static_cast<std::size_t>(
            std::count_if(published.begin(), published.end(), [](const auto& it) { return !it.expired(); }));
    }

    asio::io_context context;
    task_times times;
    directory_publisher publisher{context, times};
    std::vector<std::weak_ptr<const directory::snapshot>> published;
};

} // namespace

// Guards against a control instance that exceeds its memory when the configuration has many routes and
// changes often (review case 3).
TEST_CASE("the directories that a control instance keeps for differences are bounded in bytes") {
    harness it;
    directory::snapshot state;

    SUBCASE("when each has a large configuration of its own") {
        for (state.index = 1; state.index <= states; ++state.index) {
            state.config = make_configuration(state.index, 100, mebibyte);
            it.publish(state);
        }
        it.run();
        CHECK(it.kept() * mebibyte <= most_bytes_kept);
        CHECK(it.kept() >= 8);
    }
    SUBCASE("when each has many routes") {
        constexpr int routes = 10000;
        for (state.index = 1; state.index <= states; ++state.index) {
            state.config = make_configuration(state.index, routes, 0);
            it.publish(state);
        }
        it.run();
        CHECK(it.kept() * routes * sizeof(directory::route) <= most_bytes_kept);
        CHECK(it.kept() >= 4);
    }
    SUBCASE("when each has many upstreams") {
        constexpr int upstreams = 8000;
        for (int i = 0; i < upstreams; ++i) {
            const std::string id = "i-" + std::to_string(i);
            state.upstreams[id].incarnation = {id, 1};
        }
        for (state.index = 1; state.index <= states; ++state.index) {
            it.publish(state);
        }
        it.run();
        CHECK(it.kept() * upstreams * sizeof(directory::upstream) <= most_bytes_kept);
        CHECK(it.kept() >= 8);
    }
    SUBCASE("but a configuration that they share counts once") {
        state.config = make_configuration(1, 100, 8 * mebibyte);
        for (state.index = 1; state.index <= states; ++state.index) {
            it.publish(state);
        }
        it.run();
        CHECK(it.kept() == states);
    }
    SUBCASE("and the newest is kept whatever its size") {
        for (state.index = 1; state.index <= 3; ++state.index) {
            state.config = make_configuration(state.index, 1, 2 * most_bytes_kept);
            it.publish(state);
        }
        it.run();
        CHECK(it.kept() == 1);
        CHECK_FALSE(it.published.back().expired());
    }
}

// Guards against an entry that keeps an outdated directory, or gets a difference from another one, once the
// directory that it holds was dropped to save memory.
TEST_CASE("an entry whose directory was dropped for its size gets the whole directory") {
    harness it;
    directory::snapshot state;
    const auto entry = std::make_shared<fake_entry>("entry");
    it.publisher.subscribe(entry, {0, false});
    state.index = 1;
    state.config = make_configuration(1, 100, mebibyte);
    it.publish(state);
    it.run();
    REQUIRE(entry->held.index == 1);
    const std::size_t whole = entry->bytes;
    entry->bytes = 0;

    SUBCASE("when it missed many changes") {
        it.publisher.unsubscribe(*entry);
        for (state.index = 2; state.index <= states; ++state.index) {
            state.config = make_configuration(state.index, 100, mebibyte);
            it.publish(state);
            if (state.index == states / 2) {
                it.run(); // the directory that it holds is not the last one that was sent
            }
        }
        it.publisher.subscribe(entry, {1, false});
        it.run();
        CHECK(entry->held.index == states);
        CHECK(entry->bytes >= whole);
    }
    SUBCASE("but only what it lacks when it missed few") {
        for (state.index = 2; state.index <= 4; ++state.index) {
            state.config = make_configuration(state.index, 100, mebibyte);
            it.publish(state);
        }
        it.run();
        CHECK(entry->held.index == 4);
        CHECK(entry->bytes < whole / 10);
    }
    CHECK(entry->held.config->routes == state.config->routes);
}

} // namespace kingcupseam::router
