#pragma once

#include <kingcupseam/directory.h>
#include <kingcupseam/types.h>

#include <map>
#include <optional>
#include <vector>

namespace kingcupseam::router {

/// An upstream's statement about the requests per second that it accepts from all instances together.
struct limit_statement {
    directory::upstream_incarnation upstream;
    std::optional<double> max_rate; ///< empty: it no longer limits them
    duration age{};                 ///< since the answer that made it
    bool operator==(const limit_statement&) const = default;
};

/// The newest statement of each upstream that has limited its requests. Statements expire, so that one from
/// an upstream that gets no more requests is not kept for good.
class upstream_limits {
public:
    /// Records a statement of an upstream, unless a newer one is known.
    /// @returns true when the limit has changed
    bool add(const limit_statement& statement, time_point now);
    /// The limits that the leader lists; used for upstreams without a statement of their own here.
    void set_listed(const std::vector<limit_statement>& listed);
    std::optional<double> limit_of(const directory::upstream_incarnation& upstream, time_point now) const;
    /// Statements that were added since the last call.
    std::vector<limit_statement> take_new(time_point now);
    /// All limits in force.
    std::vector<limit_statement> list(time_point now) const;
    void expire(time_point now);
    void clear() { *this = upstream_limits(); }

private:
    struct known_statement {
        std::optional<double> max_rate;
        time_point made;
        bool taken = false; ///< returned by take_new()
    };

    std::map<directory::upstream_incarnation, known_statement> statements_;
    std::map<directory::upstream_incarnation, double> listed_;
};

} // namespace kingcupseam::router
