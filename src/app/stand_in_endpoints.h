#pragma once

#include "app/stand_in_server.h"
#include "app/stand_in_worker.h"

#include <deque>
#include <string>

namespace kingcupseam::app {

/// The HTTP interface of a stand-in: requests, grants, cancelling, health, load, faults and the report.
class stand_in_endpoints {
public:
    stand_in_endpoints(asio::io_context& context, const stand_in_options& settings);

    /// @param length duration of the fault; ignored for silent and crash
    void start_fault(fault_kind kind, duration length, double fraction);
    void drain() noexcept { draining_ = true; }
    bool holds_live_grant() const;
    /// Nothing runs or waits, and no key is granted any more.
    bool drained() const;

private:
    struct load_sample {
        time_point at;
        std::size_t in_flight = 0;
        std::size_t waiting = 0;
    };

    void handle(const http_request& request, const stand_in_connection_ptr& connection);
    void run(const http_request& request, const stand_in_connection_ptr& connection);
    void renew(const http_request& request, std::uint64_t epoch);
    void grant(const http_request& request, const stand_in_connection_ptr& connection);
    http_response control(const http_request& request);
    http_response cancel(const http_request& request);
    http_response health() const;
    http_response load();
    http_response fault(const http_request& request);
    http_response report() const;
    void sample_load();
    load_sample reported_load();

    asio::io_context& context_;
    const stand_in_options settings_;
    stand_in_worker worker_;
    stand_in_server server_;
    std::deque<load_sample> samples_;
    bool draining_ = false;
};

} // namespace kingcupseam::app
