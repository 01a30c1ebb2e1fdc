#include <doctest/doctest.h>

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

using namespace kingcupseam;
using profile::change;
using profile::change_status;
using profile::store;

namespace {

std::string content(const std::string& name, const std::string& service, int shards = 16) {
    return "name = \"" + name + "\"\n[[services]]\nname = \"" + service +
           "\"\nshards = " + std::to_string(shards) + "\n[[services.rules]]\nmethod = \"GET\"\npath = \"/" +
           service + "/{key}\"\nrank = \"urgent\"\nruns = \"idempotent\"\n";
}

change edit(std::uint64_t base, const std::string& id, const std::string& comment = "") {
    return {"p", base, id, content("p", "s") + "# " + comment + "\n"};
}

} // namespace

// Guards against an update that is overwritten by a concurrent or resent one.
TEST_CASE("of two changes to the same version one is accepted, and resends get the same results") {
    store profiles;
    REQUIRE(profiles.apply(edit(0, "first")).status == change_status::accepted);
    const auto won = profiles.apply(edit(1, "left", "left"));
    const auto lost = profiles.apply(edit(1, "right", "right"));

    SUBCASE("one is accepted, and the other gets a conflict with the version in force") {
        CHECK(won.status == change_status::accepted);
        CHECK(won.in_force.version == 2);
        CHECK(lost.status == change_status::conflict);
        CHECK(lost.in_force == won.in_force);
        CHECK(profiles.find("p") == won.in_force);
    }
    SUBCASE("both get the same results again when they are resent") {
        CHECK(profiles.apply(edit(1, "left", "left")) == won);
        CHECK(profiles.apply(edit(1, "right", "right")) == lost);
        CHECK(profiles.find("p")->version == 2);
    }
    SUBCASE("a resend after a later change gets its own result and does not revert the later change") {
        const auto later = profiles.apply(edit(2, "later", "later"));
        CHECK(profiles.apply(edit(1, "left", "left")) == won);
        CHECK(profiles.apply(edit(1, "right", "right")) == lost);
        CHECK(profiles.find("p") == later.in_force);
    }
    SUBCASE("a change id that is reused for another change is refused, not taken for a resend") {
        const auto reused = profiles.apply(edit(2, "left", "other"));
        CHECK(reused.status == change_status::invalid);
        CHECK(profiles.find("p")->version == 2);
    }
}

// Guards against accepted profiles that are invalid, contradict another profile or move keys to other shards.
TEST_CASE("an invalid or conflicting change is refused and changes nothing") {
    store profiles;
    profiles.apply({"p", 0, "c1", content("p", "s")});
    const std::string before = profiles.find("p")->content;
    const auto status_of = [&](const change& wanted) { return profiles.apply(wanted).status; };

    SUBCASE("invalid content is refused with the reason") {
        const auto result = profiles.apply({"p", 1, "c2", "name = 1"});
        CHECK(result.status == change_status::invalid);
        CHECK(result.problem.rfind("p: name: ", 0) == 0);
    }
    SUBCASE("content with the name of another profile") {
        CHECK(status_of({"q", 0, "c2", content("p", "t")}) == change_status::invalid);
    }
    SUBCASE("a service or a path that belongs to another profile") {
        CHECK(status_of({"q", 0, "c2", content("q", "s")}) == change_status::invalid);
        std::string same_path = content("q", "t");
        same_path.replace(same_path.find("/t/"), 3, "/s/");
        CHECK(status_of({"q", 0, "c3", same_path}) == change_status::invalid);
        CHECK(status_of({"q", 0, "c4", content("q", "t")}) == change_status::accepted);
    }
    SUBCASE("a changed number of shards, which would move keys to other shards") {
        CHECK(status_of({"p", 1, "c2", content("p", "s", 32)}) == change_status::invalid);
        SUBCASE("also when the service was removed in between") {
            CHECK(status_of({"p", 1, "c3", content("p", "other")}) == change_status::accepted);
            CHECK(status_of({"p", 2, "c4", content("p", "s", 32)}) == change_status::invalid);
            CHECK(status_of({"p", 2, "c5", content("p", "s", 16)}) == change_status::accepted);
        }
        CHECK(profiles.find("p")->version != 0);
    }
    SUBCASE("a base version that does not exist yet, or of a profile that does not exist") {
        CHECK(status_of({"p", 9, "c2", content("p", "s")}) == change_status::conflict);
        const auto missing = profiles.apply({"q", 1, "c3", content("q", "t")});
        CHECK(missing.status == change_status::conflict);
        CHECK(missing.in_force.version == 0);
    }
    SUBCASE("a change id that is empty, too long or not visible ASCII") {
        for (const auto& id :
             {std::string(), std::string(65, 'x'), std::string("a b"), std::string("\x80")}) {
            CHECK(status_of({"p", 1, id, before}) == change_status::invalid);
        }
    }
    if (profiles.find("p")->version == 1) {
        CHECK(profiles.find("p")->content == before);
    }
}

// Guards against a snapshot that loses profiles or remembered changes, grows without limit, or makes a
// replica differ from the others.
TEST_CASE("a store decoded from its snapshot equals the original after hundreds of changes") {
    store profiles;
    for (std::uint64_t n = 0; n < 1500; ++n) {
        REQUIRE(profiles.apply(edit(n, "id" + std::to_string(n))).status == change_status::accepted);
    }
    store restored = store::decode(profiles.encode());
    CHECK(restored.all() == profiles.all());
    CHECK(restored.find("p")->version == 1500);
    CHECK(restored.encode() == profiles.encode());

    SUBCASE("it recognizes resent changes and keeps the shard counts") {
        CHECK(restored.apply(edit(1499, "id1499")).status == change_status::accepted);
        CHECK(restored.apply({"p", 1500, "x", content("p", "s", 99)}).status == change_status::invalid);
        CHECK(restored.find("p")->version == 1500);
    }
    SUBCASE("a change older than the last 1,024 is a conflict when resent, and is never applied again") {
        CHECK(restored.apply(edit(1500 - 1024, "id" + std::to_string(1500 - 1024))).status ==
              change_status::accepted);
        CHECK(restored.apply(edit(1, "id1")).status == change_status::conflict);
        CHECK(restored.find("p")->version == 1500);
    }
    SUBCASE("its encoding stays small, since accepted contents are not kept twice") {
        CHECK(profiles.encode().size() < 200'000);
    }
    SUBCASE("a replica restored from a snapshot stays equal when both apply the same change") {
        const change next = edit(1500, "next");
        profiles.apply(next);
        restored.apply(next);
        CHECK(restored.encode() == profiles.encode());
    }
}

// Guards against truncated or extended bytes of a change or a snapshot that are accepted.
TEST_CASE("encoded changes and snapshots are decoded, and damaged ones are refused") {
    const change wanted{"p", 7, "id", std::string("a\0b", 3)};
    const std::string bytes = profile::encode(wanted);
    CHECK(profile::decode_change(bytes) == wanted);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_THROWS_AS(profile::decode_change(bytes.substr(0, n)), invalid_input);
    }
    CHECK_THROWS_AS(profile::decode_change(bytes + "x"), invalid_input);

    store profiles;
    profiles.apply(edit(0, "a"));
    profiles.apply(edit(0, "b"));
    const std::string whole = profiles.encode();
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CHECK_THROWS_AS(store::decode(whole.substr(0, n)), invalid_input);
    }
    CHECK_THROWS_AS(store::decode(whole + "x"), invalid_input);
}
