#include "logging/bounded_writer.h"

#include "support/unread_pipe.h"

#include <kingcupseam/logging.h>

#include <sys/resource.h>

#include <csignal>
#include <thread>

namespace kingcupseam::logging {

using std::chrono::milliseconds;
using test::unread_pipe;

namespace {

constexpr duration long_time = std::chrono::seconds(5);

/// A thread that writes one line and keeps the result.
class writing_thread {
public:
    writing_thread(bounded_writer& writer, const std::string& line)
        : thread_([this, &writer, line] {
              written_ = writer.write(line);
              done_ = true;
          }) {}
    ~writing_thread() { join(); }
    bool done() const noexcept { return done_; }
    bool join() {
        if (thread_.joinable()) {
            thread_.join();
        }
        return written_;
    }

private:
    std::atomic<bool> written_{false};
    std::atomic<bool> done_{false};
    std::thread thread_;
};

} // namespace

// Guards against a log thread that can't be joined: write() to a full pipe returns when somebody reads it.
TEST_CASE("a writer to a full pipe waits for the reader until its end") {
    const unread_pipe output;
    output.fill();
    bounded_writer writer(output.write_end());
    SUBCASE("and writes the line once there is room") {
        writing_thread it(writer, "line\n");
        std::this_thread::sleep_for(milliseconds(50));
        CHECK_FALSE(it.done());
        std::string seen = output.drain();
        CHECK(it.join());
        seen += output.drain();
        CHECK(seen.ends_with("0line\n"));
    }
    SUBCASE("and drops the line when the end comes during the wait") {
        writing_thread it(writer, "line\n");
        std::this_thread::sleep_for(milliseconds(50));
        CHECK_FALSE(it.done());
        const time_point start = steady_now();
        writer.end_at(start + milliseconds(50));
        CHECK_FALSE(it.join());
        CHECK(steady_now() - start < long_time);
    }
    SUBCASE("and doesn't wait after its end, for any number of lines") {
        const time_point start = steady_now();
        writer.end_at(start + milliseconds(50));
        for (int n = 0; n < 1000; ++n) {
            CHECK_FALSE(writer.write("line\n"));
        }
        CHECK(steady_now() - start < long_time);
        SUBCASE("but writes what there is room for") {
            output.drain();
            CHECK(writer.write("line\n"));
            CHECK(output.drain() == "line\n");
        }
    }
}

// Guards against a write that blocks although the pipe was ready: it promises room for PIPE_BUF bytes only.
TEST_CASE("a line longer than the pipe is dropped in part at the end") {
    const unread_pipe output;
    bounded_writer writer(output.write_end());
    writer.end_at(steady_now() + milliseconds(50));
    const std::string line = std::string(1'000'000, 'a') + "\n";
    CHECK_FALSE(writer.write(line));
    CHECK(output.drain().find('\n') == std::string::npos);
    SUBCASE("and the next line is a line of its own") {
        CHECK(writer.write("next\n"));
        CHECK(output.drain() == "\nnext\n");
        CHECK(writer.write("third\n"));
        CHECK(output.drain() == "third\n");
    }
}

// Guards against changes of the file description, which the supervisor and other processes may share.
TEST_CASE("the output stays a blocking descriptor") {
    const unread_pipe output;
    bounded_writer writer(output.write_end());
    REQUIRE(writer.write("line\n"));
    CHECK((::fcntl(output.write_end(), F_GETFL) & O_NONBLOCK) == 0);
}

// Guards against a log thread that spins or waits forever on an output that others made non-blocking.
TEST_CASE("a non-blocking pipe that is full is treated like any other") {
    const unread_pipe output;
    output.fill();
    ::fcntl(output.write_end(), F_SETFL, O_NONBLOCK);
    bounded_writer writer(output.write_end());
    writer.end_at(steady_now() + milliseconds(50));
    CHECK_FALSE(writer.write("line\n"));
}

// Guards against waits for an output that takes nothing any more.
TEST_CASE("a write error drops the line at once") {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    const time_point start = steady_now();
    SUBCASE("when the reader has gone") {
        unread_pipe output;
        output.close_reader();
        CHECK_FALSE(bounded_writer(output.write_end()).write("line\n"));
    }
    SUBCASE("when the disk is full") {
        const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
        REQUIRE(full >= 0);
        CHECK_FALSE(bounded_writer(full).write("line\n"));
        ::close(full);
    }
    SUBCASE("when the file may not grow") {
        std::array<char, 32> name{"/tmp/kingcupseam-log-XXXXXX"};
        const int file = ::mkostemp(name.data(), O_CLOEXEC);
        REQUIRE(file >= 0);
        ::unlink(name.data());
        rlimit old{};
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &old) == 0);
        const rlimit limit{8, old.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
        bounded_writer writer(file);
        const bool first = writer.write("1234567\n");
        const bool second = writer.write("89\n");
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &old) == 0);
        CHECK(first);
        CHECK_FALSE(second);
        CHECK(writer.write("then\n"));
        ::close(file);
    }
    SUBCASE("when the descriptor is closed") {
        const int closed = ::fcntl(0, F_DUPFD_CLOEXEC, 0);
        REQUIRE(closed > 0);
        ::close(closed);
        CHECK_FALSE(bounded_writer(closed).write("line\n"));
    }
    CHECK(steady_now() - start < long_time);
}

} // namespace kingcupseam::logging
