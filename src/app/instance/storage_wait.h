#pragma once

#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

#include <memory>
#include <optional>

namespace kingcupseam::app {

/// Clock and stop signal of a wait. Tests substitute their own.
class wait_surroundings {
public:
    wait_surroundings() = default;
    wait_surroundings(const wait_surroundings&) = delete;
    wait_surroundings& operator=(const wait_surroundings&) = delete;
    virtual ~wait_surroundings() = default;

    virtual time_point now() const = 0;
    virtual void sleep(duration time) = 0;
    virtual bool stop_requested() const = 0;
};

std::unique_ptr<wait_surroundings> make_process_surroundings();

/// Blocks the calling thread while the data folder or its disk cannot be used: the member then neither votes
/// nor acknowledges, as with a stalled disk. Waits as long as it takes, or until the process is asked to
/// stop. Logs at first and every 10 s.
class storage_wait final : public storage::wait_policy {
public:
    explicit storage_wait(std::unique_ptr<wait_surroundings> surroundings = make_process_surroundings());

    /// @throws lifecycle::stop_requested_error
    bool wait(storage::obstacle reason, const io_error& failure) override;
    void on_resumed() override;

private:
    void log(const io_error& failure, time_point now);

    std::unique_ptr<wait_surroundings> surroundings_;
    std::optional<storage::obstacle> reason_; ///< empty while nothing is waited for
    time_point since_;
    time_point next_line_;
};

} // namespace kingcupseam::app
