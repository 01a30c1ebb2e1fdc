#include "router/gate_assignment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
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

} // namespace kingcupseam::router
