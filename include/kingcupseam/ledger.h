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

/// State of an attempt to run the request of a key.
enum class record_state : std::uint8_t {
    absent,
    begun,    ///< may be running or have run
    answered, ///< has run, and its answer is recorded
    not_run   ///< has not run and will not
};

/// State of one idempotency key in the ledger of its shard.
struct record {
    std::string service;
    std::uint32_t shard = 0;
    std::string key;           ///< idempotency key of the request
    std::uint64_t epoch = 0;   ///< epoch of the gate that began the attempt
    std::uint64_t attempt = 0; ///< set by the writer; orders attempts of a key within an epoch
    record_state state = record_state::begun;
    int status = 0;     ///< HTTP status of a recorded answer
    std::string answer; ///< body and content type of a recorded answer, at most max_answer_bytes
    std::string digest; ///< digest of method, target and body, to refuse another request with the same key
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
    std::uint64_t fenced_epoch = 0; ///< highest epoch that the replica has seen for the shard; 0 if not ready
    std::optional<record> existing; ///< the replica's record of the key before the write
};

struct fence_result {
    bool accepted = false;
    std::uint64_t fenced_epoch = 0; ///< as in write_result
    std::vector<record> window;     ///< all records of the shard
};

/// Records of one shard at one replica.
struct shard_window {
    std::string service;
    std::uint32_t shard = 0;
    std::uint64_t fenced_epoch = 0;
    std::vector<record> records;
    bool operator==(const shard_window&) const = default;
};

enum class replica_start : std::uint8_t {
    new_group,       ///< the ledger group is new, so an empty window is complete
    awaiting_install ///< replaces a lost replica: refuses writes and fences until install()
};

/// One replica of the ledgers of some shards. Refuses writes and fences of an epoch below the highest one
/// that it has seen for the shard.
class replica {
public:
    explicit replica(replica_options settings, replica_start start = replica_start::new_group);

    /// A longer retention also applies to existing records; a shorter one only to new records.
    void set_retention(duration retention);
    /// Merges @p wanted within the limits of replica_options; no record is dropped before its retention ends.
    /// Any state is accepted for an absent key. `begun` replaces an earlier attempt that is `not_run`, or
    /// `begun` in the same epoch; `answered` replaces both; `not_run` replaces `begun` of the same epoch, but
    /// not of a later attempt. An answer that is too long is refused, so its record stays `begun`.
    write_result write(const record& wanted, time_point now);
    /// Raises the epoch of the shard, so that writes of lower epochs are refused, and returns its window. The
    /// wire protocol calls this a seal.
    fence_result fence(const std::string& service, std::uint32_t shard, std::uint64_t epoch, time_point now);
    /// Merges windows copied from the other replicas; the replica is ready afterwards. A record at a majority
    /// of three may remain at only one of the other two, so @p windows must contain the windows of both. They
    /// must come from fence() at a new epoch of the shard: otherwise a write that the lost replica had
    /// accepted could still reach a majority without being in this replica.
    void install(const std::vector<shard_window>& windows, time_point now);
    bool ready() const noexcept;
    /// Service and shard of every window; these are fenced and copied when another replica is replaced.
    std::vector<std::pair<std::string, std::uint32_t>> shards() const;
    std::size_t size() const noexcept;
    /// Estimated memory of the records.
    std::size_t bytes() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// What the gate must do with an at-most-once request. "Report" means the outcome that the caller gets:
/// `not-run` or `unknown`.
enum class verdict : std::uint8_t {
    dispatch,    ///< `begun` is recorded at a majority: run the request now
    wait,        ///< never passed to on_decision: the decision on a duplicate is deferred until the in-flight
                 ///< request at this gate ends, and is then `answer`, `in_doubt` or `unavailable`
    answer,      ///< return the recorded answer
    in_doubt,    ///< report `unknown`: an earlier attempt may have run, as decision::known shows. Without
                 ///< decision::known, no majority let this gate read the window
    conflict,    ///< report `not-run`: the key was used for another request
    unavailable, ///< the window shows no run, and either no majority recorded the attempt or the upstream did
                 ///< not start it. Report `not-run` while the gate's lease of the epoch in decision::known is
                 ///< valid, else `unknown`, since another gate may have run the key
    stale,       ///< a replica knows a higher epoch: this gate did not run the request and will not, but its
                 ///< successor may have. Refresh the table and forward the request; report `unknown` if that
                 ///< fails
};

struct decision {
    verdict result = verdict::unavailable;
    std::optional<record> known; ///< record of the key that the decision is based on, if any
};

/// A write or fence for one replica. The caller sends it and reports the reply to the writer.
struct replica_request {
    std::uint64_t operation = 0;
    std::string replica; ///< instance name
    std::optional<record> write;
    std::optional<std::pair<std::string, std::uint32_t>> fence; ///< service and shard
    std::uint64_t epoch = 0;
};

/// Records the requests of a gate at a majority of the replicas of its shards. Single-threaded; has no clock
/// and no socket.
///
/// `unavailable` and `stale` mean that this gate did not run the request, although a `begun` record may
/// remain at a minority: only the writer that made a record may dispatch its attempt, and this one has given
/// it up. The remaining record can only make later attempts `in_doubt`. The writer also sends a `not_run`
/// record to replace it, so that a resend can usually begin again.
class writer {
public:
    using on_decision = std::function<void(const decision&)>;
    using on_done = std::function<void(bool majority)>;

    /// @param retention how long the replicas keep a record; the writer keeps it a quarter longer
    explicit writer(duration operation_timeout, duration retention = std::chrono::minutes(10));

    /// A longer retention also applies to existing keys; a shorter one only to new keys.
    void set_retention(duration retention);
    /// Records that a request is about to run. Fences the shard and reads its window first, unless it has
    /// done so at the epoch of @p wanted with these replicas. An epoch belongs to one incarnation of one
    /// gate.
    /// @param replicas names of the shard's ledger replicas; a replaced replica needs a new epoch
    /// @returns requests to send; @p done is called once, possibly before this returns
    std::vector<replica_request> begin(const record& wanted, const std::vector<std::string>& replicas,
                                       const on_decision& done, time_point now);
    /// Looks a key up without recording anything, for a request that is refused before begin(). Fences the
    /// shard first as begin() does; the lookup in a fenced shard sends no requests.
    /// @param done called once, possibly before this returns, with `answer`, `in_doubt` (an attempt may run
    /// or have run, or the window cannot be read), `conflict`, `stale` or `unavailable` (the window shows no
    /// run)
    std::vector<replica_request> look_up(const record& wanted, const std::vector<std::string>& replicas,
                                         const on_decision& done, time_point now);
    /// Records the result of a dispatched request: `answered`, or `not_run` if the upstream confirmed that it
    /// did not start. Waiting duplicates get it at once, later resends get it from the window. A result for a
    /// key that this writer did not dispatch is ignored.
    /// @param done called once; false means that later gates may answer `unknown`
    std::vector<replica_request> finish(const record& result, const std::vector<std::string>& replicas,
                                        const on_done& done, time_point now);
    /// Marks the outcome of a dispatched request as unknown: waiting duplicates and later resends get
    /// `in_doubt`. A later finish() may still record the answer.
    void abandon(const std::string& service, std::uint32_t shard, const std::string& key);

    std::vector<replica_request> on_write_reply(std::uint64_t operation, const std::string& from,
                                                const write_result& reply, time_point now);
    std::vector<replica_request> on_fence_reply(std::uint64_t operation, const std::string& from,
                                                const fence_result& reply, time_point now);
    std::vector<replica_request> on_replica_failed(std::uint64_t operation, const std::string& from,
                                                   time_point now);
    /// Ends operations older than the timeout as failed. Writes of results are resent up to twice before
    /// that.
    std::vector<replica_request> tick(time_point now);
    /// Number of operations (fences and writes) that wait for replies.
    std::size_t pending() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Age up to which the record of a key is guaranteed to be in the windows. After the retention is made
/// longer, this age grows with time up to the new retention, since records dropped under the shorter one are
/// gone.
class guaranteed_retention {
public:
    /// @param slack time within which all replicas apply a changed retention
    explicit guaranteed_retention(duration slack) : slack_(slack) {}
    void set_retention(duration retention, time_point now);
    duration at(time_point now) const;

private:
    duration slack_;
    duration retention_{};
    duration before_{};
    time_point changed_;
};

/// Creation time in an idempotency key of UUIDv7 form; empty for other keys.
std::optional<std::chrono::system_clock::time_point> creation_time(const std::string& idempotency_key);

} // namespace kingcupseam::ledger
