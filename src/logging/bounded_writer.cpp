#include "logging/bounded_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <thread>

namespace kingcupseam::logging {

namespace {

// Longest wait before end_at() takes effect.
constexpr duration check_interval = std::chrono::milliseconds(20);

int to_poll_timeout(duration value) {
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

} // namespace

bool bounded_writer::write(std::string_view line) {
    if (torn_) {
        if (!write_all("\n")) {
            return false;
        }
        torn_ = false;
    }
    return write_all(line);
}

bool bounded_writer::write_all(std::string_view text) {
    while (!text.empty()) {
        if (!wait_for_room()) {
            return false;
        }
        // A pipe that is ready takes PIPE_BUF bytes without blocking, but not more.
        const ssize_t n = ::write(descriptor_, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (n > 0) {
            text.remove_prefix(static_cast<std::size_t>(n));
            torn_ = !text.empty();
        } else if (n < 0 && errno == EAGAIN && steady_now() < end_.load()) {
            std::this_thread::sleep_for(check_interval);
        } else if (n == 0 || errno != EINTR) {
            return false;
        }
    }
    return true;
}

bool bounded_writer::wait_for_room() const {
    for (;;) {
        const duration left =
            std::clamp<duration>(end_.load() - steady_now(), duration::zero(), check_interval);
        pollfd out{descriptor_, POLLOUT, 0};
        const int n = ::poll(&out, 1, to_poll_timeout(left));
        if (n > 0) {
            return (out.revents & POLLNVAL) == 0;
        }
        if ((n < 0 && errno != EINTR) || left == duration::zero()) {
            return false;
        }
    }
}

} // namespace kingcupseam::logging
