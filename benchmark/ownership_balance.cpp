// Measures balance, moved shards and running time of the planner, and the encoded sizes of tables and
// commands. Exits with 1 when a bound of docs/design.md is missed: shards per slot differ by at most one, and
// moves are at most 1.1 times the fewest possible.
#include <kingcupseam/ownership.h>

#include <algorithm>
#include <cstdio>

using namespace kingcupseam;
using namespace kingcupseam::ownership;

namespace {

constexpr std::uint32_t slots = 2;
constexpr std::size_t key_count = 1'000'000;
const std::string service_name = "registry";
bool failed = false;

/// A data centre whose upstreams are active and whose grants end at once.
struct cluster {
    assignment_state state{"dc1", 1};
    std::uint64_t index = 0;
    std::uint32_t shards;
    std::unique_ptr<planner> active_planner;
    cluster_view view;
    std::size_t moved = 0;
    std::size_t keys_moved = 0;
    std::size_t delta_bytes = 0; ///< encoded size of the applied commands
    double slowest_plan_ms = 0;

    explicit cluster(std::uint32_t count) : shards(count) {
        planner_options settings;
        settings.ramp = duration::zero();
        active_planner = make_fewest_moves_planner(settings);
        for (int n = 0; n < 10; ++n) {
            view.live_instances.insert("instance-" + std::to_string(n));
        }
    }
    const table& rows() const { return *state.current(); }
    void apply(const command& change) {
        delta_bytes += encode(change).size();
        state.apply(change, ++index);
    }
    void announce(std::size_t n) {
        upstream_row row;
        row.name = "upstream-" + std::to_string(n);
        row.incarnation = 0x123456789abcdef0ULL + n;
        row.service = service_name;
        row.address = "10.0.0.1:8080";
        row.slots = slots;
        row.connections = 120;
        row.condition = upstream_status::active;
        apply(register_upstream{row, shards, {}});
    }
    void settle() {
        moved = keys_moved = delta_bytes = 0;
        slowest_plan_ms = 0;
        for (bool busy = true; busy;) {
            const auto begin = steady_now();
            const auto commands = active_planner->plan(rows(), view, time_point(std::chrono::hours(1)));
            slowest_plan_ms =
                std::max(slowest_plan_ms, static_cast<double>((steady_now() - begin).count()) / 1000);
            busy = !commands.empty();
            for (const auto& it : commands) {
                if (const auto* move = std::get_if<begin_move>(&it)) {
                    moved += move->shards.size();
                    keys_moved += move->hot_keys.size();
                }
                apply(it);
            }
        }
    }
    std::vector<std::size_t> shard_counts() const {
        std::vector<std::size_t> counts(rows().upstreams.size());
        for (const auto& it : rows().services.at(service_name).shards) {
            ++counts.at(it.owner);
        }
        return counts;
    }
};

void require(bool holds, const char* bound) {
    if (!holds) {
        std::printf("MISSED: %s\n", bound);
        failed = true;
    }
}

/// Fewest moves that balance @p total shards over the first @p live owners, given the present counts by
/// owner; any further owners have left.
std::size_t fewest_moves(std::vector<std::size_t> counts, std::size_t live, std::size_t total) {
    counts.resize(std::max(counts.size(), live));
    std::size_t moves = 0;
    for (std::size_t n = live; n < counts.size(); ++n) {
        moves += counts[n];
    }
    const auto low = total / live;
    std::size_t extra = total % live;
    std::size_t surplus = 0;
    for (std::size_t n = 0; n < live; ++n) {
        const bool keeps = counts[n] > low && extra > 0;
        extra -= keeps ? 1 : 0;
        const auto share = low + (keeps ? 1 : 0);
        surplus += counts[n] > share ? counts[n] - share : 0;
    }
    return moves + surplus;
}

void check_balance(const cluster& it, std::size_t live) {
    auto counts = it.shard_counts();
    counts.resize(live);
    const auto [low, high] = std::minmax_element(counts.begin(), counts.end());
    require(static_cast<double>(*high - *low) / slots <= 1, "shards per slot at most one apart");
}

void report_keys(const cluster& it, std::size_t live) {
    std::vector<double> keys(it.rows().upstreams.size());
    const auto& rows = it.rows().services.at(service_name).shards;
    for (std::size_t n = 0; n < key_count; ++n) {
        ++keys.at(rows[shard_of("raft-" + std::to_string(n), it.shards)].owner);
    }
    keys.resize(live);
    const auto [low, high] = std::minmax_element(keys.begin(), keys.end());
    const double mean = static_cast<double>(key_count) / static_cast<double>(live);
    std::printf("  keys per slot against the mean: min %.3f  max %.3f\n", *low / mean, *high / mean);
}

void report_churn(const char* change, const cluster& it, std::size_t fewest) {
    std::printf("  %-6s moved %6zu  fewest %6zu  slowest plan %8.2f ms  deltas %8zu bytes\n", change,
                it.moved, fewest, it.slowest_plan_ms, it.delta_bytes);
    require(static_cast<double>(it.moved) <= 1.1 * static_cast<double>(fewest),
            "moves at most 1.1 times the fewest");
}

void move_hot_keys(cluster& it) {
    // All hot keys on one upstream: the worst case for the limit of ten moves per period.
    for (std::size_t n = 0; it.view.hot_keys.size() < 30; ++n) {
        const auto key = "hot-" + std::to_string(n);
        if (it.rows().services.at(service_name).shards[shard_of(key, it.shards)].owner == 0) {
            it.view.hot_keys.push_back({service_name, key, 1000});
        }
    }
    it.settle();
    std::printf("  hot    moved %6zu shards and %zu of 30 hot keys in one period\n", it.moved, it.keys_moved);
    require(it.moved == 0 && it.keys_moved <= 10, "hot keys move alone, at most 10 in a period");
}

void time_codec(const table& rows) {
    constexpr int rounds = 50;
    std::string bytes;
    std::size_t decoded = 0;
    const auto begin = steady_now();
    for (int n = 0; n < rounds; ++n) {
        bytes = encode(rows);
    }
    const auto middle = steady_now();
    for (int n = 0; n < rounds; ++n) {
        decoded += decode_table(bytes).upstreams.size();
    }
    const auto end = steady_now();
    std::printf("  codec  encode %8.1f us  decode %8.1f us\n",
                static_cast<double>((middle - begin).count()) / rounds,
                static_cast<double>((end - middle).count()) / rounds);
    require(decoded == rounds * rows.upstreams.size(), "every upstream is decoded");
}

void measure(std::size_t upstreams, std::uint32_t shards) {
    std::printf("%zu upstreams, %u shards\n", upstreams, shards);
    cluster it(shards);
    for (std::size_t n = 0; n < upstreams; ++n) {
        it.announce(n);
    }
    it.settle();
    report_churn("form", it, shards);
    check_balance(it, upstreams);
    report_keys(it, upstreams);
    std::printf("  table  %zu bytes after forming\n", encode(it.rows()).size());
    time_codec(it.rows());

    auto before = it.shard_counts();
    it.announce(upstreams);
    it.settle();
    report_churn("join", it, fewest_moves(before, upstreams + 1, shards));
    check_balance(it, upstreams + 1);

    before = it.shard_counts();
    const auto& last = it.rows().upstreams.back();
    it.apply(set_condition{last.name, last.incarnation, upstream_status::lost});
    it.settle();
    report_churn("leave", it, fewest_moves(before, upstreams, shards));
    check_balance(it, upstreams);
    report_keys(it, upstreams);
    move_hot_keys(it);
    std::printf("  table  %zu bytes after join, leave and hot keys\n", encode(it.rows()).size());
}

} // namespace

int main() {
    measure(6, 4096);
    measure(30, 4096);
    measure(1500, 65536);
    return failed ? 1 : 0;
}
