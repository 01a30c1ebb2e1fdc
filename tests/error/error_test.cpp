#include <doctest/doctest.h>

#include <kingcupseam/error.h>

#include <cerrno>
#include <string>

// Guards against exceptions that lose the source, field, path or errno that an operator needs.
TEST_CASE("exceptions name the input or file that caused them") {
    SUBCASE("invalid_input has the source and the field") {
        const kingcupseam::invalid_input e("node.toml", "listen.port", "must be 1 to 65535");
        CHECK(e.source() == "node.toml");
        CHECK(e.field() == "listen.port");
        CHECK(std::string(e.what()) == "node.toml: listen.port: must be 1 to 65535");
    }
    SUBCASE("io_error has the path and errno") {
        const kingcupseam::io_error e("/data/log", "fsync", ENOSPC);
        CHECK(e.path() == "/data/log");
        CHECK(e.code() == ENOSPC);
    }
}
