#pragma once

#include "app/http_client.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupseam::app {

struct curl_easy_deleter {
    void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
};
struct curl_list_deleter {
    void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};
using curl_easy_ptr = std::unique_ptr<CURL, curl_easy_deleter>;
using curl_list_ptr = std::unique_ptr<curl_slist, curl_list_deleter>;

/// Opens and closes the sockets of libcurl's connections. A pooled connection outlives the transfer that
/// opened it, so its socket belongs to the client.
class socket_owner {
public:
    socket_owner() = default;
    socket_owner(const socket_owner&) = delete;
    socket_owner& operator=(const socket_owner&) = delete;
    virtual ~socket_owner() = default;
    virtual curl_socket_t open_socket(const curl_sockaddr& address) = 0;
    virtual void close_socket(curl_socket_t fd) = 0;
};

/// One call on one easy handle: sets its options, collects the answer and classifies how the transfer ended.
class http_transfer {
public:
    /// @throws invalid_input when the URL is not http:// or a header has a forbidden character
    http_transfer(std::uint64_t id, http_call call, std::function<void(http_result)> done,
                  std::size_t max_response_bytes);

    /// Takes over an easy handle without options and sets those of the call.
    void prepare(curl_easy_ptr handle, socket_owner& sockets);
    /// Returns the result of a transfer that libcurl ended with @p code.
    http_result finish(CURLcode code);
    /// Returns the result of a call that is ended before its transfer has finished, or before it has started.
    http_result abandon(http_failure reason);

    std::uint64_t id() const noexcept { return id_; }
    const http_call& call() const noexcept { return call_; }
    const std::string& host() const noexcept { return host_; }
    CURL* handle() const noexcept { return handle_.get(); }
    std::function<void(http_result)> release_callback() noexcept { return std::move(done_); }

private:
    void set_method_and_body();
    void set_headers();
    void set_connection_options(socket_owner& sockets);
    void set_callbacks();
    bool any_byte_sent() const;
    bool answer_is_complete() const;
    http_failure failure_before_sending() const;
    http_failure failure_after_sending(CURLcode code) const;
    /// @returns false if the line is malformed
    bool on_header_line(std::string_view line);
    /// @returns false if the field makes the length of the body ambiguous
    bool on_framing_field(const std::string& name, const std::string& value);

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
    static int on_before_request(void* self, char* remote, char* local, int remote_port, int local_port);
    static curl_socket_t on_open_socket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int on_close_socket(void* owner, curl_socket_t fd);

    std::uint64_t id_;
    http_call call_;
    std::function<void(http_result)> done_;
    std::size_t max_response_bytes_;
    std::string host_;
    socket_owner* sockets_ = nullptr;
    curl_easy_ptr handle_;
    curl_list_ptr headers_;
    http_response answer_;
    std::size_t received_bytes_ = 0;
    int attempts_ = 0;           ///< number of times that libcurl was about to write the request
    bool socket_opened_ = false; ///< a new connection was needed
    bool headers_complete_ = false;
    bool length_known_ = false; ///< by Content-Length or Transfer-Encoding
};

} // namespace kingcupseam::app
