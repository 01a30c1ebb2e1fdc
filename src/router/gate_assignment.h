#pragma once

#include "router/entry_instance.h"

#include <kingcupseam/directory.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::router {

/// The gates of one data centre's upstreams: rendezvous hashing with a bound, by which no entry is the gate
/// of more than its share of the upstreams. It is the stable matching in which entries and upstreams prefer
/// each other by the same score, so it depends on their names alone and not on the order of changes.
class data_center_gates {
public:
    /// @param names sorted
    void set_entries(const std::vector<std::string_view>& names);
    /// @param ids sorted
    void set_upstreams(const std::vector<std::string_view>& ids);
    const std::vector<std::string>& gates_of(const std::string& upstream);

private:
    /// An entry as an upstream prefers it.
    struct ranked_entry {
        std::uint32_t score = 0;
        std::uint32_t entry = 0; ///< index in names_
    };
    using ranking = std::vector<ranked_entry>; ///< best first

    bool is_better(const ranked_entry& a, const ranked_entry& b) const;
    void add_entry(std::string_view name);
    void remove_entry(std::uint32_t entry);
    ranking rank_entries(const std::string& upstream) const;
    void match();
    /// The gate, and the best other entry as its substitute.
    std::vector<std::string> with_substitute(std::uint32_t gate, const ranking& ranked) const;

    std::vector<std::string> names_;                       ///< of the entries, in the order of their arrival
    std::map<std::string, ranking, std::less<>> rankings_; ///< by id of the upstream
    bool current_ = false;                                 ///< gates_ match the entries and upstreams
    std::map<std::string, std::vector<std::string>> gates_;
};

/// Selects the gate of each upstream among the entries of its data centre. Entries that know the same entries
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
    std::vector<entry_instance> entries_;
    std::map<std::string, data_center_gates, std::less<>> data_centers_;
};

} // namespace kingcupseam::router
