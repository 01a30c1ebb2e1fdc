#include <kingcupseam/consensus.h>
#include <kingcupseam/wire.h>

#include <consensus_types.h>

namespace kingcupseam::consensus {

namespace {

std::vector<wire::GroupMember> to_wire(const std::vector<member_id>& list) {
    std::vector<wire::GroupMember> result(list.size());
    for (std::size_t n = 0; n < list.size(); ++n) {
        result[n].name = list[n].name;
        result[n].incarnation = static_cast<std::int64_t>(list[n].incarnation);
    }
    return result;
}

std::vector<member_id> from_wire(const std::vector<wire::GroupMember>& list) {
    std::vector<member_id> result;
    result.reserve(list.size());
    for (const auto& it : list) {
        result.push_back({it.name, static_cast<std::uint64_t>(it.incarnation)});
    }
    return result;
}

} // namespace

std::string encode(const membership& members) {
    wire::GroupMembership value;
    value.voters = to_wire(members.voters);
    value.learners = to_wire(members.learners);
    return wire::to_bytes(value);
}

membership decode_membership(const std::string& bytes) {
    const auto value = wire::parse_exact<wire::GroupMembership>("membership", bytes);
    return {from_wire(value.voters), from_wire(value.learners)};
}

} // namespace kingcupseam::consensus
