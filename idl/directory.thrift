// The replicated directory: the operators' configuration, the registered upstreams and the owners of key
// ranges. Stored in the log and snapshots of the control instances and sent to the entry instances. Field numbers
// are never reused.
namespace cpp kingcupseam.wire

struct WeightedService {
  1: string service_name
  2: double weight
}

struct Route {
  1: string name
  2: string host
  3: string path_prefix
  4: bool at_most_once
  5: i64 timeout_ms
  6: i64 target_latency_ms
  7: i32 priority
  8: i32 attempts
  9: list<WeightedService> targets
}

struct RoutedService {
  1: string name
  2: string health_path
  3: i32 max_connections
  4: bool key_ranges
  5: i64 warm_up_ms
}

struct CallerLimits {
  1: i64 max_header_bytes
  2: i64 max_body_bytes
  3: i64 header_timeout_ms
  4: i64 idle_timeout_ms
}

struct Configuration {
  1: i64 version
  2: list<Route> routes
  3: list<RoutedService> services
  4: CallerLimits limits
  5: binary document
}

struct RegisteredUpstream {
  1: string id
  2: i64 started_ms
  3: string service_name
  4: string data_center
  5: string address
  6: i32 slots
  7: bool draining
  // Has announced that it ends; it may serve for a few more seconds.
  8: bool left
}

// Keys first to last, both included. epoch is the log index of the assignment.
struct KeyRange {
  1: string service_name
  2: i32 first
  3: i32 last
  4: string upstream
  5: i64 upstream_started_ms
  6: i64 epoch
}

struct RangeAssignment {
  1: string service_name
  2: i32 first
  3: i32 last
  4: string upstream
  5: i64 upstream_started_ms
}

// One log entry. The fields that are set are applied in this order.
struct DirectoryCommand {
  1: optional Configuration configuration
  2: list<RegisteredUpstream> upstreams
  3: list<string> removed_upstreams
  4: list<RangeAssignment> assignments
  // Gives every range the epoch of this command and joins adjacent ranges of one owner.
  5: bool renumber_epochs
}

// Names a range by its first key.
struct RangeStart {
  1: string service_name
  2: i32 first
}

// The whole directory if base is 0, else the difference from the directory at log index base.
struct DirectoryUpdate {
  1: i64 index
  2: i64 base
  3: optional Configuration configuration
  4: list<string> removed_routes
  5: list<RegisteredUpstream> upstreams
  6: list<string> removed_upstreams
  7: list<KeyRange> ranges
  8: list<RangeStart> removed_ranges
}

struct DirectorySubscribe {
  1: i64 known_index
  // Understands directory_update_compressed.
  2: bool expands
  // Different for each subscription of a sender; 0 if it does not expect directory_subscribed. That frame repeats the
  // number and precedes the updates of the subscription: those before it belong to an earlier one. Its known_index is
  // the control instance's: the updates up to it follow at once, and the directory is outdated before.
  3: i64 subscription
  // Ends the subscription. known_index is then the highest number: an earlier release sends nothing before it.
  4: bool ends
}

struct EntryInstance {
  1: string name
  2: string data_center
}

// A poison request: a request that was in progress at upstreams that crashed.
struct WatchedRequest {
  1: i64 digest
  // Not sent to upstreams any more.
  2: bool refused
}

// What an upstream stated about the requests per second that it accepts from all instances together.
struct UpstreamLimit {
  1: string upstream
  2: i64 upstream_started_ms
  // Not set once it no longer limits them.
  3: optional double max_rate
  // Time since the answer that stated it; 0 in a status.
  4: i64 age_us
}

struct ControlStatus {
  1: bool leads
  2: i64 term
  3: list<string> control_instances
  5: list<EntryInstance> entries
  6: list<WatchedRequest> watched
  7: list<UpstreamLimit> limits
  // Sends directory_subscribed.
  8: bool confirms_subscriptions
  // Hears from the leader: what this control instance holds follows the changes.
  9: bool follows
}

// Sent to control instances by entry instances and by other control instances.
struct JoinRequest {
  // True from a control instance, which may become a voter.
  1: bool wants_vote
  2: bool leaving
  // Control instance that leads, as far as the sender, a control instance, knows; empty if it knows none.
  3: string leader
  4: i64 leader_term
  // Time since the sender heard of it.
  5: i64 leader_age_ms
  // Takes control_status_compressed.
  6: bool expands
}

struct KeyDemand {
  1: string service_name
  2: i32 key
  3: i32 requests
}

struct UpstreamLoad {
  1: string upstream
  2: i32 answers
  3: i64 service_time_us
}

struct LeavingUpstream {
  1: string upstream
  2: i64 upstream_started_ms
}

// A request that was in progress at an upstream when the upstream crashed.
struct CrashedRequest {
  1: i64 digest
  2: string upstream
  3: i64 upstream_started_ms
}

struct LoadReport {
  1: list<KeyDemand> keys
  2: list<UpstreamLoad> upstreams
  3: list<CrashedRequest> crashed
  // Digests of listed poison requests that an upstream answered.
  4: list<i64> survived
  5: list<UpstreamLimit> limits
  // Upstreams that said in an answer that they are about to stop.
  6: list<LeavingUpstream> leaving
  // Log index of the directory that the entry holds.
  7: i64 held_index
}

// A request of an operator or an upstream that only the leader can serve, forwarded by the control instance that
// received it. src/router/control_orders.h lists the kinds.
struct ControlOrder {
  1: i8 kind
  2: binary payload
}

struct ControlOrderReply {
  1: bool accepted
  2: binary payload
}

struct UpstreamAnnouncement {
  1: RegisteredUpstream upstream
  2: i64 sequence
  3: i64 warm_up_left_ms
}
