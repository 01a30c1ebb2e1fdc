#include "app/http_transfer.h"

#include "app/answer_syntax.h"

#include <kingcupseam/error.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

namespace kingcupseam::app {

namespace {

constexpr std::string_view scheme = "http://";

std::string host_of(const std::string& url) {
    if (url.compare(0, scheme.size(), scheme) != 0) {
        throw invalid_input("http call", "url", "must begin with http://");
    }
    const auto end = url.find_first_of("/?", scheme.size());
    return url.substr(scheme.size(), end == std::string::npos ? end : end - scheme.size());
}

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 && c != '\t'; });
}

/// Prevents header injection: a line break in a name or value would add headers or a whole request.
void check_headers(const header_list& headers) {
    for (const auto& [name, value] : headers) {
        if (name.empty() || name.find_first_of(": \t") != std::string::npos || has_control_character(name)) {
            throw invalid_input("http call", "header", "is not a valid header name");
        }
        if (has_control_character(value)) {
            throw invalid_input("http call", name, "must not contain control characters");
        }
    }
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

bool has_header(const header_list& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(),
                       [&](const auto& it) { return lower_case(it.first) == name; });
}

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

long milliseconds(duration value) {
    return std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

} // namespace

http_transfer::http_transfer(std::uint64_t id, http_call call, std::function<void(http_result)> done,
                             std::size_t max_response_bytes)
    : id_(id), call_(std::move(call)), done_(std::move(done)), max_response_bytes_(max_response_bytes),
      host_(host_of(call_.url)) {
    check_headers(call_.headers);
}

void http_transfer::prepare(curl_easy_ptr handle, socket_owner& sockets) {
    handle_ = std::move(handle);
    sockets_ = &sockets;
    curl_easy_setopt(handle_.get(), CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle_.get(), CURLOPT_URL, call_.url.c_str());
    curl_easy_setopt(handle_.get(), CURLOPT_PATH_AS_IS, 1L);
    set_method_and_body();
    set_headers();
    set_connection_options(sockets);
    set_callbacks();
}

void http_transfer::set_method_and_body() {
    CURL* h = handle_.get();
    if (call_.method == "HEAD") {
        curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!call_.body.empty() || call_.method == "POST" || call_.method == "PUT" || call_.method == "PATCH") {
        curl_easy_setopt(h, CURLOPT_POST, 1L);
        curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call_.body.size()));
        curl_easy_setopt(h, CURLOPT_POSTFIELDS, call_.body.c_str());
    }
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
}

void http_transfer::set_headers() {
    curl_slist* list = nullptr;
    for (const auto& [name, value] : call_.headers) {
        std::string line = name;
        line += value.empty() ? ";" : ": "; // libcurl sends a header without a value only when it ends in ';'
        line += value;
        list = curl_slist_append(list, line.c_str());
    }
    // "Name:" without a value removes a header that libcurl would otherwise add.
    list = curl_slist_append(list, "Expect:");
    if (!has_header(call_.headers, "content-type")) {
        list = curl_slist_append(list, "Content-Type:");
    }
    headers_.reset(list);
    curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, headers_.get());
}

void http_transfer::set_connection_options(socket_owner& sockets) {
    CURL* h = handle_.get();
    curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(h, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(h, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(h, CURLOPT_PROXY, ""); // also disables the environment variable http_proxy
    curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(call_.connect_timeout));
    curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, call_.fresh_connection ? 1L : 0L);
    curl_easy_setopt(h, CURLOPT_FORBID_REUSE, call_.fresh_connection ? 1L : 0L);
    curl_easy_setopt(h, CURLOPT_OPENSOCKETFUNCTION, &http_transfer::on_open_socket);
    curl_easy_setopt(h, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, &http_transfer::on_close_socket);
    curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, &sockets);
}

void http_transfer::set_callbacks() {
    CURL* h = handle_.get();
    curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    curl_easy_setopt(h, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(h, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, &http_transfer::on_before_request);
    curl_easy_setopt(h, CURLOPT_PREREQDATA, this);
}

http_result http_transfer::finish(CURLcode code) {
    http_result result;
    result.connected = attempts_ > 0;
    if (code == CURLE_OK && answer_is_complete()) {
        long status = 0;
        curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
        answer_.status = static_cast<int>(status);
        result.answer = std::move(answer_);
        return result;
    }
    result.failure = any_byte_sent() ? failure_after_sending(code) : failure_before_sending();
    return result;
}

http_result http_transfer::abandon(http_failure reason) {
    http_result result;
    result.connected = attempts_ > 0;
    const bool unsent = reason == http_failure::timeout && !any_byte_sent();
    result.failure = unsent ? failure_before_sending() : reason;
    return result;
}

/// libcurl increases CURLINFO_REQUEST_SIZE after each successful write of the request's headers, which
/// precede the body, and does not reset it when it retries on another connection. Zero therefore means that
/// no write succeeded.
bool http_transfer::any_byte_sent() const {
    long bytes = 0;
    return !handle_
               ? false
               : curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &bytes) != CURLE_OK || bytes > 0;
}

/// libcurl reports success when the connection closes within the headers. Nor can it tell whether a body
/// without a length is complete when the connection closes.
bool http_transfer::answer_is_complete() const {
    long status = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
    const bool bodyless = call_.method == "HEAD" || status == 204 || status == 304;
    return headers_complete_ && (length_known_ || bodyless);
}

http_failure http_transfer::failure_before_sending() const {
    return attempts_ == 0 && socket_opened_ ? http_failure::not_connected : http_failure::not_sent;
}

http_failure http_transfer::failure_after_sending(CURLcode code) const {
    switch (code) {
    case CURLE_OK: // but incomplete, see answer_is_complete()
    case CURLE_PARTIAL_FILE:
        return http_failure::cut_off;
    case CURLE_OPERATION_TIMEDOUT:
        return http_failure::timeout;
    default:
        return http_failure::broken;
    }
}

bool http_transfer::on_header_line(std::string_view line) {
    if (line.starts_with("HTTP/")) { // the final answer may follow a 1xx
        answer_.headers.clear();
        headers_complete_ = false;
        length_known_ = false;
        return is_status_line(line);
    }
    if (line == "\r\n" || line == "\n") {
        headers_complete_ = true;
        return true;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return false;
    }
    auto name = lower_case(std::string(line.substr(0, colon)));
    auto value = trimmed(line.substr(colon + 1));
    if (!is_field_value(value)) {
        return false;
    }
    if (headers_complete_) { // a trailer of a chunked body
        return true;
    }
    const bool unambiguous = on_framing_field(name, value);
    answer_.headers.emplace_back(std::move(name), std::move(value));
    return unambiguous;
}

bool http_transfer::on_framing_field(const std::string& name, const std::string& value) {
    const bool coding = name == "transfer-encoding";
    if (!coding && name != "content-length") {
        return true;
    }
    const bool first = !std::exchange(length_known_, true);
    return first && (coding ? is_chunked_coding(value) : is_content_length(value));
}

std::size_t http_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self) {
    auto& it = *static_cast<http_transfer*>(self);
    const std::size_t n = size * count;
    it.received_bytes_ += n;
    if (it.received_bytes_ > it.max_response_bytes_) {
        return 0; // libcurl then ends the transfer and closes the connection
    }
    return it.on_header_line(std::string_view(data, n)) ? n : 0;
}

std::size_t http_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self) {
    auto& it = *static_cast<http_transfer*>(self);
    const std::size_t n = size * count;
    it.received_bytes_ += n;
    if (it.received_bytes_ > it.max_response_bytes_) {
        return 0;
    }
    it.answer_.body.append(data, n);
    return n;
}

/// When a reused connection closes without an answer, libcurl retries the request by itself, which could run
/// an at-most-once request twice. libcurl calls this function before each attempt; it aborts the second one.
int http_transfer::on_before_request(void* self, char* /*remote*/, char* /*local*/, int /*remote_port*/,
                                     int /*local_port*/) {
    auto& it = *static_cast<http_transfer*>(self);
    ++it.attempts_;
    return it.attempts_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

curl_socket_t http_transfer::on_open_socket(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    auto& it = *static_cast<http_transfer*>(self);
    if (it.attempts_ > 0) { // libcurl opens a further socket only to retry, see on_before_request()
        return CURL_SOCKET_BAD;
    }
    it.socket_opened_ = true;
    return it.sockets_->open_socket(*address);
}

int http_transfer::on_close_socket(void* owner, curl_socket_t fd) {
    static_cast<socket_owner*>(owner)->close_socket(fd);
    return 0;
}

} // namespace kingcupseam::app
