#include "fake_disk.h"

#include "storage/file_log_store.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::storage;
using kingcupseam::test::crashed;
using kingcupseam::test::fake_disk;

namespace {

std::shared_ptr<fake_disk> borrowed(fake_disk& disk) {
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

/// One step of a workload, applied alike to the store under test and to a memory store as the model.
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
    bool crashed_in_time = false;
    bool forgot = false;
};

/// Runs a workload until operation @p crash_at, loses power and reopens. The store must hold what was
/// acknowledged, or that plus the one write in progress.
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
        const auto store = open_log_store_on(borrowed(disk), "data");
        identity = store->identity();
        for (int n = 0; n < 40; ++n) {
            const std::uint64_t choice = choices();
            before = content_of(*acknowledged);
            apply_step(*acknowledged, choice);
            apply_step(*store, choice);
            before = content_of(*acknowledged);
        }
    } catch (const crashed&) {
        result.crashed_in_time = true;
    }
    const content after = content_of(*acknowledged);
    disk.lose_power();
    try {
        const auto store = open_log_store_on(borrowed(disk), "data");
        const content found = content_of(*store);
        result.forgot =
            (found != before && found != after) || (identity != 0 && store->identity() != identity);
    } catch (const corrupt_log&) {
        result.forgot = true;
    }
    return result;
}

/// Number of crash points at which acknowledged state was lost.
int count_forgotten(bool ignores_sync) {
    int forgotten = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        for (int at = 0;; ++at) {
            const run_result result = run_with_crash(seed, at, ignores_sync);
            forgotten += result.forgot ? 1 : 0;
            if (!result.crashed_in_time) {
                break;
            }
        }
    }
    return forgotten;
}

} // namespace

TEST_CASE("no acknowledged write is forgotten by a crash between any two operations") {
    CHECK(count_forgotten(false) == 0);
}

TEST_CASE("the crash test detects a disk whose fsync does nothing") {
    CHECK(count_forgotten(true) > 0);
}

TEST_CASE("a crash during recovery does not lose what the first recovery would have found") {
    for (int at = 0; at < 6; ++at) {
        fake_disk disk;
        std::optional<content> expected;
        {
            const auto store = open_log_store_on(borrowed(disk), "data");
            store->append(std::vector<entry>{{1, 1, entry_kind::command, "one"}});
            expected = content_of(*store);
        }
        disk.bytes("data/log") += "torn";
        disk.crash_at = disk.operations + at;
        try {
            open_log_store_on(borrowed(disk), "data");
        } catch (const crashed&) {
        }
        disk.lose_power();
        CHECK(content_of(*open_log_store_on(borrowed(disk), "data")) == *expected);
    }
}

TEST_CASE("a failing disk is reported, and the store then refuses to continue") {
    fake_disk disk;
    const auto store = open_log_store_on(borrowed(disk), "data");
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
    // After a failed fsync the kernel may drop the dirty pages, so a later success proves nothing.
    CHECK_THROWS_AS(store->append(second), io_error);
    CHECK_THROWS_AS(store->save_hard_state({9, "x"}), io_error);
    CHECK_THROWS_AS(store->save_snapshot({1, 1, "", ""}), io_error);
    disk.lose_power();
    const auto reopened = open_log_store_on(borrowed(disk), "data");
    CHECK(reopened->last_index() >= 1);
    CHECK(reopened->entries(1, 100).front() == first.front());
}

namespace {

/// Frees the disk after some tries.
class freeing_policy final : public full_disk_policy {
public:
    freeing_policy(fake_disk& disk, int tries_until_room) : disk_(disk), left_(tries_until_room) {}
    bool wait_for_space(const io_error&) override {
        ++waits;
        if (--left_ <= 0) {
            disk_.fail_at = -1;
        }
        return !gives_up;
    }
    void on_space_available() override { ++recoveries; }

    int waits = 0;
    int recoveries = 0;
    bool gives_up = false;

private:
    fake_disk& disk_;
    int left_;
};

} // namespace

// Guards against a control instance that ends, and is started again, for as long as its disk is full.
TEST_CASE("a store with a policy waits until a full disk has room") {
    fake_disk disk;
    const auto policy = std::make_shared<freeing_policy>(disk, 3);
    const auto store = open_log_store_on(borrowed(disk), "data", policy);
    const std::vector<entry> first{{1, 1, entry_kind::command, "one"}};
    const std::vector<entry> second{{2, 1, entry_kind::command, "two"}};
    store->append(first);
    disk.fail_at = disk.operations;

    SUBCASE("an append is durable afterwards, without the bytes of the failed tries") {
        store->append(second);
        CHECK(policy->waits == 3);
        CHECK(policy->recoveries == 1);
        disk.lose_power();
        const auto reopened = open_log_store_on(borrowed(disk), "data");
        CHECK(reopened->entries(1, 100) == std::vector<entry>{first.front(), second.front()});
    }
    SUBCASE("a snapshot too") {
        store->save_snapshot({1, 1, "members", "state"});
        CHECK(policy->recoveries == 1);
        disk.lose_power();
        CHECK(open_log_store_on(borrowed(disk), "data")->load_snapshot() ==
              snapshot{1, 1, "members", "state"});
    }
    SUBCASE("a policy that gives up leaves the store unusable") {
        policy->gives_up = true;
        CHECK_THROWS_AS(store->append(second), io_error);
        disk.fail_at = -1;
        CHECK_THROWS_AS(store->append(second), io_error);
    }
    SUBCASE("another failure is not waited for") {
        disk.error_code = EROFS;
        CHECK_THROWS_AS(store->append(second), io_error);
        CHECK(policy->waits == 0);
    }
}

TEST_CASE("a folder that cannot be written is an io_error on creation") {
    fake_disk disk;
    disk.fail_at = 0;
    disk.error_code = EROFS;
    CHECK_THROWS_AS(open_log_store_on(borrowed(disk), "data"), io_error);
}
