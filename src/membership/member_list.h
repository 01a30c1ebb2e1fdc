#pragma once

#include <kingcupseam/membership.h>

#include <map>
#include <random>

namespace kingcupseam::membership {

/// Records of all other instances, and the changes that are still to be sent to them.
class member_list {
public:
    struct member {
        record known;
        time_point since{};               ///< when the status was learned
        std::uint32_t transmissions = 0;  ///< number of messages that carried this record
        std::uint32_t suspect_probes = 0; ///< probes sent to the member because it is a suspect
        bool queued = false;              ///< whether the record is in pending_updates_
    };

    member_list(const options& settings, std::mt19937_64& random) : settings_(settings), random_(random) {}

    /// Stores a record if it supersedes the known one. @returns true when status or incarnation changed
    bool apply(const record& received, time_point now);
    /// Queues the record of this instance for sending.
    void announce_self(const record& self);
    /// Up to max_piggyback changes, those sent least often first.
    std::vector<record> changes_to_send();
    /// Postpones the suspicion timeouts by a pause of this process.
    void extend_suspicions(duration pause);
    /// Suspects that this instance has to probe now.
    std::vector<record> suspects_to_probe(time_point now);
    /// Removes the members that left or died longer than dead_retention ago.
    void remove_expired(time_point now);

    const member* find(const std::string& name) const;
    const std::map<std::string, member>& all() const { return members_; }
    /// Next member to probe, in an order that is shuffled for each round; null without active members.
    const member* next_random_target();
    /// The member after @p name in the ring of all active members, ordered by the hashes of their names.
    const member* successor_of(const std::string& name) const;
    /// Up to @p count random members other than @p except: active ones, or dead ones when @p active is false.
    std::vector<const member*> random_members(std::size_t count, bool active, const std::string& except);
    std::size_t active_count() const;
    /// Constant time, since it is called in every tick.
    bool any_suspect() const { return suspects_ > 0; }

private:
    std::uint32_t transmission_limit() const;
    /// Stores a record and queues it for sending.
    void replace(member& it, const record& received, time_point now);

    const options& settings_;
    std::mt19937_64& random_;
    std::map<std::string, member> members_;
    std::size_t suspects_ = 0;
    member self_;
    std::vector<member*> pending_updates_; ///< members whose record is still to be sent
    std::vector<std::string> probe_round_; ///< names that are still to be probed in this round
};

/// True for a member that runs as far as is known: alive or suspect.
inline bool is_active(status condition) {
    return condition == status::alive || condition == status::suspect;
}

} // namespace kingcupseam::membership
