#include <doctest/doctest.h>

#include "app/load_report.h"
#include "app/load_runner.h"
#include "app/stand_in_answer.h"
#include "support/free_port.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <set>
#include <thread>

using namespace kingcupseam;
using namespace kingcupseam::app;
using namespace std::chrono_literals;

namespace {

stand_in_answer correct_answer(const http_request& request) {
    const auto path = request.path();
    const auto first = path.find("key-");
    const auto key = path.substr(first, path.rfind('/') - first);
    return {key, request.header("Idempotency-Key"), request.method, path, "u1", 1};
}

http_response ran_response(const stand_in_answer& answer) {
    return {200, {{"Kingcupseam-Outcome", "ran"}}, encode_answer(answer, 256)};
}

http_response error_response(const std::string& outcome_name, const std::string& reason) {
    return {503, {{"Kingcupseam-Outcome", outcome_name}, {"Kingcupseam-Reason", reason}}, "{}"};
}

/// HTTP server in place of an instance; it answers with the handler of the test, on its own thread.
class fake_instance {
public:
    explicit fake_instance(std::function<http_response(const http_request&)> handler)
        : address{"127.0.0.1", test::free_port()},
          server_(context_, {.listen = address, .max_body_bytes = 65536},
                  [handler = std::move(handler)](const http_request& request, const http_reply& reply) {
                      reply(handler(request));
                  }),
          guard_(asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}
    ~fake_instance() {
        context_.stop();
        thread_.join();
    }
    fake_instance(const fake_instance&) = delete;
    fake_instance& operator=(const fake_instance&) = delete;

    const endpoint_address address;

private:
    asio::io_context context_{1};
    http_server server_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

load_options short_load(const endpoint_address& address) {
    load_options it;
    it.addresses = {address};
    it.rates = {100, 100, 100};
    it.length = 500ms;
    it.timeout = 300ms;
    it.late_after = {1s, 1s, 1s};
    it.keys = 100;
    return it;
}

const rank_results& results_of(const load_results& results, rank priority) {
    return results.ranks.at(static_cast<std::size_t>(priority));
}

} // namespace

// Guards against requests that are dropped from the report, counted under the wrong result, or not sent on to
// the next address.
TEST_CASE("the load runner counts the result and latency of each request per rank") {
    fake_instance instance([](const http_request& request) { return ran_response(correct_answer(request)); });
    auto settings = short_load(instance.address);
    SUBCASE("every request is answered correctly") {
        const auto results = load_runner(settings).run();
        for (const rank priority : all_ranks) {
            CHECK(results_of(results, priority).sent > 20);
            CHECK(results_of(results, priority).answered == results_of(results, priority).sent);
            CHECK(results_of(results, priority).latency->count() == results_of(results, priority).sent);
        }
        CHECK_FALSE(results.violated());
    }
    SUBCASE("the warm-up is not counted") {
        settings.warmup = 500ms;
        CHECK(results_of(load_runner(settings).run(), rank::urgent).sent == 0);
    }
    SUBCASE("a request goes to the next address when one refuses connections") {
        settings.addresses = {{"127.0.0.1", test::free_port()}, instance.address};
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::urgent).answered == results_of(results, rank::urgent).sent);
    }
    SUBCASE("requests are errors when every address refuses connections") {
        settings.addresses = {{"127.0.0.1", test::free_port()}};
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::urgent).errors == results_of(results, rank::urgent).sent);
    }
    SUBCASE("answers slower than late_after are late") {
        settings.late_after = {duration(1), 1s, 1s};
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::urgent).late == results_of(results, rank::urgent).sent);
        CHECK(results_of(results, rank::standard).late == 0);
    }
    SUBCASE("every report format contains the results") {
        const auto results = load_runner(settings).run();
        const auto json = nlohmann::json::parse(format_json_report(settings, results));
        CHECK(json.at("ranks").at("urgent").at("answered") == results_of(results, rank::urgent).answered);
        CHECK(format_table_report(results).find("deferrable") != std::string::npos);
        CHECK(format_csv_report(results).find("\nstandard,") != std::string::npos);
        CHECK(format_html_report(settings, results).find("<polyline") != std::string::npos);
    }
}

// Guards against a load tool that passes a run in which a guarantee was violated.
TEST_CASE("the load report shows violated guarantees") {
    SUBCASE("an answer to another request") {
        fake_instance instance([](const http_request& request) {
            auto answer = correct_answer(request);
            answer.idempotency_key = "another";
            return ran_response(answer);
        });
        const auto results = load_runner(short_load(instance.address)).run();
        CHECK(results_of(results, rank::urgent).wrong == results_of(results, rank::urgent).sent);
        CHECK(results_of(results, rank::urgent).answered == 0);
        CHECK(results.violated());
    }
    SUBCASE("a damaged body") {
        fake_instance instance([](const http_request& request) {
            auto response = ran_response(correct_answer(request));
            response.body.pop_back();
            return response;
        });
        CHECK(results_of(load_runner(short_load(instance.address)).run(), rank::standard).wrong > 0);
    }
    SUBCASE("two executions of one at-most-once request, seen in its answers") {
        std::atomic<std::uint64_t> executions = 0;
        fake_instance instance([&](const http_request& request) {
            auto answer = correct_answer(request);
            answer.executions = ++executions;
            return ran_response(answer);
        });
        auto settings = short_load(instance.address);
        settings.resend_fraction = 1;
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::standard).double_runs == results_of(results, rank::standard).sent);
        CHECK(results_of(results, rank::urgent).double_runs == 0);
        CHECK(results.violated());
    }
    SUBCASE("a request that ran although its caller was told not-run") {
        std::mutex mutex;
        std::set<std::string> seen;
        fake_instance instance([&](const http_request& request) {
            const std::lock_guard lock(mutex);
            seen.insert(request.header("Idempotency-Key"));
            return error_response("not-run", "queue-full");
        });
        auto results = load_runner(short_load(instance.address)).run();
        CHECK(results_of(results, rank::urgent).not_run.at("queue-full") ==
              results_of(results, rank::urgent).sent);
        CHECK_FALSE(results.violated());
        judgement found;
        found.runs_by_idempotency_key[*seen.begin()] = 1;
        results.add_judgement(found);
        CHECK(results.violated());
        CHECK(nlohmann::json::parse(format_json_report({}, results)).at("violated") == true);
    }
    SUBCASE("double owners and double runs in the records") {
        load_results results;
        judgement found;
        found.double_runs = 1;
        results.add_judgement(found);
        CHECK(results.violated());
        found.double_runs = 0;
        found.double_owners = 1;
        results.add_judgement(found);
        CHECK(results.violated());
        found.double_owners = 0;
        found.runs = 1;
        results.add_judgement(found);
        CHECK_FALSE(results.violated());
    }
}

// Guards against resends that are missing, carry another Idempotency-Key, or repeat an idempotent request.
TEST_CASE("at-most-once requests are resent with the same Idempotency-Key after an unknown outcome") {
    std::mutex mutex;
    std::map<std::string, int> attempts;
    fake_instance instance([&](const http_request& request) {
        const std::lock_guard lock(mutex);
        const int n = ++attempts[request.header("Idempotency-Key")];
        return n == 1 ? error_response("unknown", "gate-lost") : ran_response(correct_answer(request));
    });
    auto settings = short_load(instance.address);
    SUBCASE("with resends the second attempt is answered") {
        settings.resend_fraction = 1;
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::standard).answered == results_of(results, rank::standard).sent);
        CHECK(results_of(results, rank::standard).resent >= results_of(results, rank::standard).sent);
        CHECK(results_of(results, rank::urgent).unknown == results_of(results, rank::urgent).sent);
    }
    SUBCASE("without resends the outcome stays unknown") {
        const auto results = load_runner(settings).run();
        CHECK(results_of(results, rank::standard).unknown == results_of(results, rank::standard).sent);
    }
}
