#include "router/control_links.h"
#include "router/directory_publisher.h"
#include "router/link_settings.h"
#include "support/delaying_relay.h"
#include "support/free_port.h"

#include <directory_types.h>
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;
using transport::frame_type;

constexpr duration one_way_delay = milliseconds(30);  ///< each way
constexpr duration change_interval = milliseconds(5); ///< shorter than a message takes
constexpr duration max_apply_time = std::chrono::seconds(2);

/// The directory at a log index; the version of its configuration is the index in thousands.
directory::snapshot_ptr directory_at(std::uint64_t index, bool draining) {
    directory::snapshot result;
    result.index = index;
    directory::configuration config;
    config.version = index / 1000;
    result.config = std::make_shared<const directory::configuration>(std::move(config));
    directory::upstream one;
    one.incarnation = {"u", 1};
    one.address = {"127.0.0.1", 80};
    one.slots = static_cast<std::int32_t>(index);
    one.draining = draining;
    result.upstreams.emplace("u", one);
    return std::make_shared<const directory::snapshot>(std::move(result));
}

transport::peer_identity identity_of(std::string name) {
    transport::peer_identity result;
    result.id.name = std::move(name);
    result.id.incarnation = 1;
    return result;
}

/// A control instance at an address of its own, behind a slow link.
class control_instance {
public:
    control_instance(asio::io_context& context, const std::string& ip, std::uint16_t port, duration delay)
        : name_(to_string(endpoint_address{ip, port})), port_(test::free_port()),
          relay_(context, {asio::ip::make_address(ip), port}, {asio::ip::make_address("127.0.0.1"), port_},
                 delay),
          publisher_(context, times_),
          server_(context, {"127.0.0.1", port_}, identity_of(name_), control_link_settings(),
                  [this](const auto& from, const transport::frame& received) { on_frame(from, received); }) {}

    void publish(std::uint64_t index, bool draining) { publisher_.publish(directory_at(index, draining)); }
    /// Lists an entry of its own in its status.
    void list_entry(const std::string& name) {
        wire::EntryInstance listed;
        listed.name = name;
        status_.entries = {listed};
    }
    void set_leads(bool leads, std::int64_t term) {
        status_.leads = leads;
        status_.term = term;
        for (const auto& it : joined_) {
            send_status(it);
        }
    }
    void set_follows(bool follows) {
        status_.follows = follows;
        for (const auto& it : joined_) {
            send_status(it);
        }
    }
    /// Makes it one of an earlier release, which does not number subscriptions.
    void set_confirms(bool confirms) { status_.confirms_subscriptions = confirms; }
    std::size_t subscribers() const { return publisher_.subscribers(); }

private:
    void on_frame(const std::shared_ptr<transport::connection>& from, const transport::frame& received) {
        if (received.type == frame_type::join_request) {
            joined_.push_back(from);
            send_status(from);
        } else if (received.type == frame_type::directory_subscribe) {
            const auto request = transport::decode<wire::DirectorySubscribe>(received.payload);
            if (request.ends && status_.confirms_subscriptions) {
                publisher_.unsubscribe(*from);
                return;
            }
            const auto number = status_.confirms_subscriptions ? request.subscription : 0;
            publisher_.subscribe(from, {static_cast<std::uint64_t>(request.known_index), request.expands,
                                        static_cast<std::uint64_t>(number)});
        }
    }
    void send_status(const std::shared_ptr<transport::connection>& to) {
        to->send({frame_type::control_status, 0, transport::encode(status_)});
    }

    std::string name_;
    std::uint16_t port_;
    test::delaying_relay relay_;
    task_times times_;
    directory_publisher publisher_;
    std::vector<std::shared_ptr<transport::connection>> joined_;
    wire::ControlStatus status_ = [] {
        wire::ControlStatus result;
        result.confirms_subscriptions = true;
        return result;
    }();
    transport::peer_server server_;
};

/// The directories that an entry serves by, one after another.
struct served_directories {
    std::uint64_t index() const { return all.empty() ? 0 : all.back()->index; }
    std::vector<directory::snapshot_ptr> all;
    std::vector<entry_instance> entries; ///< that it passes requests on to
};

/// Two control instances, which apply the same changes, and entries.
struct harness {
    explicit harness(duration delay_of_a = one_way_delay) {
        settings.ip = std::string("127.0.0.1");
        settings.peer_port = test::free_port();
        settings.seeds = {"127.0.0.2", "127.0.0.3"};
        a = std::make_unique<control_instance>(context, "127.0.0.2", settings.peer_port, delay_of_a);
        b = std::make_unique<control_instance>(context, "127.0.0.3", settings.peer_port, one_way_delay);
    }
    /// @returns what the new entry serves by
    served_directories& start_entry() {
        auto& served = *served_.emplace_back(std::make_unique<served_directories>());
        control_links::observer callbacks;
        callbacks.on_directory = [&served](directory::snapshot_ptr it) {
            served.all.push_back(std::move(it));
        };
        callbacks.on_entries = [&served](std::vector<entry_instance> it) { served.entries = std::move(it); };
        callbacks.on_poison_requests = [](const auto&) {};
        callbacks.on_limits = [](const auto&) {};
        entries_.push_back(
            std::make_unique<control_links>(context, settings, registry, std::move(callbacks)));
        return served;
    }
    void publish() {
        ++index;
        if (a_follows) {
            a->publish(index, upstream_drains);
        }
        b->publish(index, upstream_drains);
    }
    bool run_until(const std::function<bool()>& condition, duration limit) {
        const time_point end = steady_now() + limit;
        while (!condition() && steady_now() < end) {
            if (changing && steady_now() >= next_change) {
                next_change = steady_now() + change_interval;
                publish();
            }
            context.run_for(milliseconds(1));
            context.restart();
        }
        return condition();
    }
    void run(duration length) {
        run_until([] { return false; }, length);
    }

    asio::io_context context;
    process_settings settings;
    metrics::registry registry;
    std::unique_ptr<control_instance> a;
    std::unique_ptr<control_instance> b;
    std::uint64_t index = 1000;
    bool changing = true;
    bool a_follows = true; ///< false: a lacks the changes
    bool upstream_drains = false;
    time_point next_change;

private:
    std::vector<std::unique_ptr<served_directories>> served_;
    std::vector<std::unique_ptr<control_links>> entries_;
};

} // namespace

// Guards against changes, also of leaving upstreams, that an entry does not hear of while others go on.
TEST_CASE("an entry follows a leader that led before, while changes go on") {
    harness it;
    it.a->set_leads(true, 1);
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return served.index() > 1000; }, max_apply_time));
    it.a->set_leads(false, 2);
    it.b->set_leads(true, 2);
    SUBCASE("long before") {
        it.run(milliseconds(400));
    }
    SUBCASE("a moment before, so that its updates are still on their way") {
        it.run(milliseconds(10));
    }
    it.b->set_leads(false, 3);
    it.a->set_leads(true, 3);
    for (int i = 0; i < 5; ++i) {
        const std::uint64_t current = it.index;
        CHECK(it.run_until([&] { return served.index() >= current; }, max_apply_time));
        it.run(milliseconds(50));
    }
    it.upstream_drains = true;
    CHECK(it.run_until([&] { return served.all.back()->upstreams.at("u").draining; }, max_apply_time));
}

// Guards against a started entry that serves by a configuration that is no longer in force.
TEST_CASE("an entry that starts does not serve by a directory that is sent before the newest one") {
    harness it;
    it.a->set_leads(true, 1);
    const auto& before = it.start_entry();
    REQUIRE(it.run_until([&] { return before.index() > 1000; }, max_apply_time));
    it.run(milliseconds(100));
    const std::uint64_t current = it.index;
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return !served.all.empty(); }, max_apply_time));
    CHECK(served.all.front()->index >= current);
}

// Guards against a started entry that serves by the directory of a control instance which lags behind.
TEST_CASE("an entry that starts serves by the directory of the leader") {
    harness it(one_way_delay / 6);
    it.publish();
    it.a_follows = false;
    it.run(milliseconds(100));
    const std::uint64_t current = it.index;
    SUBCASE("although another one has answered first") {
        it.b->set_leads(true, 1);
        const auto& served = it.start_entry();
        REQUIRE(it.run_until([&] { return !served.all.empty(); }, max_apply_time));
        CHECK(served.all.front()->index >= current);
    }
    SUBCASE("at once, when it is the one that the entry has already") {
        it.a_follows = true;
        it.publish();
        it.changing = false;
        it.run(milliseconds(100));
        it.b->set_leads(true, 1);
        const auto& served = it.start_entry();
        CHECK(it.run_until([&] { return !served.all.empty(); }, std::chrono::seconds(1)));
    }
    SUBCASE("that is elected after its start") {
        const auto& served = it.start_entry();
        it.run(milliseconds(500));
        CHECK(served.all.empty());
        it.b->set_leads(true, 1);
        REQUIRE(it.run_until([&] { return !served.all.empty(); }, max_apply_time));
        CHECK(served.all.front()->index >= current);
    }
    SUBCASE("that turns out to be its source") {
        it.a_follows = true;
        const auto& served = it.start_entry();
        it.run(milliseconds(500));
        it.changing = false;
        it.a->set_leads(true, 1);
        CHECK(it.run_until([&] { return !served.all.empty(); }, milliseconds(500)));
    }
    SUBCASE("but does not wait for one for ever, as its data centre may be cut off") {
        it.changing = false;
        const auto& served = it.start_entry();
        CHECK(it.run_until([&] { return !served.all.empty(); }, std::chrono::seconds(3)));
    }
}

// Guards against an entry that keeps to a control instance which gets no changes itself.
TEST_CASE("an entry without a leader follows a control instance that gets the changes") {
    harness it;
    it.a->set_leads(true, 1);
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return served.index() > 1000; }, max_apply_time));
    it.a_follows = false; // removed from the group, say
    it.a->set_leads(false, 1);
    SUBCASE("when both are known") {
        it.b->set_follows(true);
    }
    SUBCASE("which finds a leader later") {
        it.run(milliseconds(300));
        it.b->set_follows(true);
    }
    SUBCASE("until there is a leader") {
        it.b->set_follows(true);
        it.a_follows = true;
        it.run(milliseconds(200));
        it.a->set_leads(true, 2);
        CHECK(it.run_until([&] { return it.a->subscribers() == 1 && it.b->subscribers() == 0; },
                           max_apply_time));
    }
    const std::uint64_t current = it.index;
    CHECK(it.run_until([&] { return served.index() >= current; }, max_apply_time));
}

// Guards against control instances that send each change to entries which drop it.
TEST_CASE("a control instance that an entry no longer follows sends it no changes") {
    harness it;
    it.a->set_leads(true, 1);
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return served.index() > 1000; }, max_apply_time));
    REQUIRE(it.a->subscribers() == 1);
    it.a->set_leads(false, 2);
    it.b->set_leads(true, 2);
    CHECK(it.run_until([&] { return it.a->subscribers() == 0 && it.b->subscribers() == 1; }, max_apply_time));
    it.a->set_leads(true, 3);
    const std::uint64_t current = it.index;
    CHECK(it.run_until([&] { return served.index() >= current; }, max_apply_time));
    CHECK(it.a->subscribers() == 1);
}

// Guards against lists of a former leader that replace those of the present one.
TEST_CASE("an entry ignores the lists of a leader that another one has followed") {
    harness it;
    it.a->list_entry("127.0.0.1:1");
    it.b->list_entry("127.0.0.1:2");
    it.a->set_leads(true, 1);
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return served.entries.size() == 1; }, max_apply_time));
    it.b->set_leads(true, 2);
    const auto lists_b = [&] {
        return !served.entries.empty() && served.entries.front().name == "127.0.0.1:2";
    };
    REQUIRE(it.run_until(lists_b, max_apply_time));
    it.a->set_leads(true, 1); // does not know yet
    it.run(milliseconds(100));
    CHECK(lists_b());
}

TEST_CASE("an entry follows control instances of an earlier release") {
    harness it;
    it.a->set_confirms(false);
    it.b->set_confirms(false);
    it.a->set_leads(true, 1);
    const auto& served = it.start_entry();
    REQUIRE(it.run_until([&] { return served.index() > 1000; }, max_apply_time));
    it.a->set_leads(false, 2);
    it.b->set_leads(true, 2);
    it.run(milliseconds(200));
    for (std::int64_t term = 3; term <= 4; ++term) {
        const std::uint64_t current = it.index;
        CHECK(it.run_until([&] { return served.index() >= current; }, max_apply_time));
        it.changing = false; // an update on its way would be refused
        it.run(milliseconds(300));
        it.a->set_leads(term == 3, term);
        it.b->set_leads(term == 4, term);
        it.changing = true;
    }
}

} // namespace kingcupseam::router
