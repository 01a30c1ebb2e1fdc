#pragma once

#include "router/entry_instance.h"

#include <kingcupseam/directory.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kingcupseam::router {

/// Selects the gate of each upstream among the entries of its data centre: rendezvous hashing with a bound,
/// by which no entry is the gate of more than its share of the upstreams. Entries that know the same entries
/// and upstreams agree without coordination; a lost entry or upstream moves few others.
class gate_assignment {
public:
    /// @param entries all entries that accept requests
    /// @returns false when nothing has changed
    bool set_entries(std::vector<entry_instance> entries);
    /// @param upstreams those that have a gate
    void set_upstreams(const std::vector<const directory::upstream*>& upstreams);
    const std::vector<entry_instance>& entries() const noexcept { return entries_; }

    /// The gate and a substitute for the time in which a lost entry is still listed; fewer when the data
    /// centre has fewer entries.
    const std::vector<std::string>& gates_of(const directory::upstream& target);

private:
    /// Upstreams are known by id and data centre.
    using upstream_key = std::pair<std::string, std::string>;

    void assign();
    std::vector<std::string> rank_entries(const upstream_key& upstream) const;

    std::vector<entry_instance> entries_;
    std::vector<upstream_key> upstreams_; ///< sorted
    bool current_ = false;                ///< assignments match the entries and upstreams
    std::map<upstream_key, std::vector<std::string>> gates_;
};

} // namespace kingcupseam::router
