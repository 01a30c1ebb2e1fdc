#pragma once

#include <kingcupseam/consensus.h>
#include <kingcupseam/storage.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kingcupseam::app {

/// Deterministic state machine that applies the commands of a replicated log.
class state_machine {
public:
    state_machine() = default;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;
    virtual ~state_machine() = default;

    /// @returns the result for the proposer
    virtual std::string apply(const std::string& command, std::uint64_t index) = 0;
    virtual std::string save() const = 0;
    virtual void restore(const std::string& saved) = 0;
};

/// A member of a consensus group with its log and state machine. A step that fails ends the process, see
/// lifecycle::run_or_end_process().
class replicated_group {
public:
    using sender = std::function<void(const consensus::message&)>;
    /// Called with the state machine's result, or empty if this member does not know the command to be
    /// committed; it may still be committed then.
    using on_result = std::function<void(std::optional<std::string>)>;

    replicated_group(const consensus::options& settings, std::unique_ptr<storage::log_store> store,
                     state_machine& machine, sender send);

    void receive(const consensus::message& received);
    void tick();
    void propose(std::string command, on_result done);
    /// Ends every pending proposal with an empty result; must be called before the group is destroyed.
    void abandon_proposals();
    /// Proposes a change of membership. @returns false if this member does not lead or the change is refused
    bool change_membership(const consensus::membership_change& wanted);
    /// True while this member leads, no other member can have been elected, and the state machine has applied
    /// every entry that was committed before.
    bool leads() const;
    const consensus::node& node() const noexcept { return node_; }
    const consensus::member_id& self() const noexcept { return self_; }
    storage::log_store& store() noexcept { return *store_; }

private:
    struct pending_proposal {
        std::uint64_t term = 0;
        time_point since;
        on_result done;
    };

    void append(std::string command, on_result done);
    bool append(const consensus::membership_change& wanted);
    void apply_effects(consensus::effects effects);
    void apply(const storage::entry& committed);
    void compact_if_needed();
    void expire_proposals(time_point now);

    consensus::member_id self_;
    std::unique_ptr<storage::log_store> store_;
    state_machine& machine_;
    sender send_;
    std::uint64_t applied_ = 0;
    consensus::node node_;
    std::map<std::uint64_t, pending_proposal> proposals_; ///< by log index
};

} // namespace kingcupseam::app
