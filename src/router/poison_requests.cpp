#include "router/poison_requests.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

// A crashed upstream is restarted, or replaced at its address, within this time.
constexpr duration max_restart_time = std::chrono::seconds(30);
// A crash interrupts at most as many requests as the upstream has slots. More interrupted requests than this
// have other causes.
constexpr std::size_t max_interrupted_requests = 256;
// A refused request that no leader lists any more is allowed again after this time.
constexpr duration refusal_retention = std::chrono::minutes(10);

using start_times = std::map<endpoint_address, std::int64_t>;

/// Start times of the listed upstreams, so that each address is found without a search through all of them.
start_times start_times_of(const directory::snapshot& state) {
    start_times result;
    for (const auto& [id, it] : state.upstreams) {
        result.emplace(it.address, it.incarnation.started_ms);
    }
    return result;
}

bool was_replaced(const directory::upstream& target, const directory::snapshot& state,
                  const start_times& by_address) {
    const auto same_id = state.upstreams.find(target.incarnation.id);
    if (same_id != state.upstreams.end() &&
        same_id->second.incarnation.started_ms > target.incarnation.started_ms) {
        return true;
    }
    const auto same_address = by_address.find(target.address);
    return same_address != by_address.end() && same_address->second > target.incarnation.started_ms;
}

} // namespace

void interrupted_requests::add(request_digest digest, const directory::upstream& target, time_point now) {
    if (records_.size() >= max_interrupted_requests) {
        records_.erase(records_.begin());
    }
    records_.push_back({digest, target, now});
}

std::vector<crash_report> interrupted_requests::take_crashes(const directory::snapshot& state,
                                                             time_point now) {
    std::vector<crash_report> result;
    if (records_.empty()) {
        return result;
    }
    const start_times by_address = start_times_of(state);
    std::erase_if(records_, [&](const record& it) {
        if (now - it.since > max_restart_time) {
            return true;
        }
        if (!was_replaced(it.target, state, by_address)) {
            return false;
        }
        result.push_back({it.digest, it.target.incarnation});
        return true;
    });
    return result;
}

bool poison_request_detector::on_crash(const crash_report& report, time_point now) {
    if (!records_.contains(report.digest)) {
        make_room();
    }
    record& known = records_[report.digest];
    known.last_crash = now;
    const bool added = known.crashed_upstreams.insert(report.upstream).second;
    return added && known.crashed_upstreams.size() == settings_.crash_limit;
}

void poison_request_detector::on_answered(request_digest digest) {
    const auto known = records_.find(digest);
    if (known != records_.end() && known->second.crashed_upstreams.size() < settings_.crash_limit) {
        records_.erase(known);
    }
}

void poison_request_detector::expire(time_point now) {
    std::erase_if(records_, [&](const auto& it) { return now - it.second.last_crash > settings_.retention; });
}

void poison_request_detector::make_room() {
    if (records_.size() < settings_.max_records) {
        return;
    }
    records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return a.second.last_crash < b.second.last_crash;
    }));
}

std::vector<poison_request> poison_request_detector::list() const {
    std::vector<poison_request> result;
    for (const auto& [digest, it] : records_) {
        result.push_back({digest, it.crashed_upstreams.size() >= settings_.crash_limit});
    }
    return result;
}

void known_poison_requests::update(const std::vector<poison_request>& listed, time_point now) {
    std::erase_if(records_, [&](const auto& it) {
        return !it.second.refused || now - it.second.last_listed > refusal_retention;
    });
    for (const auto& it : listed) {
        record& known = records_[it.digest];
        known.refused = known.refused || it.refused;
        known.last_listed = now;
    }
}

bool known_poison_requests::is_refused(request_digest digest, time_point now) const {
    const auto known = records_.find(digest);
    return known != records_.end() && known->second.refused &&
           now - known->second.last_listed <= refusal_retention;
}

bool known_poison_requests::needs_answer_report(request_digest digest) const {
    const auto known = records_.find(digest);
    return known != records_.end() && !known->second.refused;
}

} // namespace kingcupseam::router
