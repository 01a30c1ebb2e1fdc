#include <doctest/doctest.h>

#include "app/log_lines.h"
#include "app/operator_commands.h"
#include "support/temporary_folder.h"

#include <fstream>
#include <sstream>

using namespace kingcupseam;

namespace {

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result explain(const app::arguments& args) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = app::explain_command(args, out, err);
    return {code, out.str(), err.str()};
}

std::string line(const std::string& time, const std::string& process, const std::string& message) {
    return R"({"time":"2026-07-14T13:11:)" + time + R"(","level":"info","process":")" + process +
           R"(","message":")" + message + "\"}\n";
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against fields that are lost or cut at a quoted space, and other text that is taken for a log line.
TEST_CASE("a log line is parsed into time, process, event and fields") {
    const auto read = app::parse_log_line(
        R"(  43.5 edge-1 {"time":"2026-07-14T13:11:43.500","level":"warning","process":"edge-1","message":"disk full path=/a problem=\"no space left\""})");
    REQUIRE(read);
    CHECK(app::format_time_of_day(read->time) == "13:11:43.500");
    CHECK(read->process == "edge-1");
    CHECK(read->event == "disk full");
    CHECK(read->field("path") == "/a");
    CHECK(read->field("problem") == "no space left");
    CHECK(read->field("other").empty());

    SUBCASE("text that is not a log line is skipped") {
        CHECK_FALSE(app::parse_log_line(""));
        CHECK_FALSE(app::parse_log_line("terminate called"));
        CHECK_FALSE(app::parse_log_line("{\"time\":\"2026-07-14T13:11:43.500\""));
        CHECK_FALSE(app::parse_log_line("{\"time\":\"yesterday\",\"message\":\"\"}"));
        CHECK_FALSE(app::parse_log_line("[1, 2]"));
    }
}

// Guards against output that leaves out the lines of some processes: an engineer on call, who has the id of a
// failed request and the logs of all processes, would miss the cause.
TEST_CASE("explain merges the lines of all processes about a request") {
    const test::temporary_folder folder;
    const auto entry = folder.path() / "entry.log";
    const auto control = folder.path() / "control.log";
    std::ofstream(entry)
        << "started\n"
        << line("43.100", "entry-1", "gate lost name=10.0.0.2:7340")
        << line("43.400", "entry-1",
                "request id=a2 outcome=unknown status=502 reason=broken service=s upstream=u1 age_ms=90")
        << line("43.500", "entry-1",
                "request id=a1 outcome=unknown status=502 reason=broken service=s upstream=u1 age_ms=199")
        << line("43.600", "entry-1",
                "request id=a3 outcome=late service=s upstream=u2 age_ms=631 sent_ms_ago=600");
    std::ofstream(control) << line("44.900", "control-1", "upstream registered id=u1 started_ms=5 service=s")
                           << line("45.000", "control-1", "upstream registered id=u9 started_ms=5 service=s")
                           << line("43.450", "entry-2",
                                   "run cut id=a1 upstream=u1 reason=withdrawn sent_ms_ago=8 left_ms=577")
                           << line("43.460", "entry-2", "run cut id=a5 upstream=u7 reason=withdrawn")
                           << line("59.000", "control-1", "upstream departs id=u1");
    const app::arguments logs{entry.string(), control.string()};
    const auto explain_id = [&](const std::string& id) { return explain({id, logs[0], logs[1]}); };

    SUBCASE(
        "the output has the meaning of the reason, the upstream's other failures and its new registration") {
        const auto result = explain_id("a1");
        CHECK(result.code == app::exit_success);
        CHECK(contains(result.out, "13:11:43.500 entry-1"));
        CHECK(contains(result.out, "the connection to the upstream ended before the answer"));
        CHECK(contains(result.out, "other requests at u1: 1 broken"));
        CHECK(contains(result.out, "upstream registered id=u1"));
        CHECK(contains(result.out, "gate lost"));
        CHECK(contains(result.out, "run cut id=a1"));
        CHECK_FALSE(contains(result.out, "run cut id=a5"));
        CHECK_FALSE(contains(result.out, "id=u9"));
        CHECK_FALSE(contains(result.out, "departs"));
    }
    SUBCASE("a late answer is split into time before and after sending") {
        CHECK(contains(explain_id("a3").out, "31 ms before it was sent, 600 ms from there to the answer"));
    }
    SUBCASE("--window-ms widens the time around the request") {
        CHECK(contains(explain({"a1", logs[1], logs[0], "--window-ms", "20000"}).out, "departs"));
    }
    SUBCASE("an id that no line names is a failure") {
        const auto result = explain_id("a4");
        CHECK(result.code == app::exit_failure);
        CHECK(contains(result.err, "no line names the request a4"));
    }
    SUBCASE("an invalid command line or a missing file is an error") {
        CHECK(explain({"a1"}).code == app::exit_invalid_input);
        CHECK(explain({"a1", (folder.path() / "missing").string()}).code != app::exit_success);
        CHECK(contains(explain({"--help"}).out, "explain ID LOG..."));
    }
}
