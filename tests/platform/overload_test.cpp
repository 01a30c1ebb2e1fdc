#include "dispatcher_harness.h"

#include <memory>
#include <vector>

namespace kingcupseam::platform::test {

namespace {

/// Upstream with one slot, whose service times vary by half around 40 ms.
class slow_upstream {
public:
    slow_upstream(asio::io_context& context, std::uint16_t port)
        : context_(context),
          server_(context, options(port), [this](const http_request& it, const auto& reply) {
              const duration service_time = milliseconds(20 + 40 * (arrivals++ % 2));
              auto timer = std::make_shared<asio::steady_timer>(context_, service_time);
              timer->async_wait([timer, it, reply](auto) { reply(signed_answer(it)); });
          }) {}

    int arrivals = 0;

private:
    static app::http_server_options options(std::uint16_t port) {
        app::http_server_options result;
        result.listen = {"127.0.0.1", port};
        return result;
    }

    asio::io_context& context_;
    app::http_server server_;
};

struct caller {
    time_point begun;
    time_point ended;
    std::optional<http_response> answer;
};

} // namespace

// Guards against a queue that stands at the target latency: under a load slightly above capacity, nearly
// every answer came a little late, and the entry went on so after the load had gone down.
TEST_CASE("a gate under overload answers in time most of what it answers") {
    harness it([](const http_request& request) { return signed_answer(request); });
    const std::uint16_t port = harness::first_port + 1;
    slow_upstream upstream(it.context, port);
    fake_gates gates;
    gates.gate.clear();
    it.under_test.set_gates(&gates);
    it.configure(true, 1, port);
    constexpr duration target_latency = milliseconds(400);
    constexpr duration interval = milliseconds(30); // four thirds of the capacity
    constexpr std::size_t requests = 130;

    std::vector<std::unique_ptr<caller>> callers;
    asio::steady_timer timer(it.context, steady_now());
    const std::function<void()> send_next = [&] {
        callers.push_back(std::make_unique<caller>());
        auto& sender = *callers.back();
        sender.begun = steady_now();
        http_request request;
        request.method = "GET";
        request.target = "/unsafe/1";
        request.connection = callers.size();
        request.headers = {{"Host", "h"},
                           {"X-Request-Id", "id-" + std::to_string(callers.size())},
                           {"X-Deadline-Ms", "1400"},
                           {"X-Shard-Key", "5"}};
        it.under_test.handle(std::move(request), [&sender](http_response answer) {
            sender.ended = steady_now();
            sender.answer = std::move(answer);
        });
        if (callers.size() < requests) {
            timer.expires_at(timer.expiry() + interval);
            timer.async_wait([&](auto) { send_next(); });
        }
    };
    send_next();
    it.run_until([&] { return callers.size() == requests && it.under_test.requests_in_flight() == 0; },
                 std::chrono::seconds(10));
    int in_time = 0;
    int late = 0;
    for (const auto& sender : callers) {
        if (sender->answer && sender->answer->status == 200) {
            ++(sender->ended - sender->begun <= target_latency ? in_time : late);
        }
    }
    CAPTURE(late);
    CHECK(in_time >= 4 * late);
    // Three quarters fit in, of which most are answered.
    CHECK(in_time + late >= static_cast<int>(requests) / 2);
}

} // namespace kingcupseam::platform::test
