#include "app/operator_client.h"

#include "app/http_client.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <thread>
#include <utility>

namespace kingcupseam::app {

namespace {

constexpr std::size_t max_answer_bytes = 8'388'608;
constexpr duration connect_timeout = std::chrono::milliseconds(500);
constexpr duration attempt_timeout = std::chrono::seconds(5);
constexpr duration pause_between_rounds = std::chrono::milliseconds(100);

struct attempt {
    bool answered = false;
    operator_answer answer;
    std::string problem;
};

const char* problem_of(http_failure failure) {
    switch (failure) {
    case http_failure::not_connected:
    case http_failure::not_sent:
        return "not connected";
    case http_failure::timeout:
        return "no answer in time";
    case http_failure::cut_off:
        return "incomplete answer";
    default:
        return "connection broken, or malformed answer";
    }
}

http_result run_call(http_call call) {
    asio::io_context context;
    http_client client(context, {.max_response_bytes = max_answer_bytes});
    std::optional<http_result> result;
    client.send(std::move(call), [&](http_result it) { result = std::move(it); });
    while (!result) {
        context.run_one();
    }
    return std::move(*result);
}

attempt try_once(const std::string& url, const std::string& token, const std::string* body, duration limit) {
    http_call call;
    call.method = body != nullptr ? "POST" : "GET";
    call.url = url;
    call.headers = {{"Authorization", "Bearer " + token}, {"Content-Type", "application/toml"}};
    call.body = body != nullptr ? *body : std::string();
    call.timeout = std::min(limit, attempt_timeout);
    call.connect_timeout = std::min(limit, connect_timeout);
    http_result received = run_call(std::move(call));
    attempt result;
    if (received.failure != http_failure::none) {
        result.problem = problem_of(received.failure);
        return result;
    }
    result.answer = {received.answer.status, std::move(received.answer.body)};
    if (result.answer.status == 503) {
        result.problem = "answered 503";
        return result;
    }
    result.answered = true;
    return result;
}

} // namespace

operator_client::operator_client(std::vector<endpoint_address> listeners, std::string token, duration timeout)
    : listeners_(std::move(listeners)), token_(std::move(token)), timeout_(timeout) {}

operator_answer operator_client::get(const std::string& target) const {
    return send(target, nullptr);
}

operator_answer operator_client::post(const std::string& target, const std::string& body) const {
    return send(target, &body);
}

operator_answer operator_client::send(const std::string& target, const std::string* body) const {
    const time_point deadline = steady_now() + timeout_;
    std::string problems;
    while (true) {
        problems.clear();
        for (const auto& it : listeners_) {
            const duration remaining = deadline - steady_now();
            if (remaining <= duration::zero()) {
                break;
            }
            const attempt outcome = try_once("http://" + to_string(it) + target, token_, body, remaining);
            if (outcome.answered && (outcome.answer.status == 401 || outcome.answer.status == 403)) {
                throw token_refused(to_string(it) + " refused the operator token");
            }
            if (outcome.answered) {
                return outcome.answer;
            }
            problems += (problems.empty() ? "" : "; ") + to_string(it) + ": " + outcome.problem;
        }
        if (deadline - steady_now() <= pause_between_rounds) {
            throw operator_unreachable("no operator listener answered in time: " + problems);
        }
        std::this_thread::sleep_for(pause_between_rounds);
    }
}

std::string url_escape(const std::string& text) {
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
            result.push_back(c);
        } else {
            result += {'%', digits[byte >> 4], digits[byte & 15U]};
        }
    }
    return result;
}

} // namespace kingcupseam::app
