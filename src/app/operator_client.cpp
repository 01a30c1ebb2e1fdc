#include "app/operator_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <thread>

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

using curl_handle = std::unique_ptr<CURL, void (*)(CURL*)>;
using curl_header_list = std::unique_ptr<curl_slist, void (*)(curl_slist*)>;

std::size_t append_answer(char* data, std::size_t size, std::size_t count, void* target) {
    auto& body = *static_cast<std::string*>(target);
    if (body.size() + size * count > max_answer_bytes) {
        return 0; // makes libcurl fail the transfer
    }
    body.append(data, size * count);
    return size * count;
}

long to_milliseconds(duration value) {
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void set_request(CURL* curl, const std::string& url, const std::string* body, curl_slist* headers) {
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    // A proxy from the environment must not see the token.
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    if (body != nullptr) {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    }
}

void set_limits(CURL* curl, duration limit, std::string& received) {
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, to_milliseconds(std::min(limit, connect_timeout)));
    // 0 would mean no limit.
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     std::max(1L, to_milliseconds(std::min(limit, attempt_timeout))));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_answer);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received);
}

attempt try_once(const std::string& url, const std::string& token, const std::string* body, duration limit) {
    const curl_handle curl(curl_easy_init(), curl_easy_cleanup);
    const std::string authorization = "Authorization: Bearer " + token;
    curl_slist* lines = curl_slist_append(nullptr, authorization.c_str());
    lines = curl_slist_append(lines, "Content-Type: application/toml");
    lines = curl_slist_append(lines, "Expect:"); // the body is small: save the round trip of 100-continue
    const curl_header_list headers(lines, curl_slist_free_all);
    attempt result;
    set_request(curl.get(), url, body, headers.get());
    set_limits(curl.get(), limit, result.answer.body);
    const CURLcode code = curl_easy_perform(curl.get());
    if (code != CURLE_OK) {
        result.problem = curl_easy_strerror(code);
        return result;
    }
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &result.answer.status);
    if (result.answer.status == 503) {
        result.problem = "answered 503";
        return result;
    }
    result.answered = true;
    return result;
}

} // namespace

operator_client::operator_client(std::vector<endpoint_address> listeners, std::string token, duration timeout)
    : listeners_(std::move(listeners)), token_(std::move(token)), timeout_(timeout) {
    static const CURLcode init_code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (init_code != CURLE_OK) {
        throw operator_unreachable(curl_easy_strerror(init_code));
    }
}

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
