#include "app/http_server.h"

#include "app/body_gate.h"
#include "transport/listener.h"

#include <kingcupseam/lifecycle.h>

#include <restinio/all.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <exception>
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
    using stream_socket_t = gated_socket;
    using connection_state_listener_t = close_listener;
    using request_handler_t =
        std::function<restinio::request_handling_status_t(std::shared_ptr<restinio::request_t>)>;
};

using connection_factory = restinio::impl::connection_factory_t<server_traits>;
using connection_settings = restinio::impl::connection_settings_t<server_traits>;

constexpr std::size_t max_header_count = 64;
constexpr std::size_t max_target_bytes = 8 * 1024;
// RESTinio closes a connection whose request is unanswered for this long. Longer than any deadline of a
// profile (60 s), so that the handler always answers first.
constexpr std::chrono::seconds handler_timeout{90};

constexpr int status_service_unavailable = 503;
// A refused caller comes back when the bodies before its own may have ended.
constexpr const char* retry_after_seconds = "0.5";

int on_body(http_parser* parser, const char* at, std::size_t n) {
    auto& context = *static_cast<restinio::impl::http_parser_ctx_t*>(parser->data);
    incoming_body* const it = gated_socket::parsed();
    if (it == nullptr) {
        return restinio::impl::restinio_body_cb(parser, at, n);
    }
    if (it->refused) {
        it->discarded += n;
        return it->discarded > context.m_limits.max_body_size() ? -1 : 0;
    }
    try {
        it->received = &context.m_body;
        it->gate->on_bytes(*it, n);
    } catch (const std::exception&) { // must not pass through the parser
        return -1;
    }
    return restinio::impl::restinio_body_cb(parser, at, n);
}

http_parser_settings make_parser_settings() {
    auto result = restinio::impl::create_parser_settings<server_traits::http_methods_mapper_t>();
    result.on_body = on_body;
    // RESTinio records each chunk, which takes up more memory than a short chunk itself.
    result.on_chunk_header = nullptr;
    return result;
}

/// What of a received request the handler keeps.
struct counted_request {
    restinio::request_handle_t request;
    std::shared_ptr<void> bytes; ///< gives them back
};

http_request to_http_request(const restinio::request_handle_t& handle) {
    const restinio::request_t& source = *handle;
    http_request result;
    result.method = source.header().method().c_str();
    result.target = source.header().request_target();
    source.header().for_each_field([&](const restinio::http_header_field_t& field) {
        result.headers.emplace_back(field.name(), field.value());
    });
    if (!source.body().empty()) {
        result.body = shared_bytes(std::shared_ptr<const std::string>(handle, &source.body()));
    }
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

void serve(restinio::request_handle_t request, const http_handler& handler) {
    // The handler may answer requests of other connections, which parses what they have sent since.
    if (incoming_body* const it = std::exchange(gated_socket::parsed(), nullptr)) {
        auto bytes = it->gate->complete(*it);
        if (std::exchange(it->refused, false)) {
            it->discarded = 0;
            send_response(request,
                          {status_service_unavailable, {{"Retry-After", retry_after_seconds}}, {}, false});
            return;
        }
        if (bytes) {
            const auto counted =
                std::make_shared<counted_request>(counted_request{std::move(request), std::move(bytes)});
            request = restinio::request_handle_t(counted, counted->request.get());
        }
    }
    handler(to_http_request(request),
            [request](http_response response) { send_response(request, std::move(response)); });
}

/// RESTinio ends a connection whose handler throws. What must end the process is thrown again outside of it.
void serve_or_pass_on(asio::io_context& context, const restinio::request_handle_t& request,
                      const http_handler& handler) {
    try {
        serve(request, handler);
    } catch (const std::exception& e) {
        if (lifecycle::scope_of(e) == lifecycle::failure_scope::process) {
            asio::post(context, [failure = std::current_exception()] { std::rethrow_exception(failure); });
        }
        throw;
    }
}

auto make_settings(asio::io_context& context, const http_server_options& options, http_handler handler) {
    return restinio::server_settings_t<server_traits>{}
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
        .request_handler([&context, handler = std::move(handler)](const restinio::request_handle_t& request) {
            serve_or_pass_on(context, request, handler);
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

// Connections are RESTinio's. Its acceptor stops for good after one connection that could not be accepted, so
// the listener is the project's.
struct http_server::state : std::enable_shared_from_this<http_server::state> {
    void open(asio::io_context& context, const http_server_options& options, http_handler handler);
    void on_connection(asio::ip::tcp::socket socket);

    std::shared_ptr<body_gate> bodies;
    std::shared_ptr<server_traits::timer_manager_t> timer_manager;
    std::unique_ptr<connection_factory> factory;
    std::unique_ptr<transport::listener> accepting;
};

void http_server::state::open(asio::io_context& context, const http_server_options& options,
                              http_handler handler) {
    bodies = options.bodies;
    auto settings = make_settings(context, options, std::move(handler));
    timer_manager = settings.timer_factory()->create(context);
    timer_manager->start();
    factory = std::make_unique<connection_factory>(
        std::make_shared<connection_settings>(settings, make_parser_settings(), timer_manager),
        settings.socket_options_setter());
    accepting = std::make_unique<transport::listener>(
        context, transport::listener_options{options.name, options.listen, options.max_connections},
        [this](asio::ip::tcp::socket socket) { on_connection(std::move(socket)); });
}

void http_server::state::on_connection(asio::ip::tcp::socket socket) {
    // Connections may outlive the server.
    const std::shared_ptr<void> slot(nullptr, [weak = weak_from_this()](void*) {
        if (const auto it = weak.lock()) {
            it->accepting->connection_closed();
        }
    });
    try {
        const auto remote = socket.remote_endpoint();
        factory->create_new_connection(gated_socket(std::move(socket), bodies, slot), remote, {nullptr})
            ->init();
    } catch (const std::exception& e) { // for example the peer has reset it
        spdlog::debug("connection not served problem=\"{}\"", e.what());
    }
}

http_server::http_server(asio::io_context& context, const http_server_options& settings, http_handler handler)
    : state_(std::make_shared<state>()) {
    state_->open(context, settings, std::move(handler));
}

http_server::~http_server() {
    state_->timer_manager->stop();
    if (state_->bodies) {
        state_->bodies->stop();
    }
}

void http_server::stop_accepting() {
    state_->accepting->close();
}

bool http_server::accepting() const {
    return state_->accepting->accepting();
}

} // namespace kingcupseam::app
