#include <doctest/doctest.h>

#include "app/http_client.h"
#include "app/run_judge.h"
#include "app/stand_in_answer.h"
#include "app/stand_in_endpoints.h"
#include "support/free_port.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <optional>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

stand_in_options default_options() {
    stand_in_options it;
    it.name = "u1";
    it.service = "registry";
    it.listen = {"127.0.0.1", test::free_port()};
    it.slots = 1;
    it.max_waiting = 1;
    it.service_time = 50ms;
    it.late_by = 150ms;
    return it;
}

struct fixture {
    asio::io_context context;
    stand_in_options settings = default_options();
    std::unique_ptr<stand_in_endpoints> upstream;
    http_client client{context, {}};
    std::string token;

    void start() { upstream = std::make_unique<stand_in_endpoints>(context, settings); }
    void run_for(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }
    /// Starts a call; its result is set when it has ended.
    std::shared_ptr<std::optional<http_result>> begin(const std::string& method, const std::string& path,
                                                      const std::string& body, header_list headers = {}) {
        http_call call;
        call.method = method;
        call.url = "http://" + to_string(settings.listen) + path;
        call.body = body;
        call.headers = std::move(headers);
        call.timeout = 400ms;
        auto result = std::make_shared<std::optional<http_result>>();
        client.send(call, [result](http_result it) { *result = std::move(it); });
        return result;
    }
    http_result wait(const std::shared_ptr<std::optional<http_result>>& result) {
        const auto end = steady_now() + 2s;
        context.restart();
        while (!*result && steady_now() < end) {
            context.run_one_for(20ms);
        }
        REQUIRE(result->has_value());
        return **result;
    }
    /// Pushes a grant as a gate does and keeps the token of the reply.
    http_result grant(const std::string& epoch, const std::string& version, const json& shards,
                      int lease_ms = 5000) {
        const json body{{"epoch", epoch},
                        {"version", version},
                        {"lease_ms", lease_ms},
                        {"token", token},
                        {"shards", shards}};
        auto result = wait(begin("POST", "/kcs/grant", body.dump()));
        if (result.failure == http_failure::none) {
            token = json::parse(result.answer.body).at("token");
        }
        return result;
    }
    void grant_all() {
        grant("5", "1", json::array({{0, 99}}));
        grant("5", "1", json::array({{0, 99}}));
    }
    std::shared_ptr<std::optional<http_result>> request(const std::string& id, const std::string& key = "k",
                                                        const std::string& deadline_ms = "10000") {
        return begin("POST", "/registry/rafts/" + key + "/bookings", "body",
                     {{"Kingcupseam-Request-Id", id},
                      {"Kingcupseam-Service", "registry"},
                      {"Kingcupseam-Key", key},
                      {"Kingcupseam-Shard", "7"},
                      {"Kingcupseam-Epoch", "5"},
                      {"Kingcupseam-Deadline-Ms", deadline_ms},
                      {"Idempotency-Key", "key-of-" + id}});
    }
    json cancel(const std::string& id) {
        return json::parse(wait(begin("POST", "/kcs/cancel", json{{"request_id", id}}.dump())).answer.body)
            .at("state");
    }
    json report() { return json::parse(wait(begin("GET", "/stand-in/report", "")).answer.body); }
    void fault(const std::string& query) {
        CHECK(wait(begin("POST", "/stand-in/fault?" + query, "")).answer.status == 200);
        run_for(20ms);
    }
};

std::string header_of(const http_result& result, const std::string& name) {
    for (const auto& [it, value] : result.answer.headers) {
        if (it == name) {
            return value;
        }
    }
    return {};
}

} // namespace

TEST_CASE_FIXTURE(fixture, "a stand-in runs a key only under a live grant") {
    SUBCASE("the answer echoes the request and counts the key's executions") {
        start();
        grant_all();
        wait(request("r1"));
        const auto result = wait(request("r2"));
        CHECK(header_of(result, "kingcupseam-request-id") == "r2");
        CHECK(decode_answer(result.answer.body) ==
              stand_in_answer{"k", "key-of-r2", "POST", "/registry/rafts/k/bookings", "u1", 2});
    }
    SUBCASE("the first token grants nothing") {
        start();
        grant("5", "1", json::array({{0, 99}}));
        CHECK(wait(request("r1")).answer.status == 421);
        CHECK(report().at("started") == 0);
    }
    SUBCASE("a lease counts from its token, and ends") {
        start();
        grant("5", "1", json::array({{0, 99}}));
        run_for(150ms);
        grant("5", "1", json::array({{0, 99}}), 100);
        CHECK(header_of(wait(request("r1")), "kingcupseam-not-started") == "grant");
    }
    SUBCASE("a lower epoch is refused with the higher one") {
        start();
        grant_all();
        const auto result = grant("4", "9", json::array({{0, 99}}));
        CHECK(result.answer.status == 409);
        CHECK(json::parse(result.answer.body).at("epoch") == "5");
    }
    SUBCASE("without checks it runs anything") {
        settings.checks_grants = false;
        start();
        CHECK(wait(request("r1")).answer.status == 200);
    }
    SUBCASE("a revocation is acknowledged only after the revoked run has ended") {
        start();
        grant_all();
        const auto running = request("r1");
        run_for(10ms);
        const auto waiting = request("r2");
        run_for(10ms);
        const auto before = steady_now();
        CHECK(grant("6", "2", json::array()).answer.status == 200);
        CHECK(steady_now() - before >= 20ms);
        CHECK(wait(running).answer.status == 200);
        CHECK(wait(waiting).answer.status == 421);
        CHECK(report().at("started") == 1);
    }
}

TEST_CASE_FIXTURE(fixture, "a stand-in bounds its work") {
    start();
    grant_all();
    const auto first = request("r1");
    run_for(10ms);
    SUBCASE("one waits and the next is shed") {
        const auto second = request("r2");
        run_for(10ms);
        CHECK(header_of(wait(request("r3")), "kingcupseam-not-started") == "shed");
        CHECK(wait(first).answer.status == 200);
        CHECK(wait(second).answer.status == 200);
    }
    SUBCASE("a request whose deadline passes while it waits does not start") {
        const auto second = request("r2", "k", "20");
        CHECK(header_of(wait(second), "kingcupseam-not-started") == "deadline");
        CHECK(report().at("started") == 1);
    }
    SUBCASE("cancelling tells where the request is, and it never starts after that") {
        const auto second = request("r2");
        run_for(10ms);
        CHECK(cancel("r1") == "running");
        CHECK(cancel("r2") == "cancelled");
        CHECK(cancel("r3") == "not-seen");
        CHECK(wait(second).answer.status == 503);
        CHECK(wait(first).answer.status == 200);
        CHECK(cancel("r1") == "finished");
        CHECK(wait(request("r3")).answer.status == 503);
        CHECK(report().at("started") == 1);
    }
    SUBCASE("its reports follow the work") {
        CHECK(json::parse(wait(begin("GET", "/kcs/load", "")).answer.body).at("in_flight") == 1);
        CHECK(json::parse(wait(begin("GET", "/kcs/health", "")).answer.body).at("state") == "ok");
        wait(first);
    }
}

TEST_CASE_FIXTURE(fixture, "reported load can lag and mislead") {
    settings.load_lag = 10s;
    settings.load_misreport = 5;
    SUBCASE("a lagging report shows the past") {
        start();
        grant_all();
        const auto first = request("r1");
        run_for(10ms);
        CHECK(json::parse(wait(begin("GET", "/kcs/load", "")).answer.body).at("in_flight") == 0);
    }
    SUBCASE("a misleading report is scaled") {
        settings.load_lag = 0ms;
        start();
        grant_all();
        const auto first = request("r1");
        run_for(10ms);
        CHECK(json::parse(wait(begin("GET", "/kcs/load", "")).answer.body).at("in_flight") == 5);
    }
}

TEST_CASE_FIXTURE(fixture, "each fault shows as it would at a real upstream") {
    start();
    grant_all();
    SUBCASE("late answers come after the delay") {
        fault("kind=late&for_ms=1000");
        const auto before = steady_now();
        CHECK(wait(request("r1")).answer.status == 200);
        CHECK(steady_now() - before >= 200ms);
    }
    SUBCASE("crossed answers carry another request's id") {
        wait(request("r1"));
        fault("kind=crossed&for_ms=1000");
        CHECK(header_of(wait(request("r2")), "kingcupseam-request-id") == "r1");
    }
    SUBCASE("cut-off answers are shorter than announced") {
        fault("kind=cut-off&for_ms=1000");
        CHECK(wait(request("r1")).failure == http_failure::cut_off);
    }
    SUBCASE("a fault can be ended and can hit no answer") {
        fault("kind=cut-off&for_ms=1000&fraction=0");
        CHECK(wait(request("r1")).failure == http_failure::none);
        fault("kind=cut-off&for_ms=1000");
        fault("kind=none");
        CHECK(wait(request("r2")).failure == http_failure::none);
    }
    SUBCASE("old connections go silent for good while new ones work") {
        wait(request("r1"));
        fault("kind=silent");
        CHECK(wait(request("r2")).failure == http_failure::timeout);
        CHECK(wait(request("r3")).failure == http_failure::none);
        CHECK(report().at("started") == 2);
    }
    SUBCASE("an unknown fault is refused") {
        CHECK(wait(begin("POST", "/stand-in/fault?kind=burn", "")).answer.status == 400);
        CHECK(wait(begin("POST", "/kcs/grant", "{}")).answer.status == 400);
    }
}

TEST_CASE_FIXTURE(fixture, "a stand-in closes connections beyond its limit") {
    settings.max_connections = 1;
    start();
    grant_all();
    const auto first = request("r1");
    run_for(10ms);
    CHECK(wait(request("r2")).failure != http_failure::none);
    CHECK(wait(first).answer.status == 200);
    CHECK(report().at("rejected_connections") == 1);
}

TEST_CASE_FIXTURE(fixture, "the record of a stand-in passes the judge, and shows a run without a grant") {
    settings.record =
        std::filesystem::temp_directory_path() / ("kcs-stand-in-" + std::to_string(::getpid())) / "u1";
    std::filesystem::create_directories(settings.record.parent_path());
    SUBCASE("granted runs") {
        start();
        grant_all();
        wait(request("r1"));
        const auto found = judge_folder(settings.record.parent_path(), 100);
        CHECK(found.runs == 1);
        CHECK(found.runs_without_grant == 0);
        CHECK(found.double_runs == 0);
    }
    SUBCASE("runs of an upstream that does not check") {
        settings.checks_grants = false;
        start();
        wait(request("r1"));
        wait(request("r1"));
        const auto found = judge_folder(settings.record.parent_path(), 100);
        CHECK(found.unchecked_runs_without_grant == 2);
        CHECK(found.double_runs == 1);
    }
    std::filesystem::remove_all(settings.record.parent_path());
}
