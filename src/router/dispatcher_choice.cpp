#include "router/dispatcher.h"
#include "router/in_flight_request.h"

// Selection of the service and the upstream of a request.

namespace kingcupseam::router {

namespace {

// Above any real cost: an upstream that failed is selected only when there is no other.
constexpr double unavailable_penalty = 1e12;

} // namespace

bool dispatcher::has_key_ranges(const std::string& service) const {
    if (!directory_->config) {
        return false;
    }
    const auto known = directory_->config->services.find(service);
    return known != directory_->config->services.end() && known->second.key_ranges;
}

upstream_use dispatcher::use_of(const std::string& service) const {
    return gates_ != nullptr && has_key_ranges(service) ? upstream_use::exclusive : upstream_use::shared;
}

const std::string* dispatcher::pick_service(const directory::route& route) {
    if (route.targets.size() == 1) {
        return &route.targets.front().service;
    }
    auto& credits = split_credits_[route.name];
    const std::string* best = nullptr;
    double total = 0;
    for (const auto& it : route.targets) {
        if (it.weight <= 0) {
            continue;
        }
        total += it.weight;
        double& credit = credits[it.service];
        credit += it.weight;
        if (best == nullptr || credit > credits[*best]) {
            best = &it.service;
        }
    }
    if (best != nullptr) {
        credits[*best] -= total;
    }
    return best;
}

upstream_queue* dispatcher::select_least_loaded(const request_ptr& it) {
    const time_point now = steady_now();
    struct choice {
        upstream_queue* queue = nullptr;
        double cost = 0;
    };
    choice local;
    choice remote;
    for (const auto& [id, candidate] : queues_) {
        if (candidate->target().service != it->service || !candidate->target().accepts_work()) {
            continue;
        }
        double cost = candidate->cost(now);
        if (candidate->stopped(now)) {
            continue;
        }
        if (now < candidate->ejected_until() || candidate->leaving() || id == it->last_failed_upstream) {
            cost += unavailable_penalty;
        }
        choice& best = candidate->target().data_center == settings_.data_center ? local : remote;
        if (best.queue == nullptr || cost < best.cost) {
            best = {candidate.get(), cost};
        }
    }
    if (local.queue == nullptr || remote.queue == nullptr) {
        return local.queue != nullptr ? local.queue : remote.queue;
    }
    const bool in_time = local.cost < unavailable_penalty && now + local.queue->expected_time_if_sent(now) <=
                                                                 it->arrived + it->route.target_latency;
    return in_time || local.cost <= remote.cost * settings_.remote_cost_factor ? local.queue : remote.queue;
}

upstream_queue* dispatcher::select_upstream(const request_ptr& it) {
    if (!it->keyed) {
        return select_least_loaded(it);
    }
    const auto* range = directory_->range_of(it->service, *it->request.key);
    if (range == nullptr) {
        return nullptr;
    }
    const auto* owner = directory_->find(range->owner);
    if (owner == nullptr || !owner->accepts_work()) {
        return nullptr;
    }
    const auto found = queues_.find(owner->incarnation.id);
    return found == queues_.end() ? nullptr : found->second.get();
}

} // namespace kingcupseam::router
