#include "router/crash_watch.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

// An upstream that crashed is back, or replaced at its address, within this time.
constexpr duration return_limit = std::chrono::seconds(30);
// A crash breaks as many requests as the upstream has slots; beyond this, connections break for other
// reasons.
constexpr std::size_t max_broken = 256;
// A refused request that no leader names any more is sent again after this time.
constexpr duration refusal_retention = std::chrono::minutes(10);

bool has_successor(const directory::upstream& target, const directory::snapshot& state) {
    const auto same_id = state.upstreams.find(target.incarnation.id);
    if (same_id != state.upstreams.end() &&
        same_id->second.incarnation.started_ms > target.incarnation.started_ms) {
        return true;
    }
    const auto* neighbour = state.find_by_address(target.address);
    return neighbour != nullptr && neighbour->incarnation.started_ms > target.incarnation.started_ms;
}

} // namespace

void broken_requests::add(request_digest digest, const directory::upstream& target, time_point now) {
    if (records_.size() >= max_broken) {
        records_.erase(records_.begin());
    }
    records_.push_back({digest, target, now});
}

std::vector<crashed_request> broken_requests::take_crashed(const directory::snapshot& state, time_point now) {
    std::vector<crashed_request> result;
    std::erase_if(records_, [&](const record& it) {
        if (now - it.since > return_limit) {
            return true;
        }
        if (!has_successor(it.target, state)) {
            return false;
        }
        result.push_back({it.digest, it.target.incarnation});
        return true;
    });
    return result;
}

bool crash_watch::on_crash(const crashed_request& report, time_point now) {
    if (!records_.contains(report.digest)) {
        make_room();
    }
    record& known = records_[report.digest];
    known.last_crash = now;
    const bool added = known.ended.insert(report.upstream).second;
    return added && known.ended.size() == settings_.crash_limit;
}

void crash_watch::on_survived(request_digest digest) {
    const auto known = records_.find(digest);
    if (known != records_.end() && known->second.ended.size() < settings_.crash_limit) {
        records_.erase(known);
    }
}

void crash_watch::expire(time_point now) {
    std::erase_if(records_, [&](const auto& it) { return now - it.second.last_crash > settings_.retention; });
}

void crash_watch::make_room() {
    if (records_.size() < settings_.max_requests) {
        return;
    }
    records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return a.second.last_crash < b.second.last_crash;
    }));
}

std::vector<watched_request> crash_watch::list() const {
    std::vector<watched_request> result;
    for (const auto& [digest, it] : records_) {
        result.push_back({digest, it.ended.size() >= settings_.crash_limit});
    }
    return result;
}

void watched_requests::update(const std::vector<watched_request>& named, time_point now) {
    std::erase_if(records_, [&](const auto& it) {
        return !it.second.refused || now - it.second.named > refusal_retention;
    });
    for (const auto& it : named) {
        record& known = records_[it.digest];
        known.refused = known.refused || it.refused;
        known.named = now;
    }
}

bool watched_requests::refuses(request_digest digest, time_point now) const {
    const auto known = records_.find(digest);
    return known != records_.end() && known->second.refused && now - known->second.named <= refusal_retention;
}

bool watched_requests::reports(request_digest digest) const {
    const auto known = records_.find(digest);
    return known != records_.end() && !known->second.refused;
}

} // namespace kingcupseam::router
