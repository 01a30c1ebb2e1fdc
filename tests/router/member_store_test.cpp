#include "router/control_orders.h"
#include "support/temporary_folder.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <thread>

using namespace kingcupseam;
using namespace std::chrono_literals;

namespace {

/// Lets this process open no file until release().
class descriptor_shortage {
public:
    descriptor_shortage() {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &former_) == 0);
        const int lowest_free = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        ::close(lowest_free);
        rlimit limit = former_;
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    ~descriptor_shortage() { release(); }

    void release() const { ::setrlimit(RLIMIT_NOFILE, &former_); }

private:
    rlimit former_{};
};

} // namespace

// Guards against a founder that ends at its first start, or that starts as a new member and so never forms
// the group.
TEST_CASE("a founder that cannot create its files at once waits until it can") {
    const kingcupseam::test::temporary_folder folder;
    const auto data = folder.path() / "deep" / "data";
    const descriptor_shortage shortage;
    std::thread other([&] {
        std::this_thread::sleep_for(700ms);
        shortage.release();
    });
    const auto open = [&] { return router::open_member_store(data, true, "a:1", {"a:1"}); };
    std::uint64_t last = 0;
    CHECK_NOTHROW(last = open().store->last_index());
    other.join();
    CHECK(last == 1); // the first membership
    CHECK(open().self == consensus::member_id{"a:1", 0});
}
