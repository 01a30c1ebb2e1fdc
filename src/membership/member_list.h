#pragma once

#include <kingcupseam/membership.h>

#include <map>
#include <random>

namespace kingcupseam::membership {

/// Records of all other instances, with the changes that are still to be passed on.
class member_list {
public:
    struct member {
        record known;
        time_point since{};            ///< when the status was learned
        std::uint32_t transmitted = 0; ///< how often this record was passed on
        std::uint32_t checks = 0;      ///< probes sent to the member because it is a suspect
        bool queued = false;           ///< whether the record is still to be passed on
    };

    member_list(const options& settings, std::mt19937_64& random) : settings_(settings), random_(random) {}

    /// Takes over a record that supersedes what is known. @returns true when status or incarnation changed
    bool apply(const record& received, time_point now);
    /// Queues the record of this instance for passing on.
    void announce_self(const record& self);
    /// Up to max_piggyback changes, the least transmitted first.
    std::vector<record> changes_to_send();
    void extend_suspicions(duration pause);
    /// Suspects that are due to be probed by this instance itself.
    std::vector<record> suspects_to_check(time_point now);
    void forget_dead(time_point now);

    const member* find(const std::string& name) const;
    const std::map<std::string, member>& all() const { return members_; }
    /// Next member to probe, in an order that is shuffled for each round; null when there is none.
    const member* next_to_probe();
    /// The member after @p name in the ring of all usable members, which are ordered by the hashes of their
    /// names.
    const member* successor_of(const std::string& name) const;
    /// Random members with one of the statuses, without @p except.
    std::vector<const member*> pick(std::size_t count, bool usable, const std::string& except);
    std::size_t usable_count() const;
    /// Kept as a count, since it is asked for in every tick.
    bool any_suspect() const { return suspects_ > 0; }

private:
    std::uint32_t transmission_limit() const;
    void set(member& it, const record& received, time_point now);

    const options& settings_;
    std::mt19937_64& random_;
    std::map<std::string, member> members_;
    std::size_t suspects_ = 0;
    member self_;
    std::vector<member*> queue_;     ///< members with a record to pass on
    std::vector<std::string> round_; ///< names that are still to be probed in this round
};

inline bool usable(status condition) {
    return condition == status::alive || condition == status::suspect;
}

} // namespace kingcupseam::membership
