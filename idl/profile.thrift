// Profile changes and the snapshot of the profile store.
namespace cpp kingcupseam.wire

struct ProfileChange {
  1: string name
  2: i64 base_version
  3: string change_id
  4: string content
}

struct AcceptedProfile {
  1: string name
  2: i64 version
  3: string content
  4: string change_id
}

struct ShardCount {
  1: string service_name
  2: i32 shards
}

// Result of a recent change, returned again if the same change is repeated.
struct RememberedChange {
  1: string change_id
  2: i64 digest
  3: i8 status
  4: AcceptedProfile in_force
  5: string problem
}

struct ProfileStore {
  1: list<AcceptedProfile> profiles
  2: list<ShardCount> shard_counts
  3: list<RememberedChange> recent
}
