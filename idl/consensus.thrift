// Membership of a replicated group, as stored in its log entries and snapshots.
namespace cpp kingcupseam.wire

struct GroupMember {
  1: string name
  2: i64 incarnation
}

struct GroupMembership {
  1: list<GroupMember> voters
  2: list<GroupMember> learners
}
