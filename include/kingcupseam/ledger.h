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
    std::string key; ///< idempotency key of the request
    std::uint64_t epoch = 0;
    record_state state = record_state::begun;
    int status = 0;     ///< HTTP status of a recorded answer
    std::string answer; ///< body and content type of a recorded answer, bounded by max_answer_bytes
    std::string digest; ///< method, target and body hash: the same key with another request is refused
    auto operator<=>(const record&) const = default;
};

struct replica_options {
    std::size_t max_records = 200'000;
    std::size_t max_answer_bytes = 16 * 1024;
    std::size_t max_total_bytes = 32 * 1024 * 1024;
    duration retention = std::chrono::minutes(10);
};

struct write_result {
    bool accepted = false;
    std::uint64_t sealed_epoch = 0;
    std::optional<record> existing; ///< what the replica already held for the key
};

struct seal_result {
    bool accepted = false;
    std::uint64_t sealed_epoch = 0;
    std::vector<record> window;
};

/// One replica of the ledgers of some shards. Refuses writes of an epoch below the highest it saw for the
/// shard.
class replica {
public:
    explicit replica(replica_options settings);

    /// Merges @p wanted: `begun` never replaces another state; `answered` and `not_run` replace `begun`. A
    /// key whose record is `not_run` may begin again. When the window is full of records within their
    /// retention, the write is refused rather than an old record forgotten.
    write_result write(const record& wanted, time_point now);
    /// Raises the shard's epoch and returns its window.
    seal_result seal(const std::string& service, std::uint32_t shard, std::uint64_t epoch, time_point now);
    /// Takes over a window copied from other replicas.
    void install(const std::vector<record>& window, time_point now);
    std::size_t size() const noexcept;
    std::size_t bytes() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// What the gate does with an at-most-once request.
enum class verdict : std::uint8_t {
    dispatch,    ///< recorded at a majority: run it now
    wait,        ///< a duplicate of a request in progress at this gate; the answer will be delivered to both
    answer,      ///< answered before: return the recorded answer
    in_doubt,    ///< an earlier attempt may have run: `unknown`
    conflict,    ///< the key was used for another request: `not-run`
    unavailable, ///< no majority of the replicas: `not-run`
    stale,       ///< a replica knows a higher epoch: this gate is fenced off; `not-run` and refresh the table
};

struct decision {
    verdict result = verdict::unavailable;
    std::optional<record> known;
};

/// A write or seal to be sent to one replica; the caller transports it and reports the result.
struct outgoing {
    std::uint64_t operation = 0;
    std::string replica; ///< instance name
    std::optional<record> write;
    std::optional<std::pair<std::string, std::uint32_t>> seal; ///< service and shard
    std::uint64_t epoch = 0;
};

/// Majority logic of a gate over the replicas of its shards. Single-threaded; has no clock and no socket.
class writer {
public:
    using on_decision = std::function<void(const decision&)>;
    using on_done = std::function<void(bool majority)>;

    writer(duration operation_timeout);

    /// Prepares to run a request. Seals and reads the shard first when this gate has not done so at @p epoch.
    /// @param replicas names of the shard's ledger replicas
    /// @returns messages to send; @p done is called once, possibly before this returns
    std::vector<outgoing> begin(const record& wanted, const std::vector<std::string>& replicas,
                                on_decision done, time_point now);
    /// Records the result. Duplicates that wait get it at once; resends get it from the window.
    std::vector<outgoing> finish(const record& result, const std::vector<std::string>& replicas, on_done done,
                                 time_point now);
    /// The outcome of a dispatched request is not known: later resends get in_doubt, waiting duplicates get
    /// it now.
    void abandon(const std::string& service, std::uint32_t shard, const std::string& key);

    std::vector<outgoing> on_write_reply(std::uint64_t operation, const std::string& from,
                                         const write_result& reply, time_point now);
    std::vector<outgoing> on_seal_reply(std::uint64_t operation, const std::string& from,
                                        const seal_result& reply, time_point now);
    std::vector<outgoing> on_replica_failed(std::uint64_t operation, const std::string& from, time_point now);
    /// Fails operations that are older than the timeout.
    std::vector<outgoing> tick(time_point now);
    std::size_t pending() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Creation time in an idempotency key in UUIDv7 form; empty for any other form.
std::optional<std::chrono::system_clock::time_point> creation_time(const std::string& idempotency_key);

} // namespace kingcupseam::ledger
