#include "storage/retry.h"

#include <kingcupseam/error.h>

#include <cerrno>
#include <optional>

namespace kingcupseam::storage {

namespace {

/// True for failures that a wrong path or wrong permissions cause.
bool is_misconfigured(const io_error& failure) {
    switch (failure.code()) {
    case EACCES:
    case EPERM:
    case EROFS:
    case ENOENT:
    case ENOTDIR:
    case EISDIR:
    case EEXIST:
    case ELOOP:
    case ENAMETOOLONG:
        return true;
    default:
        return false;
    }
}

/// What a failure waits for; empty if the store must fail.
std::optional<obstacle> obstacle_of(const io_error& failure, store_phase phase) {
    if (is_full(failure)) {
        return obstacle::disk_full;
    }
    if (phase == store_phase::opening && failure.code() == EWOULDBLOCK) {
        return obstacle::folder_in_use;
    }
    if (phase == store_phase::opening && is_misconfigured(failure)) {
        return std::nullopt;
    }
    return obstacle::disk_failed;
}

} // namespace

bool is_full(const io_error& failure) {
    switch (failure.code()) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG: // the process's limit on the size of files, which can be lifted while it runs
        return true;
    default:
        return false;
    }
}

void retry(wait_policy* waits, store_phase phase, const std::function<void()>& step) {
    bool waited = false;
    for (;;) {
        try {
            step();
            break;
        } catch (const io_error& e) {
            const auto reason = obstacle_of(e, phase);
            if (!reason || waits == nullptr || !waits->wait(*reason, e)) {
                throw;
            }
            waited = true;
        }
    }
    if (waited) {
        waits->on_resumed();
    }
}

void retry_opening(wait_policy& waits, const std::function<void()>& step) {
    retry(&waits, store_phase::opening, step);
}

} // namespace kingcupseam::storage
