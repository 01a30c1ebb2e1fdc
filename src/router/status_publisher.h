#pragma once

#include "router/task_times.h"

#include <kingcupseam/transport.h>

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace kingcupseam::router {

/// Sends the status of a control instance to the entries. It names all entries, so it is encoded and
/// compressed once for all of them, and other work of the thread goes on between the entries that it is sent
/// to.
class status_publisher {
public:
    struct recipient {
        std::weak_ptr<transport::connection> peer;
        bool expands = false; ///< takes a compressed status
    };

    /// @param make_status encodes the present status
    status_publisher(asio::io_context& context, task_times& measured,
                     std::function<std::string()> make_status)
        : context_(context), task_times_(measured), make_status_(std::move(make_status)) {}

    /// Replaces an earlier connection of the same entry, and sends it the present status.
    void add(const std::shared_ptr<transport::connection>& peer, bool expands);
    /// Does nothing if the entry has another connection by now.
    void remove(const transport::connection& peer);
    /// Sends the status to all if it differs from the one that was sent to all last.
    void broadcast();
    /// The entries whose connections are open, by name.
    const std::map<std::string, recipient>& recipients();

private:
    void schedule_turn();
    void send_turn();
    void send_to(const recipient& to);

    asio::io_context& context_;
    task_times& task_times_;
    std::function<std::string()> make_status_;
    std::map<std::string, recipient> recipients_;
    std::set<std::string> due_; ///< entries that the present status has not been sent to
    std::string last_visited_;  ///< entry after which the next turn begins, so that all get their turn
    bool scheduled_ = false;
    bool outdated_ = false; ///< an entry came since the status was encoded
    std::string status_;
    std::string compressed_; ///< empty for a small status
    std::string last_broadcast_;
    /// Turns that were scheduled and not run do nothing once this is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kingcupseam::router
