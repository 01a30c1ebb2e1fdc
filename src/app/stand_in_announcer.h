#pragma once

#include "app/http_client.h"
#include "app/stand_in_options.h"

#include <asio.hpp>

#include <functional>

namespace kingcupseam::app {

/// Announces a stand-in periodically to the configured instances in turn.
class stand_in_announcer {
public:
    /// @param should_announce asked before each announcement until drain() is called
    stand_in_announcer(asio::io_context& context, const stand_in_options& settings, std::uint64_t incarnation,
                       std::function<bool()> should_announce);

    void start() { tick(); }
    /// Announces the state `draining` from now on, first at once.
    void drain();

private:
    void tick();
    void announce();

    const stand_in_options settings_;
    std::uint64_t incarnation_;
    std::function<bool()> should_announce_;
    http_client client_;
    asio::steady_timer timer_;
    std::size_t next_instance_ = 0;
    bool draining_ = false;
};

} // namespace kingcupseam::app
