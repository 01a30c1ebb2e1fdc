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

/// One waiting request, identified by a number that its owner chose.
struct queued_request {
    std::uint64_t id = 0;
    rank priority = rank::urgent;
    time_point arrived;
    time_point deadline;
    bool exclusive = false; ///< a crash suspect: runs only while nothing else runs on the upstream
    auto operator<=>(const queued_request&) const = default;
};

struct rank_policy {
    double guaranteed_share =
        0; ///< fraction of the slots that the rank keeps while others flood; sum below 1
    std::uint32_t max_waiting = 256;
    auto operator<=>(const rank_policy&) const = default;
};

struct queue_options {
    std::uint32_t slots = 1;
    std::array<rank_policy, rank_count> ranks{};
    duration initial_service_time = std::chrono::milliseconds(10);
};

enum class admit_result : std::uint8_t { admitted, queue_full, deadline };

/// The queue of one upstream at its gate. Single-threaded; has no clock.
class queue {
public:
    queue() = default;
    queue(const queue&) = delete;
    queue& operator=(const queue&) = delete;
    virtual ~queue() = default;

    /// Refuses at once what cannot meet its deadline, judged by the work ahead of it and the observed service
    /// time.
    virtual admit_result admit(const queued_request& request, time_point now) = 0;
    /// The next request to dispatch while a slot is free; requests whose deadline has passed go to @p
    /// expired. Call it again after every arrival and end of a request, and on a timer: a fractional slot
    /// becomes free by the passing of time alone.
    virtual std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) = 0;
    /// A dispatched request ended after @p service_time; empty when it did not run.
    virtual void finished(std::uint64_t id, std::optional<duration> service_time, time_point now) = 0;
    /// Removes a waiting request. @returns false when it is not waiting
    virtual bool cancel(std::uint64_t id) = 0;
    /// @param slots effective slots; a fraction is used as a share of the time of one more slot, and with 0
    /// nothing is dispatched
    virtual void set_slots(double slots) = 0;
    virtual void set_policy(const std::array<rank_policy, rank_count>& ranks) = 0;
    virtual std::uint32_t running() const noexcept = 0;
    virtual std::uint32_t waiting(rank value) const noexcept = 0;
    /// True when a request of the rank that arrives now would be refused; entries then refuse it at the edge.
    virtual bool saturated(rank value, duration deadline, time_point now) const = 0;
    /// Takes everything that waits, for handing over or refusing.
    virtual std::vector<queued_request> drain() = 0;
};

/// Urgent first, with a guaranteed share of slot time per rank.
std::unique_ptr<queue> make_priority_queue_with_shares(const queue_options& settings);
/// Baseline: arrival order, one bound for all ranks.
std::unique_ptr<queue> make_fifo_queue(const queue_options& settings);

struct retry_policy {
    double budget_fraction = 0.1; ///< retries as a fraction of fresh requests
    std::uint32_t min_per_second = 3;
    duration first_backoff = std::chrono::milliseconds(5);
    duration max_backoff = std::chrono::milliseconds(100);
    std::uint32_t max_attempts = 3;
    auto operator<=>(const retry_policy&) const = default;
};

/// Budget of retries over a sliding period of 10 s.
class retry_budget {
public:
    retry_budget(retry_policy settings, std::uint64_t seed);
    void on_first_attempt(time_point now);
    /// @param attempt number of attempts made so far, at least 1
    /// @returns the backoff to wait before the next attempt; empty when the request must not be retried
    std::optional<duration> try_retry(std::uint32_t attempt, time_point deadline, time_point now);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Requests that were in flight when an upstream died, by request digest.
class poison_request_list {
public:
    enum class status : std::uint8_t { clear, suspected, refused };
    struct record {
        std::string digest;
        std::uint32_t crashes = 0;
        bool survived = false; ///< ran alone since the last crash; it runs normally until it crashes again
        time_point expires;
        auto operator<=>(const record&) const = default;
    };

    explicit poison_request_list(std::uint32_t crash_limit = 2, duration retention = std::chrono::minutes(10),
                                 std::size_t max_records = 4096);

    /// An upstream died with @p digests in flight. A lone request, or the only one that already was a
    /// suspect, is charged with a crash. Any other gets at most one crash less than the limit, so a shared
    /// crash makes a suspect but never refuses a request.
    /// @returns the records that changed, to be shared with the data centre
    std::vector<record> on_crash(const std::vector<std::string>& digests, time_point now);
    /// A suspect ran alone and the upstream survived. It keeps its crashes but runs normally again.
    std::optional<record> on_survived(const std::string& digest, time_point now);
    /// Merges a record from another instance: the higher number of crashes wins, then `survived`.
    void merge(const record& other, time_point now);
    status status_of(const std::string& digest, time_point now) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Whether an upstream is fit for new work, judged by outcomes; reports and probes can only lower the
/// judgement.
class upstream_health {
public:
    enum class status : std::uint8_t { healthy, degraded, silent_connection, frozen, dead };
    struct options {
        duration silence_before_probe = std::chrono::milliseconds(250);
        duration probe_timeout = std::chrono::milliseconds(300);
        std::uint32_t refused_before_dead = 2;
    };

    upstream_health(options settings, time_point now);
    void on_answer(duration service_time, time_point now);
    void on_connect_refused(time_point now);
    void on_connection_broken(time_point now);
    void on_timeout(time_point now);
    void on_reported_load(std::uint32_t in_flight, std::uint32_t slots, time_point now);
    void on_reported_unhealthy(time_point now);
    /// True when a probe on a new connection is due because requests in flight stay silent.
    bool probe_due(time_point oldest_in_flight, time_point now) const;
    void on_probe_sent(time_point now);
    /// The new connection works: connections that stay silent are lost.
    void on_probe_answered(time_point now);
    status current(time_point now) const;
    /// Fraction of the slots to use, 0 to 1; a cold or degraded upstream gets less.
    double slot_fraction(time_point now) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::admission
