#pragma once

#include <kingcupseam/consensus.h>

#include <map>
#include <set>
#include <string>

namespace kingcupseam::test {

enum class violation {
    two_leaders_in_term,
    committed_entry_changed,
    incomplete_leader, ///< a leader was elected without a committed entry
    diverged_state,
    lost_command,
    overlapping_lease ///< a leader was elected while the lease of an earlier one was valid
};

/// State machine of the tests: count and hash of the commands applied so far.
struct machine_state {
    std::uint64_t count = 0;
    std::uint64_t hash = 0;
    auto operator<=>(const machine_state&) const = default;

    void apply(const storage::entry& it);
    std::string encode() const;
    static machine_state decode(const std::string& bytes);
};

/// Checks the safety properties of a group during one run.
class checker {
public:
    void on_leader(const consensus::member_id& id, std::uint64_t term, const storage::log_store& store);
    /// A node returned an entry as committed; @p after is its state after applying it.
    void on_committed(const storage::entry& it, const machine_state& after);
    void on_installed(std::uint64_t index, const machine_state& state);
    void on_acknowledged(const storage::entry& it) { acknowledged_.push_back(it); }
    void on_lease(const consensus::member_id& holder, std::uint64_t term, time_point until);
    void on_elected(std::uint64_t term, time_point now);
    /// The process of a member has stopped, which ends its leases.
    void on_stopped(const consensus::member_id& holder);
    /// Checks that every acknowledged command is committed. To be called after the group has recovered.
    void finish();

    bool clean() const { return found_.empty(); }
    bool found(violation kind) const { return found_.contains(kind); }
    std::size_t acknowledged() const { return acknowledged_.size(); }
    std::size_t committed() const { return committed_.size(); }

private:
    struct record {
        storage::entry value;
        machine_state after;
    };
    std::map<std::uint64_t, consensus::member_id> leaders_;
    std::map<std::uint64_t, record> committed_;
    std::vector<storage::entry> acknowledged_;
    struct lease {
        consensus::member_id holder;
        time_point until; ///< the latest end reported
    };
    std::map<std::uint64_t, lease> leases_; ///< by term
    std::set<violation> found_;
};

} // namespace kingcupseam::test
