// Payloads of the frames that instances exchange; docs/protocol.md specifies the frames. Field numbers are never
// reused. Times are in microseconds unless the field name gives another unit.
namespace cpp kingcupseam.wire

struct Hello {
  1: string instance
  2: i64 incarnation
  3: string data_center
  4: i32 protocol_version
  // If set, all bytes after this message in the same direction form one zlib stream.
  5: bool compressed
}

struct Heartbeat {
  1: i64 sent_us
}

struct HeaderField {
  1: string name
  2: string value
}

struct ForwardRequest {
  1: string request_id
  2: string service_name
  3: i32 shard
  4: string key
  5: i8 rank
  6: bool at_most_once
  7: string method
  8: string target
  9: list<HeaderField> headers
  10: binary body
  11: i64 deadline_us
  12: string upstream
  13: i64 epoch
  // The receiver is the standby of the upstream, not its gate.
  14: bool to_standby
  15: string idempotency_key
}

struct ForwardResponse {
  1: i8 outcome
  2: i8 reason
  3: i32 status
  4: list<HeaderField> headers
  5: binary body
  6: i32 retry_after_ms
}

struct CancelRequest {
  1: string request_id
  2: string upstream
}

struct LedgerRecord {
  1: string service_name
  2: i32 shard
  3: string idempotency_key
  4: i64 epoch
  5: i8 state
  6: i32 status
  7: binary answer
  8: string request_digest
  9: i64 attempt
}

struct LedgerRecordReply {
  1: bool accepted
  2: i64 sealed_epoch
  3: optional LedgerRecord existing
}

// Fences the ledger of a shard: records of lower epochs are refused afterwards.
struct LedgerSeal {
  1: string service_name
  2: i32 shard
  3: i64 epoch
}

struct LedgerSealReply {
  1: bool accepted
  2: i64 sealed_epoch
  3: list<LedgerRecord> window
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: i8 kind
  4: binary data
}

struct Snapshot {
  1: i64 index
  2: i64 term
  3: binary membership
  4: binary data
}

struct Member {
  1: string name
  2: i64 incarnation
}

// Encodes consensus::message of include/kingcupseam/consensus.h, which documents the fields.
struct ConsensusMessage {
  1: i8 kind
  2: i64 group
  3: Member sender
  4: Member receiver
  5: i64 term
  6: i64 last_index
  7: i64 last_term
  8: i64 commit_index
  9: list<LogEntry> entries
  10: optional Snapshot state
  11: bool accepted
  12: i64 match_index
  13: i64 round
  14: bool provisional
}

struct MembershipChange {
  1: string name
  2: i64 incarnation
  3: i8 status
  4: i32 version
  5: string address
}

struct MembershipProbe {
  1: i8 kind
  2: i64 sequence
  3: Member sender
  4: Member subject
  5: string address
  6: list<MembershipChange> changes
}

struct Announce {
  1: string name
  2: string service_name
  3: string address
  4: i32 slots
  5: i32 connections
  6: bool checks_grants
  7: bool draining
  8: i64 incarnation
}

struct KeyLoad {
  1: string service_name
  2: string key
  3: double requests_per_second
}

struct UpstreamReport {
  1: string name
  2: i64 incarnation
  3: i8 health
  4: i64 lease_left_us
  5: i64 granted_version
  6: i32 in_flight
}

struct InstanceInfo {
  1: string name
  2: i64 incarnation
  3: string data_center
  4: string address
  5: bool left
}

struct GateLeaseRequest {
  1: InstanceInfo gate
  2: i64 sequence
  3: i64 generation
  4: i64 table_version
  5: list<UpstreamReport> reports
  6: bool stopping
  7: list<KeyLoad> hot_keys
  8: i64 applied_epoch
  9: list<i32> installed_ledger_groups
}

struct GateLeaseReply {
  1: bool granted
  2: i64 sequence
  3: i64 lease_us
  4: string leader
  5: i64 generation
}

struct TableUpdate {
  1: string data_center
  2: i64 generation
  3: i64 version
  4: binary table
}

struct TableRequest {
  1: string data_center
  2: i64 known_generation
  3: i64 known_version
}

struct StateRequest {
  1: i64 known_version
  2: InstanceInfo sender
  // Number of instances that the sender knows, itself included. The reply lists the instances if its sender knows more.
  3: i64 known_instances
  // The sender has had no lease from a leader of its data centre's group for some time.
  4: bool ungrouped
  5: i64 generation
  6: i32 data_center_size
}

struct StateReply {
  1: i64 version
  2: binary state
  3: string leader
  4: list<InstanceInfo> instances
  // The sender leads the global group.
  5: bool authoritative
}

struct VoterStatusRequest {
  1: string sender
}

struct VoterStatusReply {
  // Random number of the sender's stored log, another one after the loss of its disk; 0 if it has no log.
  1: i64 identity
  // The log is not empty: the global group has been formed.
  2: bool formed
}

struct CommandRequest {
  1: binary command
}

struct CommandReply {
  1: bool committed
  2: string leader
  3: binary result
}

// State of a poison request.
struct SuspectUpdate {
  1: string request_digest
  2: i32 crashes
  // The request ran alone since the last crash and runs normally until the next one.
  3: bool survived
  4: i64 remaining_ms
}

struct Saturation {
  1: string service_name
  2: i8 rank
  3: bool saturated
  4: string upstream
}
