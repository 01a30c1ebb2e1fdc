#include <doctest/doctest.h>

#include <kingcupseam/error.h>

#include <cerrno>
#include <string>

TEST_CASE("a failure carries what the operator needs to find it") {
    SUBCASE("invalid input names the source and the field") {
        const kingcupseam::invalid_input e("node.toml", "listen.port", "must be 1 to 65535");
        CHECK(e.source() == "node.toml");
        CHECK(e.field() == "listen.port");
        CHECK(std::string(e.what()) == "node.toml: listen.port: must be 1 to 65535");
    }
    SUBCASE("an I/O error keeps the path and errno") {
        const kingcupseam::io_error e("/data/log", "fsync", ENOSPC);
        CHECK(e.path() == "/data/log");
        CHECK(e.code() == ENOSPC);
    }
}
