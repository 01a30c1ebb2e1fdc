#include "router/dispatcher.h"
#include "router/in_flight_request.h"

#include <spdlog/spdlog.h>

#include <utility>

// What the dispatcher learns from the directory, and what it reports to the leader.

namespace kingcupseam::router {

void dispatcher::set_directory(directory::snapshot_ptr held) {
    if (held->config != directory_->config) {
        routes_ = std::make_shared<const directory::route_index>(held->config);
    }
    directory_ = std::move(held);
    directory_updated_at_ = steady_now();
    report_crashes();
    std::vector<std::uint64_t> displaced;
    for (auto it = queues_.begin(); it != queues_.end();) {
        const auto* known = directory_->find(it->second->target().incarnation);
        if (known != nullptr && known->accepts_work()) {
            it->second->update(*known, use_of(known->service));
            ++it;
            continue;
        }
        while (const auto id = it->second->pop_any()) {
            displaced.push_back(*id);
        }
        client_.close_idle(it->second->target().address);
        send_timers_.erase(it->first);
        it = queues_.erase(it);
    }
    for (const auto& [id, it] : directory_->upstreams) {
        if (it.accepts_work() && !queues_.contains(id)) {
            queues_.emplace(id, std::make_unique<upstream_queue>(it, use_of(it.service)));
        }
    }
    update_gates();
    apply_limits();
    const auto waiting = std::exchange(waiting_for_owner_, {});
    for (const auto& it : waiting) {
        it->waiting_for_owner = false;
        it->wait_timer.cancel();
        dispatch(it);
    }
    for (const auto id : displaced) {
        if (const auto found = requests_.find(id); found != requests_.end()) {
            const request_ptr it = found->second;
            it->queued = false;
            dispatch(it);
        }
    }
}

void dispatcher::report_crashes() {
    for (auto& it : interrupted_.take_crashes(*directory_, steady_now())) {
        spdlog::warn("upstream ended with a request upstream={} digest={:016x}", it.upstream.id, it.digest);
        report_.crashed.push_back(std::move(it));
    }
}

traffic_report dispatcher::take_report() {
    report_.limits = limits_.take_new(steady_now());
    std::erase_if(leaving_, [&](const auto& it) {
        const auto* known = directory_->find(it);
        return known == nullptr || !known->accepts_work();
    });
    report_.leaving.assign(leaving_.begin(), leaving_.end());
    report_.directory_index = directory_->index;
    return std::exchange(report_, {});
}

} // namespace kingcupseam::router
