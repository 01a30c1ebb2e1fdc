#pragma once

#include <kingcupseam/types.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::admission {

/// One waiting request, identified by a number that the user of the queue chooses.
struct queued_request {
    std::uint64_t id = 0;
    rank priority = rank::urgent;
    time_point arrived;
    time_point deadline;
    bool exclusive = false; ///< suspected poison request: runs only while nothing else runs on the upstream
    auto operator<=>(const queued_request&) const = default;
};

struct rank_policy {
    /// Fraction of the slots that is reserved for the rank under overload; the sum over all ranks is below 1.
    double guaranteed_share = 0;
    std::uint32_t max_waiting = 256;
    auto operator<=>(const rank_policy&) const = default;
};

struct queue_options {
    std::uint32_t slots = 1;
    std::array<rank_policy, rank_count> ranks{};
    duration initial_service_time = std::chrono::milliseconds(10);
};

enum class admit_result : std::uint8_t { admitted, queue_full, would_miss_deadline };

/// Queue of the requests for one upstream, held by its gate. Not thread-safe; the caller passes the time.
class queue {
public:
    queue() = default;
    queue(const queue&) = delete;
    queue& operator=(const queue&) = delete;
    virtual ~queue() = default;

    /// Adds a request. Refuses it at once if it would miss its deadline, as estimated from the requests ahead
    /// of it and the observed service time.
    virtual admit_result admit(const queued_request& request, time_point now) = 0;
    /// Next request to dispatch, if a slot is free; requests whose deadline has passed are moved to
    /// @p expired. Call it after every arrival and end of a request, and on a timer: a fractional slot
    /// becomes free by the passing of time alone.
    virtual std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) = 0;
    /// Reports the end of a dispatched request. @param service_time empty when it did not run
    virtual void finished(std::uint64_t id, std::optional<duration> service_time, time_point now) = 0;
    /// Removes a waiting request. @returns false when it is not waiting
    virtual bool cancel(std::uint64_t id) = 0;
    /// @param slots number of usable slots; a fractional part opens one more slot for that fraction of the
    /// time; with 0 nothing is dispatched
    virtual void set_slots(double slots) = 0;
    virtual void set_policy(const std::array<rank_policy, rank_count>& ranks) = 0;
    virtual std::uint32_t running() const noexcept = 0;
    virtual std::uint32_t waiting(rank value) const noexcept = 0;
    /// True when a request of the rank that arrives now with @p deadline left would be refused, so that
    /// entries can refuse it themselves.
    virtual bool saturated(rank value, duration deadline, time_point now) const = 0;
    /// Removes and returns all waiting requests, for handing them over or refusing them.
    virtual std::vector<queued_request> drain() = 0;
};

/// Serves urgent requests first and guarantees each rank its share of the slot time.
std::unique_ptr<queue> make_priority_queue_with_shares(const queue_options& settings);
/// Baseline for comparison: serves requests in arrival order, with one limit for all ranks.
std::unique_ptr<queue> make_fifo_queue(const queue_options& settings);

struct retry_policy {
    double budget_fraction = 0.1;     ///< retries as a fraction of first attempts
    std::uint32_t min_per_second = 3; ///< retries allowed in each second whatever the fraction
    duration first_backoff = std::chrono::milliseconds(5);
    duration max_backoff = std::chrono::milliseconds(100);
    std::uint32_t max_attempts = 3;
    auto operator<=>(const retry_policy&) const = default;
};

/// Limits retries to a fraction of the first attempts in a sliding window of 10 s.
class retry_budget {
public:
    retry_budget(retry_policy settings, std::uint64_t seed);
    void on_first_attempt(time_point now);
    /// @param attempt number of attempts made so far, at least 1
    /// @returns the backoff before the next attempt; empty when the request must not be retried
    std::optional<duration> try_retry(std::uint32_t attempt, time_point deadline, time_point now);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Requests that were in flight when an upstream crashed, by digest. Those that crash upstreams repeatedly
/// are poison requests and refused.
class poison_request_list {
public:
    enum class status : std::uint8_t { clear, suspected, refused };
    struct record {
        std::string digest;
        std::uint32_t crashes = 0;
        bool survived = false; ///< ran alone without a crash since the last one; runs normally until the next
        time_point expires;
        auto operator<=>(const record&) const = default;
    };

    explicit poison_request_list(std::uint32_t crash_limit = 2, duration retention = std::chrono::minutes(10),
                                 std::size_t max_records = 4096);

    /// Records that an upstream crashed with @p digests in flight. The crash is attributed to a request that
    /// ran alone, or to the only one that was already suspected. All other counts stay below the limit, so
    /// these requests become suspected but are not refused.
    /// @returns the changed records, for the other instances
    std::vector<record> on_crash(const std::vector<std::string>& digests, time_point now);
    /// Records that a suspected request ran alone without a crash. It keeps its crash count but runs normally
    /// again.
    std::optional<record> on_survived(const std::string& digest, time_point now);
    /// Merges a record from another instance: the higher crash count wins; at equal counts, `survived` does.
    void merge(const record& other, time_point now);
    status status_of(const std::string& digest, time_point now) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Health of an upstream, derived from the outcomes of requests, connections and probes. What the upstream
/// reports about itself can only lower it.
class upstream_health {
public:
    enum class status : std::uint8_t {
        healthy,
        degraded,          ///< requests fail, or the upstream reports overload or bad health
        silent_connection, ///< answers probes on new connections, but not requests on an old one
        frozen,            ///< does not answer probes
        dead               ///< refuses connections
    };
    struct options {
        duration silence_before_probe = std::chrono::milliseconds(250);
        duration probe_timeout = std::chrono::milliseconds(300);
        std::uint32_t refused_before_dead = 2; ///< refused connections in a row
    };

    upstream_health(options settings, time_point now);
    void on_answer(duration service_time, time_point now);
    void on_connect_refused(time_point now);
    void on_connection_broken(time_point now);
    void on_timeout(time_point now);
    void on_reported_load(std::uint32_t in_flight, std::uint32_t slots, time_point now);
    void on_reported_unhealthy(time_point now);
    /// True when a probe on a new connection is due because a request in flight has had no answer for long.
    bool probe_due(time_point oldest_in_flight, time_point now) const;
    void on_probe_sent(time_point now);
    /// The upstream answers on a new connection, so connections without an answer are lost.
    void on_probe_answered(time_point now);
    status current(time_point now) const;
    /// Fraction of the slots to use, from 0 to 1; lower for a cold or degraded upstream.
    double slot_fraction(time_point now) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

struct body_budget_options {
    /// Bytes of all long bodies together; the oldest one may exceed them, so that bodies come to an end.
    std::size_t max_bytes = 0;
    /// A body that waits for longer is refused: callers abandon a request that is not read for a second.
    duration max_wait = std::chrono::seconds(1);
    /// While others wait, a body that grows by less than this in so many calls of find_expired() loses its
    /// bytes. Counted in calls, since a process that was paused has received nothing in that time.
    std::size_t min_progress = std::size_t{64} * 1024;
    std::uint32_t progress_checks = 5;
    auto operator<=>(const body_budget_options&) const = default;
};

/// Memory that the long request bodies of callers share. A body is received while bytes are left, and holds
/// its bytes until the request has ended. Not thread-safe; the caller passes the time.
class body_budget {
public:
    using body_id = std::uint64_t;
    struct expired {
        std::vector<body_id> refused; ///< have waited too long
        std::vector<body_id> stalled; ///< are received too slowly
        bool operator==(const expired&) const = default;
    };

    explicit body_budget(body_budget_options settings);

    /// @returns the id of a new body, which is younger than all others
    body_id add(std::size_t bytes);
    void grow(body_id id, std::size_t bytes);
    /// @returns false when the body has to wait until take_resumable() returns it
    bool may_receive(body_id id, time_point now);
    /// The body is received; it keeps its bytes.
    void complete(body_id id);
    /// Gives the bytes of a body back.
    void remove(body_id id);
    /// The waiting bodies that may be received now, oldest first; they no longer wait.
    std::vector<body_id> take_resumable();
    /// Bodies that are to be removed, for the others.
    expired find_expired(time_point now);
    std::size_t used() const;
    std::size_t waiting() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::admission
