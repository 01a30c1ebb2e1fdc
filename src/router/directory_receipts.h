#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// An entry that serves by an outdated directory.
struct entry_lag {
    std::string entry;
    std::uint64_t held_index = 0;
    duration behind{}; ///< since the first change that it lacks
    bool operator==(const entry_lag&) const = default;
};

/// What the entries say they hold, compared with the changes of the directory.
class directory_receipts {
public:
    void on_change(std::uint64_t index, time_point now);
    void on_report(const std::string& entry, std::uint64_t held_index, time_point now);
    void forget(const std::string& entry) { held_.erase(entry); }
    void clear() { held_.clear(); }
    /// Entries that lack a change made over @p limit ago, by what they last reported.
    std::vector<entry_lag> overdue(duration limit, time_point now) const;

private:
    void drop_old_changes(time_point now);

    std::map<std::uint64_t, time_point> changes_; ///< time at which this instance applied them, by index
    std::map<std::string, std::uint64_t> held_;   ///< by name of the entry
};

} // namespace kingcupseam::router
