#include "router/control_node.h"
#include "router/leader_notices.h"
#include "router/link_settings.h"
#include "support/free_port.h"
#include "support/temporary_folder.h"

#include <directory_types.h>
#include <doctest/doctest.h>
#include <peer_types.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace kingcupseam::router {

namespace {

using std::chrono::milliseconds;
using transport::frame_type;

process_settings settings_of(const test::temporary_folder& folder) {
    process_settings result;
    result.name = std::string("control");
    result.data_center = std::string("d");
    result.ip = std::string("127.0.0.1");
    result.peer_port = test::free_port();
    result.seeds = {result.ip};
    result.bootstrap = true;
    result.data_folder = folder.path() / "data";
    return result;
}

/// Settings of another control instance of the same system, which is no voter.
process_settings settings_of_other(const test::temporary_folder& folder, const process_settings& seed,
                                   std::string ip) {
    process_settings result = seed;
    result.name = std::string("other");
    result.ip = std::move(ip);
    result.data_folder = folder.path() / "other";
    return result;
}

/// An entry's link to the control instance, which counts the statuses that it gets.
class fake_entry {
public:
    fake_entry(asio::io_context& context, const std::string& name, const process_settings& to,
               bool wants_vote = false)
        : link_(context, {to.ip, to.peer_port}, {{name, 1}, "d"}, control_link_settings(),
                [this](const auto&, const transport::frame& received) {
                    if (received.type == frame_type::control_status) {
                        ++statuses;
                        last = transport::decode<wire::ControlStatus>(received.payload);
                    }
                }) {
        link_.on_state_change([this, wants_vote](bool up) {
            if (up) {
                wire::JoinRequest join;
                join.wants_vote = wants_vote;
                link_.notify({frame_type::join_request, 0, transport::encode(join)});
            }
        });
    }
    void send(frame_type type, std::string payload) { link_.notify({type, 0, std::move(payload)}); }
    bool up() const { return link_.up(); }
    void report_held(std::int64_t index) {
        wire::LoadReport report;
        report.held_index = index;
        link_.notify({frame_type::load_report, 0, transport::encode(report)});
    }
    /// Reports a request that was in progress when @p upstream crashed.
    void report_crash(std::int64_t digest, const std::string& upstream) {
        wire::LoadReport report;
        wire::CrashedRequest it;
        it.digest = digest;
        it.upstream = upstream;
        it.upstream_started_ms = 1;
        report.crashed.push_back(it);
        link_.notify({frame_type::load_report, 0, transport::encode(report)});
    }

    int statuses = 0;
    wire::ControlStatus last;

private:
    transport::peer_link link_;
};

} // namespace

// Guards against a status to every entry for each report of a crash: when many upstreams are replaced, this
// kept the leader from its other work for seconds.
TEST_CASE("reports of crashed upstreams are passed on together") {
    asio::io_context context;
    const test::temporary_folder folder;
    const auto settings = settings_of(folder);
    metrics::registry registry;
    control_node node(context, settings, registry, [](const auto&, const auto&) {});
    fake_entry entry(context, "127.0.0.1:1", settings);
    const auto run_until = [&](const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < end) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return condition();
    };
    REQUIRE(run_until([&] { return entry.last.leads; }));
    entry.statuses = 0;
    const time_point begun = steady_now();

    SUBCASE("of many requests") {
        for (std::int64_t digest = 1; digest <= 200; ++digest) {
            entry.report_crash(digest, "u");
            context.run_for(milliseconds(2));
            context.restart();
        }
        CHECK(run_until([&] { return entry.last.watched.size() == 200; }));
        constexpr duration min_interval = milliseconds(200);
        CHECK(entry.statuses <= 2 + (steady_now() - begun) / min_interval);
    }
    SUBCASE("but one that crashed three upstreams is refused at once") {
        for (const char* upstream : {"u1", "u2", "u3"}) {
            entry.report_crash(7, upstream);
        }
        CHECK(run_until([&] { return !entry.last.watched.empty() && entry.last.watched.front().refused; }));
        CHECK(steady_now() - begun < milliseconds(500));
    }
}

// Guards against an entry that serves by an outdated directory without anybody noticing.
TEST_CASE("a leader counts the entries that lack a change for over a second") {
    asio::io_context context;
    const test::temporary_folder folder;
    const auto settings = settings_of(folder);
    metrics::registry registry;
    control_node node(context, settings, registry, [](const auto&, const auto&) {});
    fake_entry entry(context, "127.0.0.1:1", settings);
    const auto run_until = [&](const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < end) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return condition();
    };
    REQUIRE(run_until([&] { return entry.last.leads && entry.last.entries.size() == 1; }));
    directory::configuration wanted;
    wanted.version = 1;
    bool accepted = false;
    node.accept_configuration(wanted, [&](bool ok) { accepted = ok; });
    REQUIRE(run_until([&] { return accepted; }));
    const auto& behind = registry.gauge_of("entries_behind", {});
    entry.report_held(1);
    CHECK(run_until([&] { return behind.value() == 1; }));
    SUBCASE("until they report it") {
        entry.report_held(1000);
        CHECK(run_until([&] { return behind.value() == 0; }));
    }
    SUBCASE("and not those that have started again since their report") {
        fake_entry again(context, "127.0.0.1:1", settings);
        CHECK(run_until([&] { return again.statuses > 0 && behind.value() == 0; }));
    }
}

// Guards against lists of all entries that each control instance sends to all entries when one comes or goes.
TEST_CASE("only the leader tells entries of the others") {
    asio::io_context context;
    const test::temporary_folder folder;
    auto settings = settings_of(folder);
    settings.tolerated_losses = 0;
    const auto settings_of_second = settings_of_other(folder, settings, "127.0.0.2");
    metrics::registry registry;
    control_node leader(context, settings, registry, [](const auto&, const auto&) {});
    control_node other(context, settings_of_second, registry, [](const auto&, const auto&) {});
    const auto run_until = [&](const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(5);
        while (!condition() && steady_now() < end) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return condition();
    };
    fake_entry at_leader(context, "127.0.0.9:1", settings);
    fake_entry at_other(context, "127.0.0.9:1", settings_of_second);
    REQUIRE(run_until([&] {
        return at_leader.last.leads && at_leader.last.entries.size() == 1 &&
               !at_other.last.control_instances.empty();
    }));
    CHECK(at_other.last.entries.empty());
    context.run_for(std::chrono::milliseconds(1200)); // the control instances have found each other
    context.restart();
    const int before = at_other.statuses;
    for (int i = 2; i < 5; ++i) {
        const std::string name = std::string("127.0.0.9:").append(std::to_string(i));
        fake_entry second_at_leader(context, name, settings);
        fake_entry second_at_other(context, name, settings_of_second);
        CHECK(run_until([&] { return at_leader.last.entries.size() == 2; }));
    }
    CHECK(at_other.statuses == before);
}

// Guards against operators and upstreams that are refused by most control instances, and wait for one that
// votes.
TEST_CASE("orders are carried out by a control instance that is no member of the group") {
    asio::io_context context;
    const test::temporary_folder folder;
    auto settings = settings_of(folder);
    settings.tolerated_losses = 0;
    metrics::registry registry;
    const auto make_node = [&](const process_settings& its) {
        return std::make_unique<control_node>(context, its, registry, [](const auto&, const auto&) {});
    };
    const auto other = make_node(settings_of_other(folder, settings, "127.0.0.2"));
    const auto run_until = [&](const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(5);
        while (!condition() && steady_now() < end) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return condition();
    };
    std::uint64_t version = 0;
    int acknowledged = 0;
    int answered = 0;
    const auto is_acknowledged = [&] {
        directory::configuration wanted;
        wanted.version = ++version;
        const int before = answered;
        acknowledged = 0;
        other->accept_configuration(wanted, [&](bool ok) {
            acknowledged += ok ? 1 : 0;
            ++answered;
        });
        return run_until([&] { return answered > before; }) && acknowledged == 1;
    };
    CHECK_FALSE(is_acknowledged()); // nobody leads yet
    const auto seed = make_node(settings);

    SUBCASE("soon after a leader was elected") {
        CHECK(run_until(is_acknowledged));
    }
    SUBCASE("and reads, reports and departures as well") {
        REQUIRE(run_until(is_acknowledged));
        std::optional<std::string> document;
        other->read_configuration([&](std::optional<std::string> it) { document = std::move(it); });
        CHECK(run_until([&] { return document.has_value(); }));
        bool left = false;
        other->depart("u", [&](bool ok) { left = ok; });
        CHECK(run_until([&] { return left; }));
    }
    SUBCASE("that came later than the leader") {
        REQUIRE(run_until(is_acknowledged));
        const auto late = make_node([&] {
            auto its = settings_of_other(folder, settings, "127.0.0.3");
            its.data_folder = folder.path() / "late";
            return its;
        }());
        bool accepted = false;
        CHECK(run_until([&] {
            directory::configuration wanted;
            wanted.version = ++version;
            late->accept_configuration(wanted, [&](bool ok) { accepted = accepted || ok; });
            return accepted;
        }));
    }
}

// Guards against a notice of a former leader that replaces that of its successor.
TEST_CASE("the newest leader that other control instances tell of counts") {
    leader_notices notices(std::chrono::seconds(3));
    const time_point begun = steady_now();
    CHECK_FALSE(notices.current(begun));
    CHECK(notices.add({"a", 5, begun}));
    CHECK_FALSE(notices.add({"a", 5, begun}));
    CHECK(notices.add({"b", 6, begun}));
    CHECK_FALSE(notices.add({"a", 5, begun + std::chrono::seconds(1)}));
    CHECK_FALSE(notices.add({"", 9, begun}));
    REQUIRE(notices.current(begun));
    CHECK(notices.current(begun)->name == "b");
    SUBCASE("until nobody tells of it any more") {
        CHECK(notices.current(begun + std::chrono::seconds(3)));
        CHECK_FALSE(notices.current(begun + std::chrono::seconds(4)));
    }
    SUBCASE("as long as others tell of it") {
        CHECK_FALSE(notices.add({"b", 6, begun + std::chrono::seconds(2)}));
        CHECK(notices.current(begun + std::chrono::seconds(4)));
    }
}

// Guards against frames that end the control instance which reads them, as reports did (review case 4).
TEST_CASE("a frame whose content cannot be read ends its connection and no process") {
    asio::io_context context;
    const test::temporary_folder folder;
    const auto settings = settings_of(folder);
    metrics::registry registry;
    control_node node(context, settings, registry, [](const auto&, const auto&) {});
    const auto run_until = [&](const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < end) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return condition();
    };
    const std::string good_name = "127.0.0.1:1";
    fake_entry sound(context, good_name, settings);
    REQUIRE(run_until([&] { return sound.last.leads && sound.last.entries.size() == 1; }));
    wire::ControlOrder order;
    constexpr std::int8_t configure = 3;
    constexpr std::int8_t announce = 1;

    SUBCASE("names that are no addresses") {
        for (const char* name : {"entry", "entry:80", "127.0.1:80", "127.0.0.1:99999", "\xff:1"}) {
            for (const bool wants_vote : {false, true}) {
                fake_entry other(context, name, settings, wants_vote);
                REQUIRE_NOTHROW(context.run_for(milliseconds(100)));
                context.restart();
                CHECK(other.statuses == 0);
            }
        }
    }
    SUBCASE("orders with other bytes") {
        for (const std::int8_t kind : {configure, announce}) {
            for (const char* payload : {"", "\xff\xff\xff", "{}"}) {
                fake_entry other(context, good_name, settings);
                REQUIRE(run_until([&] { return other.up(); }));
                order.kind = kind;
                order.payload = payload;
                other.send(frame_type::control_order, transport::encode(order));
                REQUIRE_NOTHROW(context.run_for(milliseconds(100)));
                context.restart();
            }
        }
    }
    SUBCASE("consensus messages from names that are no addresses") {
        constexpr std::int8_t kinds = 10;
        for (const char* name : {"entry", "127.0.1:80", ""}) {
            for (std::int8_t kind = 0; kind < kinds; ++kind) {
                fake_entry other(context, good_name, settings);
                REQUIRE(run_until([&] { return other.up(); }));
                wire::ConsensusMessage message;
                message.kind = kind;
                message.group = 1;
                message.sender.name = name;
                message.receiver.name = to_string(endpoint_address{settings.ip, settings.peer_port});
                other.send(frame_type::consensus_message, transport::encode(message));
                REQUIRE_NOTHROW(context.run_for(milliseconds(20)));
                context.restart();
            }
        }
    }
    SUBCASE("a snapshot whose state cannot be read") {
        std::string data;
        SUBCASE("of other bytes") {
            data = "\xff\xff\xff";
        }
        SUBCASE("without bytes") {}
        fake_entry other(context, good_name, settings);
        REQUIRE(run_until([&] { return other.up(); }));
        constexpr std::int64_t later_term = 1000;
        for (std::int8_t kind = 0; kind < 10; ++kind) {
            wire::ConsensusMessage message;
            message.kind = kind;
            message.group = 1;
            message.sender.name = good_name;
            message.receiver.name = to_string(endpoint_address{settings.ip, settings.peer_port});
            message.term = later_term;
            wire::Snapshot state;
            state.index = later_term;
            state.term = later_term;
            state.membership = consensus::encode(consensus::membership{{{good_name, 0}}, {}});
            state.data = data;
            message.__set_state(state);
            other.send(frame_type::consensus_message, transport::encode(message));
            REQUIRE_NOTHROW(context.run_for(milliseconds(50)));
            context.restart();
        }
    }
    CHECK(sound.up());
    CHECK(std::all_of(sound.last.entries.begin(), sound.last.entries.end(),
                      [&](const auto& it) { return it.name == good_name; }));
}

} // namespace kingcupseam::router
