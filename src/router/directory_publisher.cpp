#include "router/directory_publisher.h"

#include <directory_types.h>

#include <utility>

namespace kingcupseam::router {

namespace {

// Changes within this interval are sent in one update: after a restart every upstream registers within a
// second.
constexpr duration batch_interval = std::chrono::milliseconds(10);
// Updates that are sent before other work of the thread goes on: the compression of a large one for all
// entries may take longer than the leader's lease.
constexpr std::size_t max_updates_per_turn = 8;
// Smaller updates are compressed by the links alone.
constexpr std::size_t min_compressed_bytes = 4 * 1024;

} // namespace

void directory_publisher::subscribe(const std::shared_ptr<transport::connection>& peer,
                                    const directory_subscription& wanted) {
    subscribers_[peer->peer().id.name] = {peer, wanted.known_index, wanted.expands, wanted.number};
    has_new_subscriber_ = true;
    schedule_flush(batch_interval);
}

void directory_publisher::unsubscribe(const transport::connection& peer) {
    const auto known = subscribers_.find(peer.peer().id.name);
    if (known != subscribers_.end() && known->second.peer.lock().get() == &peer) {
        subscribers_.erase(known);
    }
}

void directory_publisher::publish(directory::snapshot_ptr current) {
    current_ = std::move(current);
    history_.add(current_);
    schedule_flush(batch_interval);
}

void directory_publisher::schedule_flush(duration delay) {
    if (scheduled_) {
        return;
    }
    scheduled_ = true;
    timer_.expires_after(delay);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            scheduled_ = false;
            try {
                flush();
            } catch (...) {
                schedule_flush(
                    batch_interval); // the subscribers after this one, and this one in the next round
                has_new_subscriber_ = true;
                throw;
            }
            if (round_left_ > 0) {
                schedule_flush(duration::zero());
            } else if (target_ != current_ || has_new_subscriber_) {
                schedule_flush(batch_interval);
            }
        }
    });
}

directory_publisher::update directory_publisher::make_update(const directory::snapshot* base) const {
    update result;
    result.plain = directory::encode_difference(base, *target_);
    if (result.plain.size() >= min_compressed_bytes) {
        result.compressed = transport::compress(result.plain);
    }
    return result;
}

void directory_publisher::confirm(transport::connection& peer, subscriber& to) const {
    wire::DirectorySubscribe confirmed;
    confirmed.known_index = static_cast<std::int64_t>(target_->index);
    confirmed.subscription = static_cast<std::int64_t>(std::exchange(to.unconfirmed, 0));
    peer.send({transport::frame_type::directory_subscribed, 0, transport::encode(confirmed)});
}

void directory_publisher::send(transport::connection& peer, const update& changes, bool expands) {
    if (expands && !changes.compressed.empty()) {
        peer.send({transport::frame_type::directory_update_compressed, 0, changes.compressed});
    } else {
        peer.send({transport::frame_type::directory_update, 0, changes.plain});
    }
}

const directory::snapshot* directory_publisher::find_state(std::uint64_t index) const {
    if (index != 0 && index == former_target_->index) {
        return former_target_.get();
    }
    return history_.contains(index) ? &history_.at(index) : nullptr;
}

void directory_publisher::send_target(transport::connection& peer, const subscriber& to) {
    std::uint64_t base = to.known_index;
    if (find_state(base) == nullptr) {
        if (!history_.contains(whole_index_) || whole_index_ < to.known_index) {
            whole_ = make_update(nullptr);
            whole_index_ = target_->index;
        }
        send(peer, whole_, to.expands);
        base = whole_index_;
    }
    if (base < target_->index) {
        auto known = updates_.find(base);
        if (known == updates_.end()) {
            known = updates_.emplace(base, make_update(find_state(base))).first;
        }
        send(peer, known->second, to.expands);
    }
}

void directory_publisher::flush() {
    const task_times::scope measured(task_times_, control_task::publish);
    if (round_left_ == 0) {
        // All entries get the same directory in a round, so that few updates are encoded.
        former_target_ = std::exchange(target_, current_);
        has_new_subscriber_ = false;
        updates_.clear();
        round_left_ = subscribers_.size();
    }
    std::size_t sent = 0;
    for (; round_left_ > 0 && !subscribers_.empty(); --round_left_) {
        auto it = subscribers_.upper_bound(last_visited_);
        if (it == subscribers_.end()) {
            it = subscribers_.begin();
        }
        const auto peer = it->second.peer.lock();
        const bool open = peer && peer->open();
        if (open && it->second.unconfirmed != 0) {
            confirm(*peer, it->second);
        }
        if (open && it->second.known_index < target_->index) {
            if (sent == max_updates_per_turn) {
                return;
            }
            last_visited_ = it->first; // a subscriber for which this fails does not hold up the others
            send_target(*peer, it->second);
            it->second.known_index = target_->index;
            ++sent;
        }
        last_visited_ = it->first;
        if (!open) {
            subscribers_.erase(it);
        }
    }
    round_left_ = 0;
}

} // namespace kingcupseam::router
