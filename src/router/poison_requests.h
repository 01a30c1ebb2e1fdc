#pragma once

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace kingcupseam::router {

/// Hash of a request without its id, the same for all attempts and retries of it.
using request_digest = std::uint64_t;

/// A request that was in flight when its upstream crashed.
struct crash_report {
    request_digest digest = 0;
    directory::upstream_incarnation upstream;
    bool operator==(const crash_report&) const = default;
};

/// A request that was in flight when upstreams crashed; it is refused after too many crashes.
struct poison_request {
    request_digest digest = 0;
    bool refused = false; ///< not sent any more; until then entries report when it is answered
    bool operator==(const poison_request&) const = default;
};

/// An entry's record of requests whose connection broke. The directory shows later whether the upstream had
/// crashed: a later incarnation then appears under its id or at its address.
class interrupted_requests {
public:
    void add(request_digest digest, const directory::upstream& target, time_point now);
    /// Removes and returns the requests whose upstream has been restarted or replaced since.
    std::vector<crash_report> take_crashes(const directory::snapshot& state, time_point now);

private:
    struct record {
        request_digest digest = 0;
        directory::upstream target;
        time_point since;
    };
    std::vector<record> records_; ///< oldest first
};

struct poison_request_options {
    /// Number of crashed upstreams at which a request is refused. A request that is in flight by chance does
    /// not reach it, since the next upstream answers it.
    std::size_t crash_limit = 3;
    duration retention = std::chrono::minutes(10); ///< after its last crash a request is allowed again
    std::size_t max_records = 512;                 ///< the one with the oldest crash is dropped
};

/// The leader's record of crashes that the entries report.
class poison_request_detector {
public:
    explicit poison_request_detector(poison_request_options settings = {}) : settings_(settings) {}

    /// @returns true when the request is refused from now on
    bool on_crash(const crash_report& report, time_point now);
    /// An upstream answered the request, so it did not cause the earlier crashes.
    void on_answered(request_digest digest);
    void expire(time_point now);
    std::vector<poison_request> list() const;

private:
    struct record {
        std::set<directory::upstream_incarnation> crashed_upstreams;
        time_point last_crash;
    };
    void make_room();

    poison_request_options settings_;
    std::map<request_digest, record> records_;
};

/// An entry's copy of the leader's list. A refused request stays refused when a new leader does not know it
/// yet.
class known_poison_requests {
public:
    void update(const std::vector<poison_request>& listed, time_point now);
    bool empty() const noexcept { return records_.empty(); }
    bool is_refused(request_digest digest, time_point now) const;
    /// @returns true for a request that is listed and not refused
    bool needs_answer_report(request_digest digest) const;

private:
    struct record {
        bool refused = false;
        time_point last_listed; ///< when a leader last listed it
    };
    std::map<request_digest, record> records_;
};

} // namespace kingcupseam::router
