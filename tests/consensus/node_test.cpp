#include "checker.h"

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::consensus;
using namespace std::chrono_literals;
using kingcupseam::test::checker;
using kingcupseam::test::violation;

namespace {

const member_id a{"a", 1};
const member_id b{"b", 2};
const member_id c{"c", 3};

time_point at(duration offset) {
    return time_point(std::chrono::hours(1)) + offset;
}

options settings_of(const member_id& self) {
    options result;
    result.group = 7;
    result.self = self;
    return result;
}

std::unique_ptr<storage::log_store> voter_store(const membership& members) {
    auto store = storage::make_memory_log_store(1);
    node::bootstrap(*store, members);
    return store;
}

message find_message(const effects& out, const member_id& to, message_kind kind) {
    for (const message& m : out.messages) {
        if (m.to == to && m.kind == kind) {
            return m;
        }
    }
    FAIL("expected message is missing");
    return {};
}

/// Two candidates of one term ask voter c for its vote; c restarts between their requests.
/// @param persisted whether c's term and vote survive the restart
void elect_during_restart(checker& checks, bool persisted) {
    const membership members{{a, b, c}, {}};
    const auto store_a = voter_store(members);
    const auto store_b = voter_store(members);
    const auto store_c = voter_store(members);
    node node_a(settings_of(a), *store_a, at(0ms));
    node node_b(settings_of(b), *store_b, at(0ms));
    std::optional<node> node_c(std::in_place, settings_of(c), *store_c, at(0ms));

    const auto become_candidate = [&](node& candidate, const member_id& self) {
        const auto request = find_message(candidate.tick(at(500ms)), c, message_kind::pre_vote_request);
        const auto reply =
            find_message(node_c->receive(request, at(500ms)), self, message_kind::pre_vote_reply);
        return find_message(candidate.receive(reply, at(500ms)), c, message_kind::vote_request);
    };
    const message request_a = become_candidate(node_a, a);
    const message request_b = become_candidate(node_b, b);
    node_a.receive(find_message(node_c->receive(request_a, at(501ms)), a, message_kind::vote_reply),
                   at(502ms));
    REQUIRE(node_a.current_role() == role::leader);
    checks.on_leader(a, node_a.term(), *store_a);

    if (!persisted) {
        store_c->save_hard_state({1, ""});
    }
    node_c.emplace(settings_of(c), *store_c, at(510ms));
    node_b.receive(find_message(node_c->receive(request_b, at(800ms)), b, message_kind::vote_reply),
                   at(801ms));
    if (node_b.current_role() == role::leader) {
        checks.on_leader(b, node_b.term(), *store_b);
    }
}

effects elect_single_voter(node& it) {
    effects out = it.tick(at(1s));
    REQUIRE(it.current_role() == role::leader);
    return out;
}

} // namespace

// Guards against two leaders in one term.
TEST_CASE("a voter keeps its vote across a restart") {
    checker checks;
    elect_during_restart(checks, true);
    CHECK(checks.clean());
}

TEST_CASE("the checker detects two leaders elected by a vote that was not persisted") {
    checker checks;
    elect_during_restart(checks, false);
    CHECK(checks.found(violation::two_leaders_in_term));
}

// Guards against a group that waits for replies although it has no other voter.
TEST_CASE("a group with one voter commits at once and has a lease") {
    const auto store = voter_store({{a}, {}});
    node it(settings_of(a), *store, at(0ms));
    CHECK(it.leadership_valid_until() == time_point{});
    CHECK(elect_single_voter(it).committed.size() == 2); // the initial membership and the no-op
    CHECK(it.leadership_valid_until() == at(1s + 180ms));
    effects out;
    const auto index = it.propose("x", at(1s), out);
    REQUIRE(out.committed.size() == 1);
    CHECK(out.committed.front().index == index);
    CHECK(out.committed.front().data == "x");
}

// Guards against taking over a term or entries from another group, for another incarnation, or from malformed
// messages.
TEST_CASE("messages for another member and malformed messages are ignored") {
    const auto store = voter_store({{a, b}, {}});
    node it(settings_of(a), *store, at(0ms));
    message m;
    m.kind = message_kind::append_request;
    m.group = 7;
    m.from = b;
    m.to = a;
    m.term = 5;
    SUBCASE("another group or generation") {
        m.group = 8;
    }
    SUBCASE("an earlier incarnation of this instance") {
        m.to.incarnation = 9;
    }
    SUBCASE("a gap between the entries") {
        m.entries = {{3, 5, storage::entry_kind::command, "x"}};
    }
    SUBCASE("a malformed membership") {
        m.entries = {{1, 5, storage::entry_kind::membership, "x"}};
    }
    CHECK(it.receive(m, at(10ms)).messages.empty());
    CHECK(it.term() == 1);
    CHECK_FALSE(it.leader().has_value());
}

// Guards against commands that a follower accepts, and against membership changes that do not apply to the
// group.
TEST_CASE("only the leader accepts commands and membership changes, and it rejects invalid changes") {
    const auto store = voter_store({{a}, {}});
    node it(settings_of(a), *store, at(0ms));
    effects out;
    CHECK_THROWS_AS(it.propose("x", at(0ms), out), not_leader);
    CHECK_THROWS_AS(it.change_membership({change_kind::add_learner, b}, at(0ms), out), not_leader);
    elect_single_voter(it);
    CHECK_THROWS_AS(it.change_membership({change_kind::promote, b}, at(1s), out), change_refused);
    CHECK_THROWS_AS(it.change_membership({change_kind::remove, b}, at(1s), out), change_refused);
    CHECK_THROWS_AS(it.change_membership({change_kind::remove, a}, at(1s), out), change_refused);
    it.change_membership({change_kind::add_learner, b}, at(1s), out);
    CHECK_FALSE(it.change_in_progress());
    CHECK_THROWS_AS(it.change_membership({change_kind::add_learner, b}, at(1s), out), change_refused);
    CHECK_THROWS_AS(it.change_membership({change_kind::promote, b}, at(1s), out),
                    change_refused); // b has no entries yet
}

// Guards against a leader that is cut off and remains leader.
TEST_CASE("a leader without a quorum steps down within an election timeout") {
    const auto store = voter_store({{a, b, c}, {}});
    node it(settings_of(a), *store, at(0ms));
    auto request = find_message(it.tick(at(500ms)), b, message_kind::pre_vote_request);
    message reply = request;
    reply.from = b;
    reply.to = a;
    reply.accepted = true;
    reply.kind = message_kind::pre_vote_reply;
    it.receive(reply, at(500ms));
    reply.kind = message_kind::vote_reply;
    it.receive(reply, at(500ms));
    REQUIRE(it.current_role() == role::leader);
    CHECK(it.leadership_valid_until() == time_point{}); // no heartbeat round is confirmed yet
    it.tick(at(699ms));
    CHECK(it.current_role() == role::leader);
    it.tick(at(700ms));
    CHECK(it.current_role() == role::follower);
}

// Guards against damaged bytes that are read as another membership.
TEST_CASE("an encoded membership decodes to itself, and damaged bytes are refused") {
    const membership members{{a, b}, {c}};
    const std::string bytes = encode(members);
    CHECK(decode_membership(bytes) == members);
    CHECK(decode_membership(encode({})) == membership{});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_THROWS_AS(decode_membership(bytes.substr(0, n)), invalid_input);
    }
    CHECK_THROWS_AS(decode_membership(bytes + "x"), invalid_input);
}

// Guards against a snapshot that covers entries that are not applied, or that loses the membership.
TEST_CASE("compaction keeps the membership and only accepts applied entries") {
    const auto store = voter_store({{a}, {}});
    {
        node it(settings_of(a), *store, at(0ms));
        elect_single_voter(it);
        effects out;
        const auto index = it.propose("x", at(1s), out);
        CHECK_THROWS_AS(it.compact(index + 1, "state"), invalid_input);
        it.compact(index, "state");
        CHECK_THROWS_AS(it.compact(index, "state"), invalid_input);
    }
    node again(settings_of(a), *store, at(2s));
    CHECK(again.members() == membership{{a}, {}});
    const effects out = again.tick(at(2s));
    REQUIRE(out.install.has_value());
    CHECK(out.install->data == "state");
}
