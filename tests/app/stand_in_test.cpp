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
    std::unique_ptr<stand_in_endpoints> stand_in;
    http_client client{context, {}};
    std::string token;

    void start() { stand_in = std::make_unique<stand_in_endpoints>(context, settings); }
    void run_for(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }
    /// Sends a call. The returned result is set when the call has ended.
    std::shared_ptr<std::optional<http_result>> send_call(const std::string& method, const std::string& path,
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
    http_result wait_for(const std::shared_ptr<std::optional<http_result>>& result) {
        const auto end = steady_now() + 2s;
        context.restart();
        while (!*result && steady_now() < end) {
            context.run_one_for(20ms);
        }
        REQUIRE(result->has_value());
        return **result;
    }
    /// Sends a grant as a gate does, with the token from the reply to the previous grant, and keeps the new
    /// token.
    http_result push_grant(const std::string& epoch, const std::string& version, const json& shards,
                           int lease_ms = 5000) {
        const json body{{"epoch", epoch},
                        {"version", version},
                        {"lease_ms", lease_ms},
                        {"token", token},
                        {"shards", shards}};
        auto result = wait_for(send_call("POST", "/kcs/grant", body.dump()));
        if (result.failure == http_failure::none) {
            token = json::parse(result.answer.body).at("token");
        }
        return result;
    }
    /// Grants all shards. Needs two grants: only the second carries a token of the stand-in, and the lease
    /// starts when that token was issued.
    void grant_all_shards() {
        push_grant("5", "1", json::array({{0, 99}}));
        push_grant("5", "1", json::array({{0, 99}}));
    }
    std::shared_ptr<std::optional<http_result>> send_request(const std::string& id,
                                                             const std::string& key = "k",
                                                             const std::string& deadline_ms = "10000") {
        return send_call("POST", "/registry/rafts/" + key + "/bookings", "body",
                         {{"Kingcupseam-Request-Id", id},
                          {"Kingcupseam-Service", "registry"},
                          {"Kingcupseam-Key", key},
                          {"Kingcupseam-Shard", "7"},
                          {"Kingcupseam-Epoch", "5"},
                          {"Kingcupseam-Deadline-Ms", deadline_ms},
                          {"Idempotency-Key", "key-of-" + id}});
    }
    /// Returns the state that the stand-in answers.
    json cancel_request(const std::string& id) {
        return json::parse(
                   wait_for(send_call("POST", "/kcs/cancel", json{{"request_id", id}}.dump())).answer.body)
            .at("state");
    }
    json fetch_report() {
        return json::parse(wait_for(send_call("GET", "/stand-in/report", "")).answer.body);
    }
    void start_fault(const std::string& query) {
        CHECK(wait_for(send_call("POST", "/stand-in/fault?" + query, "")).answer.status == 200);
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

// Guards against a stand-in that runs requests which a real upstream must refuse, or that acknowledges a
// revocation while a revoked request still runs.
TEST_CASE_FIXTURE(fixture, "a stand-in runs a request only under a live grant of its key") {
    SUBCASE("the answer echoes the request and counts the key's executions") {
        start();
        grant_all_shards();
        wait_for(send_request("r1"));
        const auto result = wait_for(send_request("r2"));
        CHECK(header_of(result, "kingcupseam-request-id") == "r2");
        CHECK(decode_answer(result.answer.body) ==
              stand_in_answer{"k", "key-of-r2", "POST", "/registry/rafts/k/bookings", "u1", 2});
    }
    SUBCASE("a grant without a token of the stand-in is not in force") {
        start();
        push_grant("5", "1", json::array({{0, 99}}));
        CHECK(wait_for(send_request("r1")).answer.status == 421);
        CHECK(fetch_report().at("started") == 0);
    }
    SUBCASE("a lease starts at the time its token was issued, and expires") {
        start();
        push_grant("5", "1", json::array({{0, 99}}));
        run_for(150ms);
        push_grant("5", "1", json::array({{0, 99}}), 100);
        CHECK(header_of(wait_for(send_request("r1")), "kingcupseam-not-started") == "grant");
    }
    SUBCASE("a grant of a lower epoch is refused, and the answer names the current epoch") {
        start();
        grant_all_shards();
        const auto result = push_grant("4", "9", json::array({{0, 99}}));
        CHECK(result.answer.status == 409);
        CHECK(json::parse(result.answer.body).at("epoch") == "5");
    }
    SUBCASE("without grant checks every request runs") {
        settings.checks_grants = false;
        start();
        CHECK(wait_for(send_request("r1")).answer.status == 200);
    }
    SUBCASE("a revocation is acknowledged only after the revoked run has ended") {
        start();
        grant_all_shards();
        const auto running = send_request("r1");
        run_for(10ms);
        const auto waiting = send_request("r2");
        run_for(10ms);
        const auto before = steady_now();
        CHECK(push_grant("6", "2", json::array()).answer.status == 200);
        CHECK(steady_now() - before >= 20ms);
        CHECK(wait_for(running).answer.status == 200);
        CHECK(wait_for(waiting).answer.status == 421);
        CHECK(fetch_report().at("started") == 1);
    }
}

// Guards against a stand-in that starts or queues more requests than it is configured to, or starts a request
// that was cancelled or is past its deadline.
TEST_CASE_FIXTURE(fixture, "a stand-in limits running and waiting requests") {
    start();
    grant_all_shards();
    const auto first = send_request("r1");
    run_for(10ms);
    SUBCASE("one request waits and the next is shed") {
        const auto second = send_request("r2");
        run_for(10ms);
        CHECK(header_of(wait_for(send_request("r3")), "kingcupseam-not-started") == "shed");
        CHECK(wait_for(first).answer.status == 200);
        CHECK(wait_for(second).answer.status == 200);
    }
    SUBCASE("a request whose deadline passes while it waits does not start") {
        const auto second = send_request("r2", "k", "20");
        CHECK(header_of(wait_for(second), "kingcupseam-not-started") == "deadline");
        CHECK(fetch_report().at("started") == 1);
    }
    SUBCASE("cancelling returns the state of the request, and one that has not started never starts") {
        const auto second = send_request("r2");
        run_for(10ms);
        CHECK(cancel_request("r1") == "running");
        CHECK(cancel_request("r2") == "cancelled");
        CHECK(cancel_request("r3") == "not-seen");
        CHECK(wait_for(second).answer.status == 503);
        CHECK(wait_for(first).answer.status == 200);
        CHECK(cancel_request("r1") == "finished");
        CHECK(wait_for(send_request("r3")).answer.status == 503);
        CHECK(fetch_report().at("started") == 1);
    }
    SUBCASE("the reported load and health are current") {
        CHECK(json::parse(wait_for(send_call("GET", "/kcs/load", "")).answer.body).at("in_flight") == 1);
        CHECK(json::parse(wait_for(send_call("GET", "/kcs/health", "")).answer.body).at("state") == "ok");
        wait_for(first);
    }
}

// Guards against a configured lag or factor of the load report that has no effect, so that experiments with
// unreliable load reports test nothing.
TEST_CASE_FIXTURE(fixture, "the reported load can be delayed and scaled") {
    settings.load_lag = 10s;
    settings.load_misreport = 5;
    SUBCASE("with a lag the report shows an earlier load") {
        start();
        grant_all_shards();
        const auto first = send_request("r1");
        run_for(10ms);
        CHECK(json::parse(wait_for(send_call("GET", "/kcs/load", "")).answer.body).at("in_flight") == 0);
    }
    SUBCASE("with a factor the report is scaled") {
        settings.load_lag = 0ms;
        start();
        grant_all_shards();
        const auto first = send_request("r1");
        run_for(10ms);
        CHECK(json::parse(wait_for(send_call("GET", "/kcs/load", "")).answer.body).at("in_flight") == 5);
    }
}

// Guards against a simulated fault that does not look to the caller like the real one, so that tests with it
// prove nothing.
TEST_CASE_FIXTURE(fixture, "the caller sees each simulated fault as it would see the real one") {
    start();
    grant_all_shards();
    SUBCASE("late answers come after the delay") {
        start_fault("kind=late&for_ms=1000");
        const auto before = steady_now();
        CHECK(wait_for(send_request("r1")).answer.status == 200);
        CHECK(steady_now() - before >= 200ms);
    }
    SUBCASE("crossed answers carry another request's id") {
        wait_for(send_request("r1"));
        start_fault("kind=crossed&for_ms=1000");
        CHECK(header_of(wait_for(send_request("r2")), "kingcupseam-request-id") == "r1");
    }
    SUBCASE("cut-off answers are shorter than their Content-Length") {
        start_fault("kind=cut-off&for_ms=1000");
        CHECK(wait_for(send_request("r1")).failure == http_failure::cut_off);
    }
    SUBCASE("a fault with the fraction 0 hits no answer, and a fault can be ended") {
        start_fault("kind=cut-off&for_ms=1000&fraction=0");
        CHECK(wait_for(send_request("r1")).failure == http_failure::none);
        start_fault("kind=cut-off&for_ms=1000");
        start_fault("kind=none");
        CHECK(wait_for(send_request("r2")).failure == http_failure::none);
    }
    SUBCASE("silenced connections never answer again, while new ones work") {
        wait_for(send_request("r1"));
        start_fault("kind=silent");
        CHECK(wait_for(send_request("r2")).failure == http_failure::timeout);
        CHECK(wait_for(send_request("r3")).failure == http_failure::none);
        CHECK(fetch_report().at("started") == 2);
    }
    SUBCASE("an unknown fault and an empty grant are refused") {
        CHECK(wait_for(send_call("POST", "/stand-in/fault?kind=burn", "")).answer.status == 400);
        CHECK(wait_for(send_call("POST", "/kcs/grant", "{}")).answer.status == 400);
    }
}

// Guards against a stand-in that accepts more connections than it announces.
TEST_CASE_FIXTURE(fixture, "a stand-in closes connections beyond its limit") {
    settings.max_connections = 1;
    start();
    grant_all_shards();
    const auto first = send_request("r1");
    run_for(10ms);
    CHECK(wait_for(send_request("r2")).failure != http_failure::none);
    CHECK(wait_for(first).answer.status == 200);
    CHECK(fetch_report().at("rejected_connections") == 1);
}

// Guards against records in which violations cannot be found, or which show violations that did not happen.
TEST_CASE_FIXTURE(fixture,
                  "the record of a stand-in shows runs without a grant and double runs, and only those") {
    settings.record =
        std::filesystem::temp_directory_path() / ("kcs-stand-in-" + std::to_string(::getpid())) / "u1";
    std::filesystem::create_directories(settings.record.parent_path());
    SUBCASE("a granted run is no violation") {
        start();
        grant_all_shards();
        wait_for(send_request("r1"));
        const auto found = judge_folder(settings.record.parent_path(), 100);
        CHECK(found.runs == 1);
        CHECK(found.runs_without_grant == 0);
        CHECK(found.double_runs == 0);
    }
    SUBCASE("unchecked runs without a grant, and a double run, are found") {
        settings.checks_grants = false;
        start();
        wait_for(send_request("r1"));
        wait_for(send_request("r1"));
        const auto found = judge_folder(settings.record.parent_path(), 100);
        CHECK(found.unchecked_runs_without_grant == 2);
        CHECK(found.double_runs == 1);
    }
    std::filesystem::remove_all(settings.record.parent_path());
}
