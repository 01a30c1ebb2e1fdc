// Callers' requests that one entry forwards to another entry, which is the gate of the upstream. Field numbers are
// never reused.
namespace cpp kingcupseam.wire

struct RoutedHeader {
  1: string name
  2: string value
}

struct RoutedRequest {
  1: string service_name
  2: bool at_most_once
  3: i32 priority
  4: i32 attempts
  // Time left until the caller's or the route's deadline, whichever is earlier.
  5: i64 left_us
  // Time left until the target latency is reached; negative once it has passed.
  6: i64 target_left_us
  7: string request_id
  8: string method
  9: string target
  10: string host
  // -1 for a request without a key.
  11: i32 key
  12: list<RoutedHeader> headers
  13: binary body
  // Number of entries that have forwarded the request, including the one that received it from the caller.
  14: i32 hops
  // Set aside for the way of the answer back, in milliseconds: a request that waits is refused so long before its deadline.
  15: i32 answer_ms
  // The sender's clock, in eighths of a millisecond modulo 2^20, to tell by how much the request was held up on the link.
  16: optional i32 stamp
}

struct RoutedReply {
  // False if the gate did not accept the request: it has not run and may be sent by another path.
  1: bool taken
  2: i32 status
  3: list<RoutedHeader> headers
  4: binary body
  // Time from the arrival of the request at the gate to this reply.
  5: i64 handled_us
  // Incarnation of the upstream that gave the answer; an empty id for an answer of the gate itself.
  6: string upstream_id
  7: i64 upstream_started_ms
  // Bytes of the body that were sent before, in parts. If not all of them have arrived, the answer is lost.
  8: optional i64 body_bytes_before
  // True if the request may have run and its answer cannot be sent.
  9: optional bool lost
}

// The next bytes of the body of a long answer, to the request with this correlation number on the same link. The last
// ones come in RoutedReply.
struct RoutedReplyPart {
  1: i64 correlation
  2: binary bytes
}

// Cancels the request that was sent with this correlation number on the same link.
struct RoutedCancel {
  1: i64 correlation
  // As in RoutedRequest. The first frame on a link cancels nothing (0): later requests are compared with its stamp.
  2: optional i32 stamp
}
