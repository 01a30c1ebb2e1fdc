#pragma once

#include "router/directory_history.h"
#include "router/task_times.h"

#include <kingcupseam/directory.h>
#include <kingcupseam/transport.h>

#include <asio.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace kingcupseam::router {

struct directory_subscription {
    /// Of the subscriber's directory; 0 when it has none. A subscriber that is ahead, as its former source
    /// was, gets nothing until publish() has passed this index.
    std::uint64_t known_index = 0;
    bool expands = false;     ///< takes compressed updates
    std::uint64_t number = 0; ///< sent before the first update; 0: not sent
};

/// Sends the directory to subscribed entries: the whole state to those that hold none or a long outdated one,
/// otherwise differences.
class directory_publisher {
public:
    directory_publisher(asio::io_context& context, task_times& measured)
        : timer_(context), task_times_(measured) {}

    /// Replaces an earlier subscription of the same peer.
    void subscribe(const std::shared_ptr<transport::connection>& peer, const directory_subscription& wanted);
    /// Does nothing if the peer has subscribed again on another connection.
    void unsubscribe(const transport::connection& peer);
    void publish(directory::snapshot_ptr current);
    std::size_t subscribers() const noexcept { return subscribers_.size(); }

private:
    struct subscriber {
        std::weak_ptr<transport::connection> peer;
        std::uint64_t known_index = 0; ///< of the directory that it holds or that was sent
        bool expands = false;
        std::uint64_t unconfirmed = 0; ///< number of the subscription until it is sent
    };
    struct update {
        std::string plain;
        std::string compressed; ///< empty for small updates
    };

    void schedule_flush(duration delay);
    /// Sends updates to some subscribers; round_left_ tells how many follow.
    void flush();
    /// Sends the number of the subscription and the index of the round's target.
    void confirm(transport::connection& peer, subscriber& to) const;
    static void send(transport::connection& peer, const update& changes, bool expands);
    /// Sends what the subscriber lacks of the round's target.
    void send_target(transport::connection& peer, const subscriber& to);
    /// @returns null if the state is not kept
    const directory::snapshot* find_state(std::uint64_t index) const;
    /// The update from @p base, or from nothing, to the round's target.
    update make_update(const directory::snapshot* base) const;

    asio::steady_timer timer_;
    task_times& task_times_;
    bool scheduled_ = false;
    directory::snapshot_ptr current_ = std::make_shared<const directory::snapshot>();
    directory::snapshot_ptr target_ = current_;        ///< sent to all subscribers in the current round
    directory::snapshot_ptr former_target_ = current_; ///< of the round before: subscribers hold it
    std::size_t round_left_ = 0;      ///< subscribers that the current round has not visited yet
    bool has_new_subscriber_ = false; ///< since the round began
    directory_history history_;
    std::map<std::uint64_t, update> updates_; ///< to the target, by index of the known one
    update whole_;                            ///< a recent directory for subscribers that hold none
    std::uint64_t whole_index_ = 0;
    std::map<std::string, subscriber> subscribers_; ///< by instance name
    std::string last_visited_; ///< subscriber after which the next turn begins, so that all get their turn
};

} // namespace kingcupseam::router
