#pragma once

#include "router/task_times.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/transport.h>

#include <asio.hpp>

#include <map>
#include <memory>
#include <string>

namespace kingcupseam::router {

/// Sends the directory to subscribed entries: the whole state once, then differences.
class directory_publisher {
public:
    directory_publisher(asio::io_context& context, task_times& measured)
        : timer_(context), task_times_(measured) {}

    /// @param known_index index of the subscriber's directory; 0 when it has none
    void subscribe(const std::shared_ptr<transport::connection>& peer, std::uint64_t known_index);
    void publish(directory::snapshot_ptr current);
    std::size_t subscribers() const noexcept { return subscribers_.size(); }

private:
    struct subscriber {
        std::weak_ptr<transport::connection> peer;
        directory::snapshot_ptr sent; ///< null before the first update
    };

    void flush();

    asio::steady_timer timer_;
    task_times& task_times_;
    bool scheduled_ = false;
    directory::snapshot_ptr current_ = std::make_shared<const directory::snapshot>();
    std::map<std::string, subscriber> subscribers_; ///< by instance name
};

} // namespace kingcupseam::router
