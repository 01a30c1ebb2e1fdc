#pragma once

#include "app/stand_in_server.h"
#include "app/stand_in_worker.h"

#include <deque>
#include <string>

namespace kingcupseam::app {

/// The HTTP interface of a stand-in: requests to run, grants, cancellation, health, load, faults and the
/// report.
class stand_in_endpoints {
public:
    stand_in_endpoints(asio::io_context& context, const stand_in_options& settings);

    /// @param length how long the fault lasts; ignored for silent and crash
    void start_fault(fault_kind kind, duration length, double fraction);
    void drain() noexcept { draining_ = true; }
    bool holds_live_grant() const;
    /// True when no request runs or waits and no key is granted any more.
    bool drained() const;

private:
    struct load_sample {
        time_point at;
        std::size_t in_flight = 0;
        std::size_t waiting = 0;
    };

    void handle(const http_request& request, const stand_in_connection_ptr& connection);
    void submit_request(const http_request& request, const stand_in_connection_ptr& connection);
    /// Renews the held grant with the token and lease in the headers of a request.
    void renew_grant(const http_request& request, std::uint64_t epoch);
    void handle_grant(const http_request& request, const stand_in_connection_ptr& connection);
    /// Answers the control endpoints other than /kcs/grant, whose answer may have to wait.
    http_response handle_control(const http_request& request);
    http_response handle_cancel(const http_request& request);
    http_response handle_health() const;
    http_response handle_load();
    http_response handle_fault(const http_request& request);
    http_response handle_report() const;
    void sample_load();
    /// The load with the configured lag and factor.
    load_sample reported_load();

    asio::io_context& context_;
    const stand_in_options settings_;
    stand_in_worker worker_;
    stand_in_server server_;
    std::deque<load_sample> load_samples_;
    bool draining_ = false;
};

} // namespace kingcupseam::app
