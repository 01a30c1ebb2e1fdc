#include "app/http_server.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace kingcupseam::app {

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

namespace {

/// Reports closed connections to the owner of the server.
class close_listener {
public:
    explicit close_listener(std::function<void(std::uint64_t)> on_closed)
        : on_closed_(std::move(on_closed)) {}
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
        if (on_closed_ && restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            on_closed_(notice.connection_id());
        }
    }

private:
    std::function<void(std::uint64_t)> on_closed_;
};

struct server_traits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = close_listener;
    using request_handler_t =
        std::function<restinio::request_handling_status_t(std::shared_ptr<restinio::request_t>)>;
};

using restinio_server = restinio::http_server_t<server_traits>;

constexpr std::size_t max_header_count = 64;
constexpr std::size_t max_target_bytes = 8 * 1024;
// RESTinio closes a connection whose request is unanswered for this long. Longer than any deadline of a
// profile (60 s), so that the handler always answers first.
constexpr std::chrono::seconds handler_timeout{90};

http_request to_http_request(const restinio::request_t& source) {
    http_request result;
    result.method = source.header().method().c_str();
    result.target = source.header().request_target();
    source.header().for_each_field([&](const restinio::http_header_field_t& field) {
        result.headers.emplace_back(field.name(), field.value());
    });
    result.body = source.body();
    result.connection = source.connection_id();
    return result;
}

std::string find_header(const header_list& headers, const std::string& name) {
    for (const auto& [field, value] : headers) {
        if (equal_ignoring_case(field, name)) {
            return value;
        }
    }
    return {};
}

void send_response(const restinio::request_handle_t& request, http_response response) {
    auto builder = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, ""});
    for (auto& [name, value] : response.headers) {
        builder.append_header(std::move(name), std::move(value));
    }
    if (request->header().should_keep_alive() && !response.close) {
        builder.connection_keep_alive();
    } else {
        builder.connection_close();
    }
    builder.set_body(std::move(response.body));
    builder.done();
}

auto make_settings(const http_server_options& options, http_handler handler) {
    return restinio::server_settings_t<server_traits>{}
        .address(options.listen.ip)
        .port(options.listen.port)
        .max_pipelined_requests(options.max_pipelined)
        .read_next_http_message_timelimit(options.idle_timeout)
        .handle_request_timeout(handler_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_body_size(options.max_body_bytes)
                                      .max_field_count(max_header_count)
                                      .max_field_value_size(options.max_header_bytes)
                                      .max_url_size(max_target_bytes))
        .socket_options_setter(
            [](restinio::socket_options_t& it) { it.set_option(asio::ip::tcp::no_delay{true}); })
        .connection_state_listener(std::make_shared<close_listener>(options.on_connection_closed))
        .request_handler([handler = std::move(handler)](const restinio::request_handle_t& request) {
            handler(to_http_request(*request),
                    [request](http_response response) { send_response(request, std::move(response)); });
            return restinio::request_accepted();
        });
}

} // namespace

std::string http_request::path() const {
    return target.substr(0, target.find('?'));
}

std::string http_request::query(const std::string& name) const {
    const auto query_start = target.find('?');
    if (query_start == std::string::npos) {
        return {};
    }
    const auto parameters = restinio::try_parse_query<restinio::parse_query_traits::restinio_defaults>(
        std::string_view(target).substr(query_start + 1));
    if (!parameters || !parameters->has(name)) {
        return {};
    }
    return std::string((*parameters)[name]);
}

std::string http_request::header(const std::string& name) const {
    return find_header(headers, name);
}

std::string http_response::header(const std::string& name) const {
    return find_header(headers, name);
}

struct http_server::state {
    state(asio::io_context& context, const http_server_options& options, http_handler handler)
        : server(restinio::external_io_context(context), make_settings(options, std::move(handler))) {}

    restinio_server server;
};

http_server::http_server(asio::io_context& context, const http_server_options& settings, http_handler handler)
    : state_(std::make_unique<state>(context, settings, std::move(handler))) {
    state_->server.open_sync();
}

http_server::~http_server() = default;

void http_server::stop_accepting() {
    state_->server.close_sync();
}

} // namespace kingcupseam::app
