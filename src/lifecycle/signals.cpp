#include <kingcupseam/lifecycle.h>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>

namespace kingcupseam::lifecycle {

namespace {

std::atomic<bool> stop_requested_flag{false};

sigset_t held_signals() noexcept {
    sigset_t result;
    sigemptyset(&result);
    sigaddset(&result, SIGHUP);
    sigaddset(&result, SIGTERM);
    sigaddset(&result, SIGINT);
    return result;
}

} // namespace

stop_requested_error::stop_requested_error(const std::string& waited_for)
    : error("stopped while waiting for " + waited_for) {}

void hold_signals() noexcept {
    const sigset_t held = held_signals();
    ::pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

void accept_signals() noexcept {
    const sigset_t held = held_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
}

void report_write_errors() noexcept {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

void open_standard_streams() noexcept {
    for (const int it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(it, F_GETFD) < 0 && errno == EBADF) {
            ::open("/dev/null", O_RDWR); // gets the lowest descriptor that is free
        }
    }
}

void request_stop() noexcept {
    stop_requested_flag = true;
}

bool stop_requested() noexcept {
    sigset_t pending;
    sigemptyset(&pending);
    ::sigpending(&pending);
    return stop_requested_flag || sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

} // namespace kingcupseam::lifecycle
