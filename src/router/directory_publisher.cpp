#include "router/directory_publisher.h"

namespace kingcupseam::router {

namespace {

// Changes within this interval are sent in one update: after a restart every upstream registers within a
// second.
constexpr duration batch_interval = std::chrono::milliseconds(10);

} // namespace

void directory_publisher::subscribe(const std::shared_ptr<transport::connection>& peer,
                                    std::uint64_t known_index) {
    const bool same = known_index != 0 && known_index == current_->index;
    subscribers_[peer->peer().id.name] = {peer, same ? current_ : nullptr};
    flush();
}

void directory_publisher::publish(directory::snapshot_ptr current) {
    current_ = std::move(current);
    if (scheduled_) {
        return;
    }
    scheduled_ = true;
    timer_.expires_after(batch_interval);
    timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            scheduled_ = false;
            flush();
        }
    });
}

void directory_publisher::flush() {
    const task_times::scope measured(task_times_, control_task::publish);
    std::map<const directory::snapshot*, std::string> encoded; // by base state, which most subscribers share
    for (auto it = subscribers_.begin(); it != subscribers_.end();) {
        const auto peer = it->second.peer.lock();
        if (!peer || !peer->open()) {
            it = subscribers_.erase(it);
            continue;
        }
        if (it->second.sent != current_ && current_->index > 0) {
            auto& bytes = encoded[it->second.sent.get()];
            if (bytes.empty()) {
                bytes = directory::encode_difference(it->second.sent.get(), *current_);
            }
            peer->send({transport::frame_type::directory_update, 0, bytes});
            it->second.sent = current_;
        }
        ++it;
    }
}

} // namespace kingcupseam::router
