#include <kingcupseam/placement.h>

#include <doctest/doctest.h>

using namespace kingcupseam;
using namespace kingcupseam::placement;

namespace {

const std::string service = "registry";
const time_point start{std::chrono::hours(5)};

constexpr duration s(std::int64_t n) {
    return std::chrono::seconds(n);
}

data_center_assignment make_assignment(std::uint64_t version, std::set<std::uint32_t> shards,
                                       std::map<std::uint32_t, std::uint64_t> releasing = {},
                                       duration hold = s(60)) {
    return {version, {{service, {hold, std::move(shards), std::move(releasing)}}}};
}

} // namespace

// Guards against a data centre that serves shards without a valid hold, or after it.
TEST_CASE("a data centre serves its shards from a contact until the hold expires") {
    placement_holder holder({"a"}, 7, {}, std::nullopt);
    const auto first = holder.poll({}, start);
    REQUIRE(first);
    CHECK_FALSE(holder.poll({}, start + std::chrono::milliseconds(499)));
    SUBCASE("an assignment takes effect once the group has committed it") {
        const auto assignment = holder.on_reply({7, first->number, make_assignment(5, {1, 2})});
        REQUIRE(assignment);
        CHECK_FALSE(holder.may_serve(service, 1, start + s(1)));
        holder.on_committed(*assignment);
        CHECK(holder.may_serve(service, 1, start + s(1)));
        CHECK_FALSE(holder.may_serve(service, 3, start + s(1)));
    }
    SUBCASE("the hold starts at the request, not at the reply or the commit") {
        holder.on_committed(*holder.on_reply({7, first->number, make_assignment(5, {1})}));
        CHECK(holder.serve_until(service) == start + s(60) - drift_margin(s(60)));
        CHECK(holder.may_serve(service, 1, start + s(59)));
        CHECK_FALSE(holder.may_serve(service, 1, start + s(60)));
        const auto second = holder.poll({}, start + s(70));
        CHECK_FALSE(holder.on_reply({7, second->number, {}}));
        CHECK(holder.may_serve(service, 1, start + s(71)));
    }
    SUBCASE("replies to a former leader, unknown replies and repeated ones are ignored") {
        CHECK_FALSE(holder.on_reply({6, first->number, make_assignment(5, {1})}));
        CHECK_FALSE(holder.on_reply({7, first->number + 1, make_assignment(5, {1})}));
        CHECK(holder.on_reply({7, first->number, make_assignment(5, {1})}));
        CHECK_FALSE(holder.on_reply({7, first->number, make_assignment(5, {1})}));
    }
    SUBCASE("a reply that arrives after a later one is ignored") {
        const auto second = holder.poll({}, start + s(1));
        holder.on_committed(*holder.on_reply({7, second->number, make_assignment(6, {2}, {}, s(5))}));
        CHECK_FALSE(holder.on_reply({7, first->number, make_assignment(6, {2}, {}, s(600))}));
        CHECK(holder.serve_until(service) == start + s(6) - drift_margin(s(5)));
    }
    SUBCASE("an assignment older than the committed one is refused") {
        holder.on_committed(make_assignment(6, {2}));
        CHECK_FALSE(holder.on_reply({7, first->number, make_assignment(5, {1})}));
        CHECK_FALSE(holder.last_contact());
    }
    SUBCASE("a reply without an assignment confirms only the one that the request stated") {
        const auto second = holder.poll({}, start + s(1));
        holder.on_committed(make_assignment(6, {2}));
        CHECK_FALSE(holder.on_reply({7, second->number, {}}));
        CHECK_FALSE(holder.last_contact());
    }
}

// Guards against a confirmation while an upstream may still hold a grant of the shard.
TEST_CASE("a release is confirmed once no grant holds the shard") {
    placement_holder holder({"a"}, 7, make_assignment(9, {1}, {{2, 8}, {3, 9}}), start);
    CHECK_FALSE(holder.may_serve(service, 2, start));
    const auto request = holder.poll({{service, {1, 3}}}, start);
    REQUIRE(request->released.size() == 1);
    CHECK(request->released[0] == confirm_release{service, "a", {{2, 8}}});
    // Repeated until a new assignment arrives, so a lost request does no harm.
    CHECK(holder.poll({}, start + s(1))->released[0].begun.size() == 2);
}

// Guards against a hold that is counted again from the election of a new leader.
TEST_CASE("a new leader of a data centre does not extend the hold") {
    SUBCASE("without a known contact it serves nothing") {
        const placement_holder holder({"a"}, 8, make_assignment(5, {1}), std::nullopt);
        CHECK_FALSE(holder.may_serve(service, 1, start));
        CHECK_FALSE(holder.contact_age(start));
    }
    SUBCASE("the observed contact is not later than the real one, whatever the delay of the answer") {
        placement_holder former({"a"}, 7, make_assignment(5, {1}), start);
        contact_observer observer;
        // The query is sent 10 s after the contact and answered 3 s later.
        observer.on_contact_age(start + s(10), *former.contact_age(start + s(13)));
        REQUIRE(observer.last_contact());
        CHECK(*observer.last_contact() < start);
        CHECK(*observer.last_contact() > start - s(4));
        const auto kept = observer.last_contact();
        observer.on_contact_age(start + s(20), *former.contact_age(start + s(29)));
        CHECK(observer.last_contact() == kept);
        const placement_holder next({"a"}, 8, make_assignment(5, {1}), observer.last_contact());
        CHECK(next.serve_until(service) <= former.serve_until(service));
        CHECK(next.may_serve(service, 1, start + s(50)));
    }
}
