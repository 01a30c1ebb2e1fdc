#pragma once

#include "app/http_client.h"
#include "app/stand_in_options.h"

#include <asio.hpp>

#include <functional>

namespace kingcupseam::app {

/// Announces a stand-in to one instance after the other while it needs to be known.
class stand_in_announcer {
public:
    /// @param needed tells whether to announce now
    stand_in_announcer(asio::io_context& context, const stand_in_options& settings, std::uint64_t incarnation,
                       std::function<bool()> needed);

    void start() { tick(); }
    /// Announces `draining` from now on.
    void drain();

private:
    void tick();
    void announce();

    const stand_in_options settings_;
    std::uint64_t incarnation_;
    std::function<bool()> needed_;
    http_client client_;
    asio::steady_timer timer_;
    std::size_t next_instance_ = 0;
    bool draining_ = false;
};

} // namespace kingcupseam::app
