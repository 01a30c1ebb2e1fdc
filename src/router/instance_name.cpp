#include "router/instance_name.h"

#include <kingcupseam/error.h>
#include <kingcupseam/transport.h>

#include <asio.hpp>
#include <spdlog/spdlog.h>

namespace kingcupseam::router {

endpoint_address parse_instance_name(const std::string& name) {
    try {
        auto result = parse_endpoint("frame", "instance", name);
        asio::error_code ec;
        asio::ip::make_address_v4(result.ip, ec);
        if (!ec) {
            return result;
        }
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
    throw transport::malformed_frame("the name of an instance is not an IPv4 address and a port");
}

bool is_usable_seed(const std::string& ip) {
    asio::error_code ec;
    asio::ip::make_address(ip, ec);
    if (ec) {
        spdlog::warn("seed ignored ip={} problem=\"is not an IP address\"", ip);
    }
    return !ec;
}

} // namespace kingcupseam::router
