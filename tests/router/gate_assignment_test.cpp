#include "router/gate_assignment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

std::vector<entry_instance> make_entries(const std::string& data_center, int n) {
    std::vector<entry_instance> result;
    result.reserve(n);
    for (int i = 0; i < n; ++i) {
        result.push_back({data_center + std::to_string(i) + ":7000", data_center});
    }
    return result;
}

std::vector<directory::upstream> make_upstreams(const std::string& data_center, int n) {
    std::vector<directory::upstream> result;
    result.reserve(n);
    for (int i = 0; i < n; ++i) {
        const std::string id = data_center + "-u" + std::to_string(i);
        result.push_back({{id, 1}, "s", data_center, {"127.0.0.1", 1}, 2, false, false});
    }
    return result;
}

std::vector<const directory::upstream*> pointers_to(const std::vector<directory::upstream>& upstreams) {
    std::vector<const directory::upstream*> result;
    result.reserve(upstreams.size());
    for (const auto& it : upstreams) {
        result.push_back(&it);
    }
    return result;
}

/// Processor time of this thread, which does not count the load of the machine.
duration thread_time() {
    timespec result{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &result);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(result.tv_sec) +
                                                std::chrono::nanoseconds(result.tv_nsec));
}

} // namespace

// Guards against an entry whose narrow link carries the answers of many more upstreams than those of other
// entries: with hashing alone, one of 22 entries was the gate of 8 of 79 upstreams, and its link was full at
// the mean load.
TEST_CASE("no entry is the gate of more than its share of a data centre's upstreams") {
    auto entries = make_entries("north", 22);
    for (const auto& it : make_entries("south", 3)) {
        entries.push_back(it);
    }
    const auto upstreams = make_upstreams("north", 79);
    gate_assignment under_test;
    under_test.set_entries(entries);
    under_test.set_upstreams(pointers_to(upstreams));
    std::map<std::string, std::string> before; // gate by upstream
    std::map<std::string, int> loads;          // upstreams by gate
    for (const auto& it : upstreams) {
        const auto& gates = under_test.gates_of(it);
        REQUIRE(gates.size() == 2);
        CHECK(gates.front().starts_with("north"));
        CHECK(gates.front() != gates.back());
        before[it.incarnation.id] = gates.front();
        ++loads[gates.front()];
    }
    for (const auto& it : loads) {
        CAPTURE(it.first);
        CHECK(it.second <= 4); // 79 upstreams, 22 entries
    }
    const auto count_moved = [&](const std::vector<directory::upstream>& kept) {
        return std::count_if(kept.begin(), kept.end(), [&](const auto& it) {
            return under_test.gates_of(it).front() != before.at(it.incarnation.id);
        });
    };

    SUBCASE("and entries that know the same agree") {
        std::reverse(entries.begin(), entries.end());
        gate_assignment other;
        other.set_entries(entries);
        auto reversed = pointers_to(upstreams);
        std::reverse(reversed.begin(), reversed.end());
        other.set_upstreams(reversed);
        for (const auto& it : upstreams) {
            CHECK(other.gates_of(it) == under_test.gates_of(it));
        }
    }
    SUBCASE("a lost entry moves few upstreams of other entries") {
        const auto lost = entries.front().name;
        entries.erase(entries.begin());
        CHECK(under_test.set_entries(entries));
        CHECK_FALSE(under_test.set_entries(entries));
        CHECK(count_moved(upstreams) <= loads[lost] + 8);
    }
    SUBCASE("a lost upstream moves few others") {
        const std::vector<directory::upstream> kept(upstreams.begin() + 1, upstreams.end());
        under_test.set_upstreams(pointers_to(kept));
        CHECK(count_moved(kept) <= 8);
    }
    SUBCASE("an upstream that is not listed yet has a gate as well") {
        CHECK(under_test.gates_of(make_upstreams("north", 80).back()).size() == 2);
    }
    SUBCASE("an upstream of a data centre without entries has none") {
        CHECK(under_test.gates_of(make_upstreams("west", 1).front()).empty());
    }
}

// Guards against entries that disagree on gates because they heard of the same changes in another order.
TEST_CASE("the gates depend on the entries and upstreams, not on the changes that led to them") {
    std::minstd_rand random(20);
    const auto all_entries = make_entries("north", 30);
    const auto all_upstreams = make_upstreams("north", 90);
    const auto chance = [&](int percent) { return std::uniform_int_distribution<>(0, 99)(random) < percent; };
    gate_assignment changed;
    for (int round = 0; round < 60; ++round) {
        CAPTURE(round);
        std::vector<entry_instance> entries;
        std::copy_if(all_entries.begin(), all_entries.end(), std::back_inserter(entries),
                     [&](const auto&) { return chance(80); });
        std::vector<directory::upstream> upstreams;
        std::copy_if(all_upstreams.begin(), all_upstreams.end(), std::back_inserter(upstreams),
                     [&](const auto&) { return chance(70); });
        gate_assignment fresh;
        for (gate_assignment* it : {&changed, &fresh}) {
            it->set_entries(entries);
            it->set_upstreams(pointers_to(upstreams));
        }
        for (const auto& it : upstreams) {
            REQUIRE(changed.gates_of(it) == fresh.gates_of(it));
        }
    }
}

// Guards against an entry of a tenth of a core that falls behind the directory while upstreams come and go:
// each change of 988 upstreams took it 0.3 s.
TEST_CASE("a change of one upstream among hundreds of entries takes an entry little processor time") {
    constexpr duration max_time = std::chrono::milliseconds(1); // 10 ms of a tenth of a core
    std::vector<entry_instance> entries;
    std::vector<directory::upstream> upstreams;
    for (const std::string data_center : {"a", "b", "c", "d", "e"}) {
        for (const auto& it : make_entries(data_center, 57)) {
            entries.push_back(it);
        }
        for (const auto& it : make_upstreams(data_center, 198)) {
            upstreams.push_back(it);
        }
    }
    gate_assignment it;
    it.set_entries(entries);
    auto listed = pointers_to(upstreams);
    it.set_upstreams(listed);
    it.gates_of(upstreams.front());
    std::vector<duration> times;
    for (int n = 0; n < 21; ++n) {
        listed.pop_back();
        const auto begun = thread_time();
        it.set_upstreams(listed);
        it.gates_of(upstreams.front());
        it.gates_of(*listed.back());
        times.push_back(thread_time() - begun);
    }
    std::nth_element(times.begin(), times.begin() + 10, times.end());
    CHECK(times[10] <= max_time);
}

} // namespace kingcupseam::router
