#include "router/status_publisher.h"

#include <cstddef>
#include <utility>

namespace kingcupseam::router {

namespace {

// Sent before other work of the thread goes on: each costs a system call.
constexpr std::size_t max_statuses_per_turn = 8;
// Smaller ones are compressed by the links alone.
constexpr std::size_t min_compressed_bytes = 4 * 1024;

} // namespace

void status_publisher::add(const std::shared_ptr<transport::connection>& peer, bool expands) {
    const std::string& name = peer->peer().id.name;
    recipients_[name] = {peer, expands};
    due_.insert(name);
    outdated_ = true;
    schedule_turn();
}

void status_publisher::remove(const transport::connection& peer) {
    const auto known = recipients_.find(peer.peer().id.name);
    if (known != recipients_.end() && known->second.peer.lock().get() == &peer) {
        recipients_.erase(known);
    }
}

void status_publisher::broadcast() {
    const task_times::scope measured(task_times_, control_task::status);
    std::string next = make_status_();
    if (next == last_broadcast_) {
        return;
    }
    last_broadcast_ = next;
    status_ = std::move(next);
    compressed_.clear();
    outdated_ = false;
    for (const auto& [name, it] : recipients()) {
        due_.insert(name);
    }
    schedule_turn();
}

const std::map<std::string, status_publisher::recipient>& status_publisher::recipients() {
    std::erase_if(recipients_, [](const auto& it) {
        const auto peer = it.second.peer.lock();
        return !peer || !peer->open();
    });
    return recipients_;
}

void status_publisher::schedule_turn() {
    if (due_.empty() || std::exchange(scheduled_, true)) {
        return;
    }
    asio::post(context_, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.lock()) {
            return;
        }
        scheduled_ = false;
        try {
            send_turn();
        } catch (...) {
            schedule_turn(); // for the other entries
            throw;
        }
    });
}

void status_publisher::send_turn() {
    const task_times::scope measured(task_times_, control_task::status);
    if (std::exchange(outdated_, false)) {
        status_ = make_status_();
        compressed_.clear();
    }
    for (std::size_t sent = 0; !due_.empty() && sent < max_statuses_per_turn; ++sent) {
        auto next = due_.upper_bound(last_visited_);
        if (next == due_.end()) {
            next = due_.begin();
        }
        last_visited_ = *next;
        due_.erase(next); // an entry for which this fails does not hold up the others
        const auto found = recipients_.find(last_visited_);
        if (found != recipients_.end()) {
            send_to(found->second);
        }
    }
    schedule_turn();
}

void status_publisher::send_to(const recipient& to) {
    const auto peer = to.peer.lock();
    if (!peer || !peer->open()) {
        return;
    }
    if (!to.expands || status_.size() < min_compressed_bytes) {
        peer->send({transport::frame_type::control_status, 0, status_});
        return;
    }
    if (compressed_.empty()) {
        compressed_ = transport::compress(status_);
    }
    peer->send({transport::frame_type::control_status_compressed, 0, compressed_});
}

} // namespace kingcupseam::router
