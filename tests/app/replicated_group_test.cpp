#include "app/instance/replicated_group.h"
#include "support/temporary_folder.h"

#include <kingcupseam/lifecycle.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace kingcupseam::app {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr int members = 3;

/// Holds the last command, as a directory holds the newest configuration.
class last_command : public state_machine {
public:
    std::string apply(const std::string& command, std::uint64_t /*index*/) override {
        if (command == unreadable) {
            throw std::out_of_range("command");
        }
        held = command;
        return {};
    }
    std::string save() const override { return held; }
    void restore(const std::string& saved) override {
        held = saved;
        ++restored;
    }

    static constexpr std::string_view unreadable = "unreadable";
    std::string held;
    int restored = 0;
};

consensus::member_id name_of(int n) {
    return {std::string(1, static_cast<char>('a' + n)), 1};
}

/// Three members with logs on disk. Messages to and from a member that is cut off are lost.
class cluster {
public:
    cluster() {
        for (int n = 0; n < members; ++n) {
            consensus::node::bootstrap(*open(n), {{name_of(0), name_of(1), name_of(2)}, {}});
        }
        start();
    }
    void start() {
        for (int n = 0; n < members; ++n) {
            machines_.push_back(std::make_unique<last_command>());
            consensus::options settings;
            settings.self = name_of(n);
            settings.elect_after_restart = true;
            settings.seed = static_cast<std::uint64_t>(n) + 1;
            groups_.push_back(std::make_unique<replicated_group>(
                settings, open(n), *machines_[static_cast<std::size_t>(n)],
                [this](const consensus::message& it) { messages_.push_back(it); }));
        }
    }
    void restart() {
        groups_.clear();
        machines_.clear();
        messages_.clear();
        start();
    }
    void cut_off(int n) { lost_ = n; }
    void reconnect() { lost_ = members; }
    const last_command& machine(int n) const { return *machines_[static_cast<std::size_t>(n)]; }
    bool run_until(const std::function<bool()>& condition) {
        const time_point end = steady_now() + std::chrono::seconds(20);
        while (!condition() && steady_now() < end) {
            for (const auto& it : groups_) {
                it->tick();
            }
            deliver();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return condition();
    }
    /// Proposes at the leader until the command is acknowledged.
    void accept(const std::string& command) {
        bool accepted = false;
        bool pending = false;
        const auto leads = [](const auto& it) { return it->leads(); };
        REQUIRE(run_until([&] {
            const auto leader = std::find_if(groups_.begin(), groups_.end(), leads);
            if (!accepted && !pending && leader != groups_.end()) {
                pending = true;
                (*leader)->propose(command, [&](const std::optional<std::string>& result) {
                    pending = false;
                    accepted = result.has_value();
                });
                deliver();
            }
            return accepted;
        }));
    }
    /// Proposes at the leader and runs the members for a second.
    void propose(const std::string& command) {
        for (const auto& it : groups_) {
            it->propose(command, [](const auto&) {});
        }
        const time_point end = steady_now() + std::chrono::seconds(1);
        run_until([&] { return steady_now() >= end; });
    }
    /// Bytes of the entries that the member keeps in memory and on disk.
    std::size_t log_bytes(int n) {
        auto& store = groups_[static_cast<std::size_t>(n)]->store();
        std::size_t result = 0;
        for (const auto& it : store.entries(store.first_index(), std::numeric_limits<std::size_t>::max())) {
            result += it.data.size();
        }
        return result;
    }
    std::size_t file_bytes(int n) const { return std::filesystem::file_size(folder_of(n) / "log"); }

private:
    std::filesystem::path folder_of(int n) const { return folder_.path() / name_of(n).name; }
    std::unique_ptr<storage::log_store> open(int n) { return storage::open_file_log_store(folder_of(n)); }
    void deliver() {
        while (!messages_.empty()) {
            const consensus::message it = std::move(messages_.front());
            messages_.pop_front();
            for (int n = 0; n < members; ++n) {
                if (it.to == name_of(n) && lost_ != n && it.from != name_of(lost_)) {
                    groups_[static_cast<std::size_t>(n)]->receive(it);
                }
            }
        }
    }

    test::temporary_folder folder_;
    std::vector<std::unique_ptr<last_command>> machines_;
    std::deque<consensus::message> messages_;
    std::vector<std::unique_ptr<replicated_group>> groups_;
    int lost_ = members;
};

/// A command of 1 MiB, as a configuration with many routes has.
std::string make_command(int n) {
    return std::to_string(n).append(mebibyte, ' ');
}

} // namespace

// Guards against a member that exceeds its memory because its log has many large commands, and again at each
// start (review case 3).
TEST_CASE("the log of a group is bounded in bytes") {
    cluster it;
    constexpr int commands = 40;
    constexpr std::size_t most_bytes = 20 * mebibyte;
    std::size_t most_kept = 0;
    std::size_t most_stored = 0;
    for (int n = 1; n <= commands; ++n) {
        it.accept(make_command(n));
        for (int m = 0; m < members; ++m) {
            most_kept = std::max(most_kept, it.log_bytes(m));
            most_stored = std::max(most_stored, it.file_bytes(m));
        }
    }
    CHECK(most_kept <= most_bytes);
    CHECK(most_stored <= most_bytes);
    const auto all_hold = [&](const std::string& command) {
        return it.run_until([&] {
            return it.machine(0).held == command && it.machine(1).held == command &&
                   it.machine(2).held == command;
        });
    };
    CHECK(all_hold(make_command(commands)));

    SUBCASE("and a restart of all members keeps what was acknowledged last") {
        it.restart();
        CHECK(all_hold(make_command(commands)));
        for (int m = 0; m < members; ++m) {
            CHECK(it.machine(m).restored > 0);
        }
        it.accept(make_command(commands + 1));
        CHECK(all_hold(make_command(commands + 1)));
    }
    SUBCASE("and a member that missed more than the others keep gets their state") {
        it.cut_off(2);
        for (int n = commands + 1; n <= 2 * commands; ++n) {
            it.accept(make_command(n));
        }
        CHECK(it.machine(2).held != make_command(2 * commands));
        it.reconnect();
        CHECK(all_hold(make_command(2 * commands)));
    }
}

// Guards against a snapshot for each command once small commands have filled the log.
TEST_CASE("small commands stay in the log until there are many") {
    cluster it;
    constexpr int commands = 200;
    constexpr std::size_t command_bytes = 100;
    for (int n = 1; n <= commands; ++n) {
        it.accept(std::to_string(n).append(command_bytes, ' '));
    }
    CHECK(it.run_until([&] { return it.log_bytes(0) >= commands * command_bytes; }));
}

// Guards against a member that goes on without a committed entry: as a leader it would name other owners.
TEST_CASE("a committed command that a member cannot apply ends its process") {
    cluster it;
    it.accept("readable");
    CHECK_THROWS_AS(it.propose(std::string(last_command::unreadable)), lifecycle::unrecoverable_error);
}

} // namespace kingcupseam::app
