#pragma once

#include "app/instance/replicated_group.h"

#include <kingcupseam/directory.h>

#include <functional>

namespace kingcupseam::router {

/// The replicated directory as the state machine of a consensus group.
class directory_state_machine : public app::state_machine {
public:
    explicit directory_state_machine(std::function<void()> on_change) : on_change_(std::move(on_change)) {}

    std::string apply(const std::string& command, std::uint64_t index) override;
    std::string save() const override { return directory::encode(*state_); }
    void restore(const std::string& saved) override;
    const directory::snapshot_ptr& state() const noexcept { return state_; }

private:
    directory::snapshot_ptr state_ = std::make_shared<const directory::snapshot>();
    std::function<void()> on_change_;
};

} // namespace kingcupseam::router
