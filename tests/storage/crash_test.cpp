#include "fake_disk.h"

#include "storage/file_log_store.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::storage;
using kingcupseam::test::fake_disk;
using kingcupseam::test::power_loss;

namespace {

std::shared_ptr<fake_disk> non_owning(fake_disk& disk) {
    return {std::shared_ptr<void>(), &disk};
}

/// State of a store in comparable form.
struct content {
    hard_state state;
    std::optional<snapshot> base;
    std::vector<entry> entries;
    bool operator==(const content&) const = default;
};

content content_of(const log_store& store) {
    return {store.load_hard_state(), store.load_snapshot(), store.entries(store.first_index(), 1 << 30)};
}

/// One step of a workload, applied both to the store under test and to a memory store that serves as model.
void apply_step(log_store& store, std::uint64_t choice) {
    const std::uint64_t last = store.last_index();
    const std::uint64_t term = store.load_hard_state().term;
    switch (choice % 6) {
    case 0:
        store.save_hard_state({term + 1, "voter" + std::to_string(choice)});
        break;
    case 1:
        store.truncate_after(last > store.first_index() ? last - 1 : last);
        break;
    case 2:
        if (last >= store.first_index() + 4) {
            store.save_snapshot({last - 2, *store.term_at(last - 2), "m", std::to_string(last)});
        }
        break;
    default: {
        std::vector<entry> batch;
        for (std::uint64_t n = 1; n <= 1 + choice % 3; ++n) {
            batch.push_back({last + n, term, entry_kind::command, std::string(choice % 90, 'x')});
        }
        store.append(batch);
    }
    }
}

struct run_result {
    bool lost_power = false;
    bool lost_data = false;
};

/// Runs a workload until power is lost at operation @p crash_at, then reopens the store. It must contain what
/// was acknowledged, with or without the write that was in progress.
run_result run_with_crash(std::uint64_t seed, int crash_at, bool ignores_sync) {
    fake_disk disk;
    disk.random.seed(seed * 7919 + static_cast<std::uint64_t>(crash_at));
    disk.ignores_sync = ignores_sync;
    disk.crash_at = crash_at;
    std::mt19937_64 choices(seed);
    const auto acknowledged = make_memory_log_store(1);
    std::uint64_t identity = 0;
    content before;
    run_result result;
    try {
        const auto store = open_log_store_on(non_owning(disk), "data");
        identity = store->identity();
        for (int n = 0; n < 40; ++n) {
            const std::uint64_t choice = choices();
            before = content_of(*acknowledged);
            apply_step(*acknowledged, choice);
            apply_step(*store, choice);
            before = content_of(*acknowledged);
        }
    } catch (const power_loss&) {
        result.lost_power = true;
    }
    const content after = content_of(*acknowledged);
    disk.lose_power();
    try {
        const auto store = open_log_store_on(non_owning(disk), "data");
        const content found = content_of(*store);
        result.lost_data =
            (found != before && found != after) || (identity != 0 && store->identity() != identity);
    } catch (const corrupt_log&) {
        result.lost_data = true;
    }
    return result;
}

/// Number of crash points, over several workloads, at which acknowledged data was lost.
int count_lost_data(bool ignores_sync) {
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        for (int at = 0;; ++at) {
            const run_result result = run_with_crash(seed, at, ignores_sync);
            lost += result.lost_data ? 1 : 0;
            if (!result.lost_power) {
                break;
            }
        }
    }
    return lost;
}

} // namespace

TEST_CASE("a crash at any operation loses no acknowledged write") {
    CHECK(count_lost_data(false) == 0);
}

TEST_CASE("the crash test detects a disk whose fsync does nothing") {
    CHECK(count_lost_data(true) > 0);
}

TEST_CASE("a crash during recovery loses no acknowledged write") {
    for (int at = 0; at < 6; ++at) {
        fake_disk disk;
        std::optional<content> expected;
        {
            const auto store = open_log_store_on(non_owning(disk), "data");
            store->append(std::vector<entry>{{1, 1, entry_kind::command, "one"}});
            expected = content_of(*store);
        }
        disk.bytes("data/log") += "torn";
        disk.crash_at = disk.operations + at;
        try {
            open_log_store_on(non_owning(disk), "data");
        } catch (const power_loss&) {
        }
        disk.lose_power();
        CHECK(content_of(*open_log_store_on(non_owning(disk), "data")) == *expected);
    }
}

// Guards against a store that continues after a failed write, whose effect on the disk is unknown.
TEST_CASE("a disk failure is reported, and the store then refuses writes") {
    fake_disk disk;
    const auto store = open_log_store_on(non_owning(disk), "data");
    const std::vector<entry> first{{1, 1, entry_kind::command, "one"}};
    const std::vector<entry> second{{2, 1, entry_kind::command, "two"}};
    store->append(first);
    SUBCASE("disk full") {
        disk.fail_at = disk.operations;
    }
    SUBCASE("read-only disk") {
        disk.fail_at = disk.operations;
        disk.error_code = EROFS;
    }
    SUBCASE("fsync fails") {
        disk.fail_sync_at = disk.operations;
    }
    CHECK_THROWS_AS(store->append(second), io_error);
    disk.fail_at = disk.fail_sync_at = -1;
    // After a failed fsync the kernel may drop the dirty pages, so a later fsync that succeeds proves
    // nothing.
    CHECK_THROWS_AS(store->append(second), io_error);
    CHECK_THROWS_AS(store->save_hard_state({9, "x"}), io_error);
    CHECK_THROWS_AS(store->save_snapshot({1, 1, "", ""}), io_error);
    disk.lose_power();
    const auto reopened = open_log_store_on(non_owning(disk), "data");
    CHECK(reopened->last_index() >= 1);
    CHECK(reopened->entries(1, 100).front() == first.front());
}

namespace {

/// Frees space at the given retry.
class freeing_policy final : public wait_policy {
public:
    freeing_policy(fake_disk& disk, int tries_until_room) : disk_(disk), left_(tries_until_room) {}
    bool wait(obstacle reason, const io_error&) override {
        CHECK(reason == obstacle::disk_full);
        ++waits;
        if (--left_ <= 0) {
            disk_.fail_at = -1;
        }
        return !gives_up;
    }
    void on_resumed() override { ++recoveries; }

    int waits = 0;
    int recoveries = 0;
    bool gives_up = false;

private:
    fake_disk& disk_;
    int left_;
};

class failure_waits final : public wait_policy {
public:
    bool wait(obstacle reason, const io_error&) override {
        CHECK(reason == expected);
        ++waits;
        return true;
    }
    void on_resumed() override { ++recoveries; }

    obstacle expected = obstacle::disk_failed;
    int waits = 0;
    int recoveries = 0;
};

/// Gives up at a given wait.
class folder_waits final : public wait_policy {
public:
    bool wait(obstacle reason, const io_error&) override {
        CHECK(reason == obstacle::folder_in_use);
        return ++waits < limit;
    }
    void on_resumed() override { ++recoveries; }

    int waits = 0;
    int recoveries = 0;
    int limit = 100;
};

} // namespace

// Guards against a control instance that stops and restarts repeatedly while its disk is full.
TEST_CASE("a store with a wait_policy waits until a full disk has space") {
    fake_disk disk;
    const auto policy = std::make_shared<freeing_policy>(disk, 3);
    const auto store = open_log_store_on(non_owning(disk), "data", policy);
    const std::vector<entry> first{{1, 1, entry_kind::command, "one"}};
    const std::vector<entry> second{{2, 1, entry_kind::command, "two"}};
    store->append(first);
    disk.fail_at = disk.operations;

    SUBCASE("the append is then durable, without partial records of the failed attempts") {
        store->append(second);
        CHECK(policy->waits == 3);
        CHECK(policy->recoveries == 1);
        disk.lose_power();
        const auto reopened = open_log_store_on(non_owning(disk), "data");
        CHECK(reopened->entries(1, 100) == std::vector<entry>{first.front(), second.front()});
    }
    SUBCASE("and until a limit on the size of files is lifted") {
        disk.error_code = EFBIG;
        store->append(second);
        CHECK(policy->waits == 3);
    }
    SUBCASE("a snapshot is then durable") {
        store->save_snapshot({1, 1, "members", "state"});
        CHECK(policy->recoveries == 1);
        disk.lose_power();
        CHECK(open_log_store_on(non_owning(disk), "data")->load_snapshot() ==
              snapshot{1, 1, "members", "state"});
    }
    SUBCASE("a policy that gives up leaves the store unusable") {
        policy->gives_up = true;
        CHECK_THROWS_AS(store->append(second), io_error);
        disk.fail_at = -1;
        CHECK_THROWS_AS(store->append(second), io_error);
    }
}

// Guards against a voter that ends, although its disk works again and its memory has all it acknowledged.
TEST_CASE("a store whose write or sync has failed writes its content to a new file") {
    fake_disk disk;
    const auto policy = std::make_shared<failure_waits>();
    const auto store = open_log_store_on(non_owning(disk), "data", policy);
    const std::vector<entry> first{{1, 1, entry_kind::command, "one"}};
    const std::vector<entry> second{{2, 1, entry_kind::command, "two"}};
    store->append(first);
    disk.fault_at = disk.operations;
    SUBCASE("after a failed append") {
        disk.faults = 1;
    }
    SUBCASE("after a failed sync") {
        disk.fault_at += 1;
        disk.faults = 1;
    }
    SUBCASE("after its disk was read-only for a while") {
        disk.fault_code = EROFS;
        disk.faults = 3;
    }
    SUBCASE("after failures of its retries") {
        disk.faults = 5;
    }
    store->append(second);
    CHECK(policy->waits == disk.faults);
    CHECK(policy->recoveries == 1);
    disk.lose_power();
    const auto reopened = open_log_store_on(non_owning(disk), "data");
    CHECK(reopened->entries(1, 100) == std::vector<entry>{first.front(), second.front()});
}

// Guards against two processes that vote as one member: the lock does not cover the folder that was put in
// place of the locked one.
TEST_CASE("a store writes nothing to a folder that is not the locked one any more") {
    fake_disk disk;
    const auto store = open_log_store_on(non_owning(disk), "data", std::make_shared<failure_waits>());
    const std::string former = disk.bytes("data/log");
    disk.replaced = true;
    SUBCASE("after a failed write") {
        disk.fault_at = disk.operations;
        disk.faults = 1;
        CHECK_THROWS_AS(store->save_hard_state({2, "x"}), folder_replaced);
        CHECK(disk.bytes("data/log").starts_with(former));
    }
    SUBCASE("with a snapshot") {
        CHECK_THROWS_AS(store->save_snapshot({1, 1, "", ""}), folder_replaced);
        CHECK(disk.bytes("data/log") == former);
    }
    CHECK_FALSE(disk.read("data/log.new"));
    CHECK_THROWS_AS(store->save_hard_state({3, "x"}), io_error);
}

TEST_CASE("a store waits for a failed disk while it opens, but not for a wrong path") {
    fake_disk disk;
    const auto policy = std::make_shared<failure_waits>();
    SUBCASE("failures of the disk") {
        disk.fault_at = 0;
        disk.faults = 4;
        const auto store = open_log_store_on(non_owning(disk), "data", policy);
        CHECK(policy->waits > 0);
        CHECK(policy->recoveries > 0);
    }
    SUBCASE("a read-only folder") {
        disk.fail_at = 0;
        disk.error_code = EROFS;
        CHECK_THROWS_AS(open_log_store_on(non_owning(disk), "data", policy), io_error);
        CHECK(policy->waits == 0);
    }
}

namespace {

/// Failing operations of a run, and a power loss some operations after the first one. What the store finds
/// after that must also survive another power loss.
struct fault_plan {
    int code = EIO;
    int at = 0;
    int count = 1;
    int crash_after = 0;
    bool killed = false; ///< only the process ends; power is lost after its restart
};

/// @returns true if a workload with these faults lost acknowledged data
bool loses_data(std::uint64_t seed, const fault_plan& plan) {
    fake_disk disk;
    disk.random.seed(seed * 7919 +
                     static_cast<std::uint64_t>(plan.at * 64 + plan.count * 16 + plan.crash_after));
    const auto policy = std::make_shared<failure_waits>();
    policy->expected = plan.code == EIO ? obstacle::disk_failed : obstacle::disk_full;
    std::mt19937_64 choices(seed);
    const auto acknowledged = make_memory_log_store(1);
    const auto store = open_log_store_on(non_owning(disk), "data", policy);
    disk.fault_code = plan.code;
    disk.fault_at = disk.operations + plan.at;
    disk.faults = plan.count;
    disk.crash_at = disk.fault_at + plan.crash_after;
    content before;
    try {
        for (int n = 0; n < 25; ++n) {
            const std::uint64_t choice = choices();
            before = content_of(*acknowledged);
            apply_step(*acknowledged, choice);
            apply_step(*store, choice);
            before = content_of(*acknowledged);
            if (content_of(*store) != before) {
                return true;
            }
        }
    } catch (const power_loss&) {
        // The step in progress may or may not be on the disk.
    }
    const content after = content_of(*acknowledged);
    if (plan.killed) {
        disk.heal();
    } else {
        disk.lose_power();
    }
    try {
        const content found = content_of(*open_log_store_on(non_owning(disk), "data"));
        disk.lose_power();
        return (found != before && found != after) ||
               content_of(*open_log_store_on(non_owning(disk), "data")) != found;
    } catch (const corrupt_log&) {
        return true;
    }
}

} // namespace

// Guards against a voter that forgets a vote: its predecessor's sync failed, so that what it read, and acted
// on, was in the page cache only and counted as written.
TEST_CASE("what a store finds after a failed sync of its predecessor survives a power loss") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_disk disk;
        disk.random.seed(seed);
        auto store = open_log_store_on(non_owning(disk), "data");
        store->save_hard_state({1, ""});
        disk.fail_sync_at = disk.operations;
        CHECK_THROWS_AS(store->save_hard_state({2, "x"}), io_error);
        disk.heal();
        const content found = content_of(*open_log_store_on(non_owning(disk), "data"));
        disk.lose_power();
        CHECK(content_of(*open_log_store_on(non_owning(disk), "data")) == found);
    }
}

// Guards against a torn record, a log.new that is not complete, or an older log that is taken for the log
// after a failure at any step of a write, of a snapshot or of the recovery from an earlier failure.
TEST_CASE("failures at any operation, and a crash at any time after them, lose no acknowledged write") {
    constexpr int max_faults = 7; // the recovery has six operations
    constexpr int last_crash = 16;
    constexpr int no_crash = 100'000;
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (int at = 0; at < 60; ++at) {
            for (int faults = 1; faults <= max_faults; ++faults) {
                for (const int code : {EIO, ENOSPC}) {
                    for (int crash = 1; crash <= last_crash; ++crash) {
                        lost += loses_data(seed, {code, at, faults, crash}) ? 1 : 0;
                        lost += loses_data(seed, {code, at, faults, crash, true}) ? 1 : 0;
                    }
                    lost += loses_data(seed, {code, at, faults, no_crash}) ? 1 : 0;
                }
            }
        }
    }
    CHECK(lost == 0);
}

// Guards against a successor that ends, or opens the log, while its predecessor still writes it.
TEST_CASE("a store waits for its folder while another process has it open") {
    fake_disk disk;
    disk.lock_fails = 3;
    const auto policy = std::make_shared<folder_waits>();
    SUBCASE("and opens it once it is free") {
        const auto store = open_log_store_on(non_owning(disk), "data", policy);
        CHECK(policy->waits == 3);
        CHECK(policy->recoveries == 1);
        store->append(std::vector<entry>{{1, 1, entry_kind::command, "one"}});
    }
    SUBCASE("and touches no file when the policy gives up") {
        policy->limit = 2;
        CHECK_THROWS_AS(open_log_store_on(non_owning(disk), "data", policy), io_error);
        CHECK(policy->waits == 2);
        CHECK_FALSE(disk.read("data/log"));
        CHECK_FALSE(disk.read("data/log.new"));
    }
    SUBCASE("but not without a policy") {
        CHECK_THROWS_AS(open_log_store_on(non_owning(disk), "data"), io_error);
    }
}

// Guards against a voter that starts without a durable log.
TEST_CASE("creating a store in a read-only folder throws io_error") {
    fake_disk disk;
    disk.fail_at = 0;
    disk.error_code = EROFS;
    CHECK_THROWS_AS(open_log_store_on(non_owning(disk), "data"), io_error);
}
