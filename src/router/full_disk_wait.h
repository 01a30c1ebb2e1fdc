#pragma once

#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

namespace kingcupseam::router {

/// Blocks the control thread while the disk is full: the member then neither votes nor acknowledges, as with
/// a stalled disk. Gives up after a limit, so that the process exits if the disk stays full.
class full_disk_wait final : public storage::full_disk_policy {
public:
    bool wait_for_space(const io_error& failure) override;
    void on_space_available() override;

private:
    time_point since_;
    bool waiting_ = false;
};

} // namespace kingcupseam::router
