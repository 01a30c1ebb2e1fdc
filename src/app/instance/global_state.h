#pragma once

#include "app/instance/replicated_group.h"
#include "app/instance/routing_view.h"

#include <kingcupseam/profile.h>

#include <state_types.h>

namespace kingcupseam::app {

/// Replicated state machine of the global group: profiles, shard placements, formations of data centre groups
/// and mirrored routing tables.
class global_state final : public state_machine {
public:
    std::string apply(const std::string& command, std::uint64_t index) override;
    std::string save() const override;
    void restore(const std::string& saved) override;

    /// The part that all instances receive: everything but the mirrored tables. Its version rises with each
    /// change of it.
    const wire::GlobalState& visible() const noexcept { return visible_; }
    const std::map<std::string, wire::TableMirror>& mirrors() const noexcept { return mirrors_; }
    std::uint64_t version() const noexcept { return static_cast<std::uint64_t>(visible_.version); }

private:
    std::string apply_profile(const std::string& change, std::uint64_t index);
    void apply_formation(const wire::GroupFormation& formation, std::uint64_t index);
    void apply_placement(const wire::ServiceHomes& placement, std::uint64_t index);
    void apply_mirror(const wire::TableMirror& mirror);

    profile::store profiles_;
    wire::GlobalState visible_;
    std::map<std::string, wire::TableMirror> mirrors_;
};

std::string encode_profile_change(const profile::change& change);
std::string encode_formation(const wire::GroupFormation& formation);
std::string encode_placement(const wire::ServiceHomes& placement);
std::string encode_mirror(const wire::TableMirror& mirror);
profile::change_result decode_change_result(const std::string& bytes);

} // namespace kingcupseam::app
