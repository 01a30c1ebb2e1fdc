#pragma once

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <string>

namespace kingcupseam::test {

/// A pipe that nobody reads unless drain() is called.
class unread_pipe {
public:
    unread_pipe() { REQUIRE(::pipe2(ends_.data(), O_CLOEXEC) == 0); }
    ~unread_pipe() {
        close_reader();
        ::close(ends_[1]);
    }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;

    int write_end() const noexcept { return ends_[1]; }
    /// Writes until the pipe has no room. Its other writers keep blocking writes.
    void fill() const {
        const std::string zeros(PIPE_BUF, '0');
        ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
        while (::write(ends_[1], zeros.data(), zeros.size()) > 0) {
        }
        ::fcntl(ends_[1], F_SETFL, 0);
    }
    /// @returns everything that the pipe holds
    std::string drain() const {
        std::string result;
        std::array<char, PIPE_BUF> buf{};
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        for (ssize_t n = 0; (n = ::read(ends_[0], buf.data(), buf.size())) > 0;) {
            result.append(buf.data(), static_cast<std::size_t>(n));
        }
        return result;
    }
    void close_reader() noexcept {
        if (ends_[0] >= 0) {
            ::close(ends_[0]);
            ends_[0] = -1;
        }
    }

private:
    std::array<int, 2> ends_{};
};

} // namespace kingcupseam::test
