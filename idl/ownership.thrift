// Routing table of a data centre and the commands that change it. Unsigned values are encoded in the signed type of
// the same width. Indexes of upstreams are encoded plus one: zero is "no upstream", the most frequent value.
namespace cpp kingcupseam.wire

struct UpstreamRow {
  1: string name
  2: i64 incarnation
  3: string service_name
  4: string address
  5: i32 slots
  6: i32 connections
  7: bool checks_grants
  8: i8 condition
  9: string gate
  10: string standby
  11: i64 epoch
  12: i64 version
}

// One run of a run-length encoded column: a value of consecutive shards. A count of one is omitted.
struct Run {
  1: i64 value
  2: optional i32 count
}

struct HotKeyRow {
  1: string key
  2: i64 owner
  3: i64 target
  4: i64 epoch
}

// Columns over the shards. Each is run-length encoded separately, because owners vary far more from shard to shard
// than the other columns.
struct ServiceRows {
  1: string name
  2: i32 shards
  3: list<Run> owners
  4: list<Run> targets
  5: list<Run> epochs
  6: list<HotKeyRow> hot_keys
}

struct LedgerGroup {
  1: list<string> replicas
  // Instances that copy the ledger windows and do not count as replicas yet.
  2: list<string> joining
  // Unix time at which the group was reset because a majority of its windows was lost; 0 if never.
  3: i64 reset_ms
}

struct Table {
  1: string data_center
  2: i64 generation
  3: i64 version
  4: list<UpstreamRow> upstreams
  5: list<ServiceRows> services
  6: list<LedgerGroup> ledger_groups
}

// Lists of shards in the commands are delta-encoded; they are mostly ascending.

struct RegisterUpstream {
  1: UpstreamRow row
  // Number of shards of the service.
  2: i32 shards
  // Shards of the service that are placed in this data centre; empty if all are.
  3: list<i32> homes
}

struct SetCondition {
  1: string upstream
  2: i64 incarnation
  3: i8 condition
  // Highest epoch that the observer of the condition knew: the command is ignored if the row has a higher one. 0 for
  // any epoch.
  4: i64 observed
}

struct SetGate {
  1: string upstream
  2: string gate
  3: string standby
}

// begin_move marks the shards and hot keys as moving; they keep their owner until complete_move.
struct Move {
  1: string service_name
  2: list<i32> shards
  3: list<string> hot_keys
  4: string to
}

// Sets which shards of the service are placed in this data centre.
struct SetHomes {
  1: string service_name
  2: list<i32> shards
}

struct SetLedgerGroup {
  1: i32 group
  2: LedgerGroup replicas
}

// Exactly one field is set.
struct OwnershipCommand {
  1: optional RegisterUpstream register_upstream
  2: optional SetCondition set_condition
  3: optional SetGate set_gate
  4: optional Move begin_move
  5: optional Move complete_move
  6: optional SetHomes set_homes
  7: optional SetLedgerGroup set_ledger_group
}
