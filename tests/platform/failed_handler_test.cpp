#include "platform/dispatcher_harness.h"

#include <new>

namespace kingcupseam::platform::test {

namespace {

/// The provider's protocol, which fails on the first answer of an upstream.
class failing_protocol final : public router::protocol_adapter {
public:
    std::string id_header() const override { return protocol_->id_header(); }
    router::caller_request read_request(http_request received) const override {
        return protocol_->read_request(std::move(received));
    }
    std::string write_attempt(const router::caller_request& request, const directory::upstream& target,
                              duration left) const override {
        return protocol_->write_attempt(request, target, left);
    }
    router::answer_metadata read_answer(const router::caller_request& request,
                                        const http_response& answer) const override {
        if (!std::exchange(failed_, true)) {
            throw std::bad_alloc();
        }
        return protocol_->read_answer(request, answer);
    }
    http_response write_answer(http_response answer) const override {
        return protocol_->write_answer(std::move(answer));
    }
    http_response write_readiness(bool ready) const override { return protocol_->write_readiness(ready); }
    std::string write_call(const key_ranges::call& call) const override {
        return protocol_->write_call(call);
    }
    std::string read_handover(const http_response& answer) const override {
        return protocol_->read_handover(answer);
    }
    void serve_control(http_request received, const app::http_reply& reply,
                       router::control_api& api) const override {
        protocol_->serve_control(std::move(received), reply, api);
    }

private:
    std::unique_ptr<router::protocol_adapter> protocol_ = make_provider_protocol();
    mutable bool failed_ = false;
};

/// Answers of the caller until @p limit, with the number of handlers that failed.
int run_past_failures(harness& it, duration limit) {
    int failures = 0;
    for (const time_point end = steady_now() + limit; !it.answer && steady_now() < end;) {
        try {
            it.context.restart();
            it.context.run_one_for(milliseconds(20));
        } catch (const std::bad_alloc&) {
            ++failures;
        }
    }
    return failures;
}

} // namespace

// Guards against a second run: 503 promises that the request has not run, and this one has.
TEST_CASE("a request whose answer could not be handled ends at its deadline, without a promise") {
    SUBCASE("that this entry sent") {
        harness it(signed_answer, std::make_unique<failing_protocol>());
        it.configure();
        it.start("/unsafe/1", milliseconds(300), it.answer);
        CHECK(run_past_failures(it, max_test_time) == 1);
        REQUIRE(it.answer);
        CHECK(it.answer->status == 504);
        CHECK(it.upstream.requests == 1);
    }
    SUBCASE("that another entry sent") {
        harness it(signed_answer, std::make_unique<failing_protocol>());
        fake_gates gates;
        it.under_test.set_gates(&gates);
        it.configure(true);
        it.start("/unsafe/1", milliseconds(300), it.answer);
        REQUIRE(gates.callbacks.size() == 1);
        asio::post(it.context, [&] {
            gates.callbacks[0]({router::routed_end::answered, signed_answer({}), {}, {"u", 1}});
        });
        CHECK(run_past_failures(it, max_test_time) == 1);
        REQUIRE(it.answer);
        CHECK(it.answer->status == 504);
        CHECK(it.upstream.requests == 0);
    }
}

} // namespace kingcupseam::platform::test
