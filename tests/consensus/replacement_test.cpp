#include <doctest/doctest.h>

#include <kingcupseam/consensus.h>

using namespace kingcupseam;
using namespace kingcupseam::consensus;
using namespace std::chrono_literals;

namespace {

const time_point now{std::chrono::hours(1)};

member_id id(const std::string& name) {
    return {name, 1};
}

std::vector<member_id> ids(const std::string& names) {
    std::vector<member_id> result;
    for (const char name : names) {
        result.push_back(id(std::string(1, name)));
    }
    return result;
}

/// @param lost members that the leader has not heard from for longer than lost_after
/// @param behind learners that have not caught up
replacement_view view(const std::string& voters, const std::string& learners, const std::string& lost,
                      const std::string& spares, const std::string& behind = "") {
    replacement_view result;
    result.leader = id("a");
    result.members = {ids(voters), ids(learners)};
    for (const char name : voters + learners) {
        const bool silent = lost.find(name) != std::string::npos;
        result.statuses.push_back(
            {id(std::string(1, name)), now - (silent ? 3s : 1s), behind.find(name) == std::string::npos});
    }
    result.spares = ids(spares);
    return result;
}

std::string decision(const replacement_view& seen, std::size_t voters = 3) {
    const auto next = replacement_policy({voters, 2s}).next(seen, now);
    if (!next) {
        return "none";
    }
    static const char* const names[] = {"add ", "promote ", "remove "};
    return names[static_cast<int>(next->kind)] + next->member.name;
}

} // namespace

// Guards against a lost voter that remains a voter, so that the next loss stops the group.
TEST_CASE("a lost voter is replaced one change at a time") {
    SUBCASE("nothing changes while all voters are live") {
        CHECK(decision(view("abc", "", "", "de")) == "none");
    }
    SUBCASE("the first spare becomes a learner") {
        CHECK(decision(view("abc", "", "c", "de")) == "add d");
    }
    SUBCASE("a member is not used as a spare") {
        CHECK(decision(view("abc", "", "c", "abc")) == "none");
    }
    SUBCASE("the learner is promoted only once it has caught up") {
        CHECK(decision(view("abc", "d", "c", "e", "d")) == "none");
        CHECK(decision(view("abc", "d", "c", "e")) == "promote d");
    }
    SUBCASE("the lost voter is removed after the promotion") {
        CHECK(decision(view("abcd", "", "c", "e")) == "remove c");
    }
    SUBCASE("a lost learner is removed before the next spare is added") {
        CHECK(decision(view("abc", "d", "cd", "e")) == "remove d");
        CHECK(decision(view("abc", "", "c", "e")) == "add e");
    }
    SUBCASE("no change is made while another is in progress") {
        auto seen = view("abc", "", "c", "de");
        seen.change_in_progress = true;
        CHECK(decision(seen) == "none");
    }
}

// Guards against a membership change that cannot be committed because too few of the new voters are live.
TEST_CASE("no change is started that could leave the group without a live majority") {
    SUBCASE("without a majority nothing is changed") {
        CHECK(decision(view("abc", "", "bc", "de")) == "none");
    }
    SUBCASE("a removal leaves a live majority") {
        CHECK(decision(view("abcd", "", "cd", "e")) == "none");
        CHECK(decision(view("abcde", "", "de", "f")) == "remove d");
    }
    SUBCASE("a promotion leaves a live majority") {
        CHECK(decision(view("abcde", "f", "de", "", ""), 5) == "promote f");
    }
    SUBCASE("the leader is never removed") {
        CHECK(decision(view("ab", "", "", ""), 1) == "remove b");
    }
}

// Guards against a group that stays too small or too large.
TEST_CASE("voters are added or removed until the configured number is reached") {
    CHECK(decision(view("abc", "", "", "de"), 5) == "add d");
    CHECK(decision(view("abc", "d", "", "e"), 5) == "promote d");
    CHECK(decision(view("abcd", "", "", "e"), 3) == "remove b");
    SUBCASE("a learner that is no longer needed is removed") {
        CHECK(decision(view("abc", "d", "", "e"), 3) == "remove d");
    }
}
