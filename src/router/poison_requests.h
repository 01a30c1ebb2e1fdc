#pragma once

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace kingcupseam::router {

/// What repetitions of a request have in common: a hash of all but its id.
using request_digest = std::uint64_t;

/// A request that was at work when its upstream ended.
struct crash_report {
    request_digest digest = 0;
    directory::upstream_incarnation upstream;
    bool operator==(const crash_report&) const = default;
};

/// A request that upstreams have ended with.
struct poison_request {
    request_digest digest = 0;
    bool refused = false; ///< not sent any more; otherwise entries report when it is answered
    bool operator==(const poison_request&) const = default;
};

/// An entry's record of broken requests, until it shows whether the upstream ended with them: it is followed
/// by a later life under its id or at its address.
class interrupted_requests {
public:
    void add(request_digest digest, const directory::upstream& target, time_point now);
    /// Takes out the requests whose upstream has ended since they were added.
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
    /// Upstreams that a request may end before it is refused. A request that is at work by chance when an
    /// upstream ends is answered by the next one, so it does not get there.
    std::size_t crash_limit = 3;
    duration retention = std::chrono::minutes(10); ///< after its last crash a request gets another try
    std::size_t max_records = 512;                 ///< watched at once; the oldest is dropped
};

/// The leader's record of the crashes that all entries report.
class poison_request_detector {
public:
    explicit poison_request_detector(poison_request_options settings = {}) : settings_(settings) {}

    /// @returns true when the request is refused from now on
    bool on_crash(const crash_report& report, time_point now);
    /// An upstream answered it: not the request was the cause of the crashes before.
    void on_survived(request_digest digest);
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

/// An entry's copy of the leader's record. Refused requests are kept when a new leader does not know them
/// yet.
class known_poison_requests {
public:
    void update(const std::vector<poison_request>& listed, time_point now);
    bool empty() const noexcept { return records_.empty(); }
    bool is_refused(request_digest digest, time_point now) const;
    /// @returns true for a request that is watched and not refused
    bool needs_answer_report(request_digest digest) const;

private:
    struct record {
        bool refused = false;
        time_point last_named; ///< by a leader, the last time
    };
    std::map<request_digest, record> records_;
};

} // namespace kingcupseam::router
