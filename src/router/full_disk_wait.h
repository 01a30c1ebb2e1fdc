#pragma once

#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

namespace kingcupseam::router {

/// Waits on the control thread while the disk is full: this member then neither votes nor acknowledges, as on
/// a disk that stalls. Gives up after a limit, so that a disk that stays full shows as a process that ends.
class full_disk_wait final : public storage::full_disk_policy {
public:
    bool wait_for_space(const io_error& failure) override;
    void on_space_available() override;

private:
    time_point since_;
    bool waiting_ = false;
};

} // namespace kingcupseam::router
