#include <kingcupseam/lifecycle.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace kingcupseam::lifecycle {

namespace {

constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_line_bytes = 1024; // a pipe takes it at once

std::array<char, max_name_bytes> process_name{};
std::size_t process_name_length = 0;

/// A line that is put together without allocations, for signal handlers.
class fixed_line {
public:
    void add(std::string_view text) noexcept {
        const std::size_t n = std::min(text.size(), buf_.size() - length_);
        std::copy_n(text.begin(), n, buf_.begin() + static_cast<std::ptrdiff_t>(length_));
        length_ += n;
    }
    /// Leaves out what would need an escape in JSON.
    void add_plain(std::string_view text) noexcept {
        for (const char it : text) {
            if (it >= ' ' && it != '"' && it != '\\') {
                add({&it, 1});
            }
        }
    }
    void add(int number) noexcept {
        constexpr int base = 10;
        if (number >= base) {
            add(number / base);
        }
        const char digit = static_cast<char>('0' + number % base);
        add({&digit, 1});
    }
    /// Drops the line if the reader is slow: the process must end all the same.
    void write() const noexcept {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
            [[maybe_unused]] const ssize_t n = ::write(STDOUT_FILENO, buf_.data(), length_);
        }
    }

private:
    std::array<char, max_line_bytes> buf_{};
    std::size_t length_ = 0;
};

void begin_line(fixed_line& out) noexcept {
    out.add(R"({"level":"critical","process":")");
    out.add_plain({process_name.data(), process_name_length});
    out.add(R"(","message":"process ended )");
}

void on_fatal_signal(int number) {
    const int saved = errno;
    fixed_line line;
    begin_line(line);
    line.add("signal=");
    line.add(number);
    line.add("\"}\n");
    line.write();
    errno = saved;
    // The handler is installed with SA_RESETHAND, so this ends the process.
    ::raise(number);
}

[[noreturn]] void on_terminate() {
    fixed_line line;
    begin_line(line);
    line.add("reason=exception problem=");
    try {
        if (const auto current = std::current_exception()) {
            std::rethrow_exception(current);
        }
        line.add("none");
    } catch (const std::exception& e) {
        line.add_plain(e.what());
    } catch (...) {
        line.add("unknown");
    }
    line.add("\"}\n");
    line.write();
    std::abort();
}

} // namespace

void log_fatal_ends(const std::string& name) {
    process_name_length = std::min(name.size(), process_name.size());
    std::copy_n(name.begin(), process_name_length, process_name.begin());
    std::set_terminate(on_terminate);
    for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
        struct sigaction current {};
        ::sigaction(number, nullptr, &current);
        if (current.sa_handler != SIG_DFL) {
            continue; // a sanitizer's handler tells more
        }
        struct sigaction wanted {};
        wanted.sa_handler = on_fatal_signal;
        wanted.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
        ::sigaction(number, &wanted, nullptr);
    }
}

} // namespace kingcupseam::lifecycle
