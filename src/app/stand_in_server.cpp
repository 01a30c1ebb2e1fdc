#include "app/stand_in_server.h"

#include <kingcupseam/error.h>

#include <http_parser.h>

#include <array>
#include <set>
#include <utility>

namespace kingcupseam::app {

namespace {

class connection;

struct shared_state {
    std::set<std::shared_ptr<connection>> open;
    std::set<std::shared_ptr<connection>> silent; ///< stay open, but do not count against max_connections
    stand_in_server::handler on_request;
};

class connection : public stand_in_connection, public std::enable_shared_from_this<connection> {
public:
    connection(asio::ip::tcp::socket socket, std::shared_ptr<shared_state> shared)
        : socket_(std::move(socket)), shared_(std::move(shared)) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        asio::error_code ec;
        socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    }

    void read() {
        if (silent_) {
            return;
        }
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const asio::error_code& ec, std::size_t n) { self->on_read(ec, n); });
    }
    void answer(const http_response& response, answer_damage damage) override;
    void reset() override;
    void silence() noexcept { silent_ = true; }
    void close();

private:
    void on_read(const asio::error_code& ec, std::size_t n);
    /// Parses the bytes received up to the end of one request, and passes that to the handler.
    void parse();
    /// Sends response_bytes_, then closes the connection or goes on to the next request.
    void write(bool close_after);

    static connection& connection_of(http_parser* parser) { return *static_cast<connection*>(parser->data); }
    static int on_url(http_parser* parser, const char* at, std::size_t n);
    static int on_field(http_parser* parser, const char* at, std::size_t n);
    static int on_value(http_parser* parser, const char* at, std::size_t n);
    static int on_body(http_parser* parser, const char* at, std::size_t n);
    static int on_complete(http_parser* parser);
    static const http_parser_settings& parser_callbacks();

    asio::ip::tcp::socket socket_;
    std::shared_ptr<shared_state> shared_;
    http_parser parser_{};
    http_request request_;
    std::string body_;
    std::array<char, 16384> buffer_{};
    std::string unparsed_;
    std::string response_bytes_;
    bool last_was_value_ = false; ///< the parser's last header callback was for a value, not a name
    bool request_complete_ = false;
    bool keep_alive_ = true;
    bool silent_ = false;
};

int connection::on_url(http_parser* parser, const char* at, std::size_t n) {
    connection_of(parser).request_.target.append(at, n);
    return 0;
}

int connection::on_field(http_parser* parser, const char* at, std::size_t n) {
    auto& it = connection_of(parser);
    if (it.last_was_value_ || it.request_.headers.empty()) {
        it.request_.headers.emplace_back();
    }
    it.last_was_value_ = false;
    it.request_.headers.back().first.append(at, n);
    return 0;
}

int connection::on_value(http_parser* parser, const char* at, std::size_t n) {
    auto& it = connection_of(parser);
    it.last_was_value_ = true;
    it.request_.headers.back().second.append(at, n);
    return 0;
}

int connection::on_body(http_parser* parser, const char* at, std::size_t n) {
    connection_of(parser).body_.append(at, n);
    return 0;
}

int connection::on_complete(http_parser* parser) {
    auto& it = connection_of(parser);
    it.request_complete_ = true;
    it.keep_alive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1); // a pipelined request is parsed after the answer to this one
    return 0;
}

const http_parser_settings& connection::parser_callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings it{};
        it.on_url = &connection::on_url;
        it.on_header_field = &connection::on_field;
        it.on_header_value = &connection::on_value;
        it.on_body = &connection::on_body;
        it.on_message_complete = &connection::on_complete;
        return it;
    }();
    return settings;
}

void connection::on_read(const asio::error_code& ec, std::size_t n) {
    if (silent_) {
        return; // stays open, even when the peer has closed
    }
    if (ec) {
        close();
        return;
    }
    unparsed_.append(buffer_.data(), n);
    parse();
}

void connection::parse() {
    const std::size_t parsed =
        http_parser_execute(&parser_, &parser_callbacks(), unparsed_.data(), unparsed_.size());
    unparsed_.erase(0, parsed);
    if (request_complete_) {
        request_complete_ = false;
        http_parser_pause(&parser_, 0);
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        request_.body = std::exchange(body_, {});
        shared_->on_request(std::exchange(request_, {}), shared_from_this());
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        close();
    } else {
        read();
    }
}

void connection::answer(const http_response& response, answer_damage damage) {
    if (silent_ || !socket_.is_open()) {
        return;
    }
    response_bytes_ = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto& [name, value] : response.headers) {
        response_bytes_.append(name).append(": ").append(value).append("\r\n");
    }
    response_bytes_.append("Content-Length: ")
        .append(std::to_string(response.body.size()))
        .append("\r\n\r\n");
    const bool cut = damage == answer_damage::cut_off;
    response_bytes_.append(response.body, 0, cut ? response.body.size() / 2 : std::string::npos);
    write(cut || !keep_alive_);
}

void connection::write(bool close_after) {
    asio::async_write(socket_, asio::buffer(response_bytes_),
                      [self = shared_from_this(), close_after](const asio::error_code& ec, std::size_t) {
                          if (ec || close_after) {
                              self->close();
                          } else if (self->unparsed_.empty()) {
                              self->read();
                          } else {
                              self->parse();
                          }
                      });
}

void connection::reset() {
    asio::error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

void connection::close() {
    asio::error_code ec;
    socket_.close(ec);
    shared_->open.erase(shared_from_this());
}

} // namespace

struct stand_in_server::state : std::enable_shared_from_this<stand_in_server::state> {
    state(asio::io_context& context, const endpoint_address& listen, std::size_t limit, handler on_request)
        : acceptor(context), max_connections(limit), shared(std::make_shared<shared_state>()) {
        shared->on_request = std::move(on_request);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
        try {
            acceptor.open(endpoint.protocol());
            acceptor.set_option(asio::socket_base::reuse_address(true));
            acceptor.bind(endpoint);
            acceptor.listen();
        } catch (const asio::system_error& e) {
            throw io_error(to_string(listen), "listen", e.code().value());
        }
    }
    void accept() {
        acceptor.async_accept([self = shared_from_this()](const asio::error_code& ec, auto socket) {
            if (!ec) {
                self->on_accept(std::move(socket));
            }
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
    }
    void on_accept(asio::ip::tcp::socket socket) {
        if (shared->open.size() >= max_connections) {
            ++rejected; // the socket's destructor closes it
            return;
        }
        const auto it = std::make_shared<connection>(std::move(socket), shared);
        shared->open.insert(it);
        it->read();
    }

    asio::ip::tcp::acceptor acceptor;
    std::size_t max_connections;
    std::shared_ptr<shared_state> shared;
    std::uint64_t rejected = 0;
};

stand_in_server::stand_in_server(asio::io_context& context, const endpoint_address& listen,
                                 std::size_t max_connections, handler on_request)
    : state_(std::make_shared<state>(context, listen, max_connections, std::move(on_request))) {
    state_->accept();
}

stand_in_server::~stand_in_server() {
    asio::error_code ec;
    state_->acceptor.close(ec);
    for (const auto& it : std::set(state_->shared->open)) {
        it->close();
    }
    state_->shared->silent.clear();
}

void stand_in_server::silence_connections() {
    for (const auto& it : state_->shared->open) {
        it->silence();
    }
    state_->shared->silent.merge(state_->shared->open);
}

std::size_t stand_in_server::connections() const {
    return state_->shared->open.size();
}
std::uint64_t stand_in_server::rejected_connections() const {
    return state_->rejected;
}

} // namespace kingcupseam::app
