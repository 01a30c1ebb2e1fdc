#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::ledger {

enum class record_state : std::uint8_t { absent, begun, answered, not_run };

struct record {
    std::string service;
    std::uint32_t shard = 0;
    std::string key;           ///< idempotency key of the request
    std::uint64_t epoch = 0;   ///< epoch of the gate that began the attempt
    std::uint64_t attempt = 0; ///< set by the writer; orders the attempts of one key within an epoch
    record_state state = record_state::begun;
    int status = 0;     ///< HTTP status of a recorded answer
    std::string answer; ///< body and content type of a recorded answer, bounded by max_answer_bytes
    std::string digest; ///< method, target and body hash: the same key with another request is refused
    auto operator<=>(const record&) const = default;
};

struct replica_options {
    std::size_t max_records = 200'000;
    std::size_t max_answer_bytes = std::size_t{16} * 1024;
    std::size_t max_total_bytes = std::size_t{32} * 1024 * 1024;
    duration retention = std::chrono::minutes(10);
};

struct write_result {
    bool accepted = false;
    std::uint64_t fenced_epoch = 0;
    std::optional<record> existing; ///< what the replica already held for the key
};

struct fence_result {
    bool accepted = false;
    std::uint64_t fenced_epoch = 0;
    std::vector<record> window;
};

/// What one replica holds of a shard.
struct shard_window {
    std::string service;
    std::uint32_t shard = 0;
    std::uint64_t fenced_epoch = 0;
    std::vector<record> records;
    bool operator==(const shard_window&) const = default;
};

/// How a replica starts.
enum class replica_start : std::uint8_t {
    new_group,       ///< the ledger group is new: an empty window is complete
    awaiting_install ///< replaces a lost replica: refuses writes and seals until the first install()
};

/// One replica of the ledgers of some shards. Refuses writes of an epoch below the highest it saw for the
/// shard.
class replica {
public:
    explicit replica(replica_options settings, replica_start start = replica_start::new_group);

    /// A longer retention also covers the records that are held; a shorter one only new records.
    void set_retention(duration retention);
    /// Merges @p wanted. `begun` is accepted for an absent key, after a `not_run` record of an earlier
    /// attempt, and over a `begun` record of an earlier attempt of the same epoch. `answered` replaces
    /// `begun` and `not_run`. `not_run` replaces `begun` of the same epoch, unless that is a later attempt.
    /// When the window is full of records within their retention, the write is refused rather than an old
    /// record forgotten; an answer longer than the bound is refused and its record stays `begun`.
    write_result write(const record& wanted, time_point now);
    /// Raises the shard's epoch and returns its window.
    fence_result fence(const std::string& service, std::uint32_t shard, std::uint64_t epoch, time_point now);
    /// Takes over windows copied from other replicas and serves from then on. A record at a majority of three
    /// may be left at only one of the other two, so @p windows must hold the windows of both. They must have
    /// been read with seal() at a new epoch of the shard; otherwise a write that the lost replica accepted
    /// could still be completed without this replica knowing it.
    void install(const std::vector<shard_window>& windows, time_point now);
    bool ready() const noexcept;
    /// Service and shard of every window held; the windows to seal and copy when a replica is replaced.
    std::vector<std::pair<std::string, std::uint32_t>> shards() const;
    std::size_t size() const noexcept;
    /// Memory used by the records, estimated from their contents.
    std::size_t bytes() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// What the gate does with an at-most-once request.
enum class verdict : std::uint8_t {
    dispatch, ///< recorded at a majority: run it now
    wait,     ///< never given to on_decision: a duplicate's decision is deferred until the request in
              ///< progress at this gate ends, and is then `answer`, `in_doubt` or `unavailable`
    answer,   ///< answered before: return the recorded answer
    in_doubt, ///< an earlier attempt may have run: `unknown`. Also, with no record in decision::known, when
              ///< no majority let this gate read the window, since the key may have run before
    conflict, ///< the key was used for another request: `not-run`
    unavailable, ///< the window shows no run, and no majority recorded the attempt or the upstream did not
                 ///< start it: `not-run` while the gate's lease of the epoch in decision::known is valid,
                 ///< else `unknown`, since another gate may have run the key
    stale,       ///< a replica knows a higher epoch: this gate did not and will not run it, but its successor
                 ///< may have. Refresh the table and forward the request; `unknown` when that fails
};

struct decision {
    verdict result = verdict::unavailable;
    std::optional<record> known;
};

/// A write or seal to be sent to one replica; the caller transports it and reports the result.
struct replica_request {
    std::uint64_t operation = 0;
    std::string replica; ///< instance name
    std::optional<record> write;
    std::optional<std::pair<std::string, std::uint32_t>> fence; ///< service and shard
    std::uint64_t epoch = 0;
};

/// Majority logic of a gate over the replicas of its shards. Single-threaded; has no clock and no socket.
///
/// `unavailable` and `stale` are reported as `not-run` although a `begun` record may remain at a minority:
/// only the writer that made a record may dispatch it, and it has given the attempt up for good. A remaining
/// record can only turn later attempts into `in_doubt`. The writer sends a `not_run` record after it, so that
/// a resend can usually begin again.
class writer {
public:
    using on_decision = std::function<void(const decision&)>;
    using on_done = std::function<void(bool majority)>;

    /// @param retention how long the replicas keep a record; the writer remembers it a quarter longer
    explicit writer(duration operation_timeout, duration retention = std::chrono::minutes(10));

    /// A longer retention also covers the keys that are remembered; a shorter one only new keys.
    void set_retention(duration retention);
    /// Prepares to run a request. Seals and reads the shard first when this gate has not done so at the epoch
    /// of @p wanted with these replicas. An epoch belongs to one lifetime of one gate.
    /// @param replicas names of the shard's ledger replicas; a replaced replica needs a new epoch
    /// @returns messages to send; @p done is called once, possibly before this returns
    std::vector<replica_request> begin(const record& wanted, const std::vector<std::string>& replicas,
                                       const on_decision& done, time_point now);
    /// Reports what the window says of a key without recording anything, for a request that is refused before
    /// begin(). Seals and reads the shard first as begin() does; a sealed shard is only looked up in memory.
    /// @param done called once, possibly before this returns, with `answer`, `in_doubt` (an attempt may run
    /// or have run, or the window cannot be read), `conflict`, `stale`, or `unavailable`: the window shows no
    /// run
    std::vector<replica_request> check(const record& wanted, const std::vector<std::string>& replicas,
                                       const on_decision& done, time_point now);
    /// Records the result of a dispatched request: `answered`, or `not_run` when the upstream confirmed that
    /// it did not start. Duplicates that wait get it at once; resends get it from the window. A result for a
    /// key that this writer did not dispatch is ignored.
    /// @param done called once; false means that later gates may answer `unknown`
    std::vector<replica_request> finish(const record& result, const std::vector<std::string>& replicas,
                                        const on_done& done, time_point now);
    /// The outcome of a dispatched request is not known: later resends get in_doubt, waiting duplicates get
    /// it now. A later finish() may still record the answer.
    void abandon(const std::string& service, std::uint32_t shard, const std::string& key);

    std::vector<replica_request> on_write_reply(std::uint64_t operation, const std::string& from,
                                                const write_result& reply, time_point now);
    std::vector<replica_request> on_fence_reply(std::uint64_t operation, const std::string& from,
                                                const fence_result& reply, time_point now);
    std::vector<replica_request> on_replica_failed(std::uint64_t operation, const std::string& from,
                                                   time_point now);
    /// Fails operations that are older than the timeout.
    std::vector<replica_request> tick(time_point now);
    /// Operations that still wait for replies.
    std::size_t pending() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Age up to which the windows certainly still hold a key. After a profile makes the retention longer it
/// grows with the time, since records that were dropped under the shorter retention do not come back.
class guaranteed_retention {
public:
    /// @param slack time within which all replicas apply a new profile
    explicit guaranteed_retention(duration slack) : slack_(slack) {}
    void set_retention(duration retention, time_point now);
    duration at(time_point now) const;

private:
    duration slack_;
    duration retention_{};
    duration before_{};
    time_point changed_;
};

/// Creation time in an idempotency key in UUIDv7 form; empty for any other form.
std::optional<std::chrono::system_clock::time_point> creation_time(const std::string& idempotency_key);

} // namespace kingcupseam::ledger
