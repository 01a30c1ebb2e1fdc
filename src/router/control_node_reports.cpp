#include "router/control_node.h"

#include "router/limit_codec.h"
#include "router/load_decay.h"

#include <directory_types.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

// Load and crash reports of entries, and the status that is sent to them.

namespace kingcupseam::router {

namespace {

using transport::decode;
using transport::encode;
using transport::frame_type;

// Service times vary between requests: about ten answers outweigh the former average.
constexpr double average_decay_per_answer = 0.92;
// Bounds of the speed relative to the service's median. The lower bound gives a slow upstream a few keys, so
// that its recovery is noticed.
constexpr double min_speed = 0.08;
constexpr double max_speed = 3.0;
// Entries report what they hold each 300 ms.
constexpr duration max_directory_lag = std::chrono::seconds(1);
/// Load that the requests of one second leave in key_loads, in the mean between two decays.
constexpr double load_per_rate = std::chrono::duration<double>(load_decay_interval).count() *
                                 (1 + load_decay_factor) / 2 / (1 - load_decay_factor);

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

void control_node::on_load_report(const std::string& entry, const std::string& payload) {
    if (!leading_) {
        return;
    }
    const task_times::scope measured(task_times_, control_task::report);
    const auto report = decode<wire::LoadReport>(payload);
    if (report.held_index > 0) {
        receipts_.on_report(entry, static_cast<std::uint64_t>(report.held_index), steady_now());
    }
    for (const auto& it : report.keys) {
        if (it.key >= 0 && it.key <= static_cast<std::int32_t>(directory::last_key)) {
            key_loads_[it.service_name].add(static_cast<directory::key_number>(it.key), it.requests);
        }
    }
    for (const auto& it : report.upstreams) {
        if (it.answers <= 0) {
            continue;
        }
        const double mean = static_cast<double>(it.service_time_us) / it.answers;
        const double kept = std::pow(average_decay_per_answer, it.answers);
        double& average = service_times_[it.upstream];
        average = average <= 0 ? mean : average * kept + mean * (1 - kept);
    }
    on_leaving_reports(report);
    for (const auto& it : from_wire(report.limits)) {
        status_due_ = limits_.add(it, steady_now()) || status_due_;
    }
    if (!report.crashed.empty() || !report.survived.empty()) {
        on_crash_reports(report);
    }
}

void control_node::check_receipts(time_point now) {
    std::set<std::string> behind;
    duration longest{};
    const auto& connected = entries_.recipients();
    for (const auto& it : receipts_.overdue(max_directory_lag, now)) {
        if (!connected.contains(it.entry)) {
            receipts_.forget(it.entry); // reports again once it is connected
            continue;
        }
        longest = std::max(longest, it.behind);
        behind.insert(it.entry);
        if (!behind_.contains(it.entry)) {
            spdlog::warn("entry behind name={} held={} index={} behind_ms={}", it.entry, it.held_index,
                         state_machine_.state()->index, milliseconds(it.behind));
        }
    }
    for (const auto& name : behind_) {
        if (!behind.contains(name)) {
            spdlog::info("entry no longer behind name={}", name);
        }
    }
    behind_ = std::move(behind);
    registry_.gauge_of("entries_behind", "entries that lack a change of the directory made over a second ago")
        .set(static_cast<std::int64_t>(behind_.size()));
    registry_.gauge_of("directory_lag_ms", "age of the oldest change that such an entry lacks")
        .set(milliseconds(longest));
}

void control_node::forget_receipts() {
    receipts_.clear();
    behind_.clear();
    check_receipts(steady_now());
}

void control_node::on_leaving_reports(const wire::LoadReport& report) {
    for (const auto& it : report.leaving) {
        const directory::upstream_incarnation incarnation{it.upstream, it.upstream_started_ms};
        const auto* known = state_machine_.state()->find(incarnation);
        if (known == nullptr || !known->accepts_work() || !drains_proposed_.insert(incarnation).second) {
            continue;
        }
        spdlog::info("upstream drains by its answers id={} started_ms={}", it.upstream,
                     it.upstream_started_ms);
        directory::command change;
        change.upstreams.push_back(*known);
        change.upstreams.back().draining = true;
        propose(change, [this, incarnation](bool) { drains_proposed_.erase(incarnation); });
    }
}

void control_node::on_crash_reports(const wire::LoadReport& report) {
    for (const auto& it : report.crashed) {
        const auto digest = static_cast<request_digest>(it.digest);
        const bool refused =
            poison_detector_.on_crash({digest, {it.upstream, it.upstream_started_ms}}, steady_now());
        spdlog::warn("upstream ended with a request upstream={} digest={:016x} refused={}", it.upstream,
                     digest, refused);
        // Requests that are not refused yet reach the entries with the next status.
        status_due_ = status_due_ || refused;
    }
    for (const auto digest : report.survived) {
        poison_detector_.on_answered(static_cast<request_digest>(digest));
    }
}

void control_node::update_speeds() {
    std::map<std::string, std::vector<double>> times; // by service
    for (const auto& [id, it] : state_machine_.state()->upstreams) {
        if (const auto known = service_times_.find(id); known != service_times_.end()) {
            times[it.service].push_back(known->second);
        }
    }
    for (auto& [service, it] : times) {
        std::nth_element(it.begin(), it.begin() + static_cast<std::ptrdiff_t>(it.size() / 2), it.end());
    }
    for (const auto& [id, it] : state_machine_.state()->upstreams) {
        const auto known = service_times_.find(id);
        const auto condition = conditions_.find(id);
        if (known != service_times_.end() && condition != conditions_.end()) {
            const auto& sorted = times[it.service];
            const double median = sorted[sorted.size() / 2];
            condition->second.speed = std::clamp(median / known->second, min_speed, max_speed);
        }
    }
}

void control_node::update_limits(time_point now) {
    limits_.expire(now);
    for (auto& [id, it] : conditions_) {
        const auto known = state_machine_.state()->upstreams.find(id);
        const auto max_rate = known == state_machine_.state()->upstreams.end()
                                  ? std::nullopt
                                  : limits_.limit_of(known->second.incarnation, now);
        it.max_load = max_rate ? std::optional(*max_rate * load_per_rate) : std::nullopt;
    }
}

std::string control_node::status_payload() {
    wire::ControlStatus status;
    status.leads = leading_;
    status.follows = follows_;
    status.confirms_subscriptions = true;
    status.term = static_cast<std::int64_t>(group_->node().term());
    for (const auto& it : group_->node().members().voters) {
        status.control_instances.push_back(it.name);
    }
    for (const auto& [id, seen] : spares_) {
        status.control_instances.push_back(id.name);
    }
    if (leading_) {
        add_lists(status); // entries take them from the leader alone
    }
    return encode(status);
}

void control_node::add_lists(wire::ControlStatus& status) {
    for (const auto& listed : poison_detector_.list()) {
        wire::WatchedRequest it;
        it.digest = static_cast<std::int64_t>(listed.digest);
        it.refused = listed.refused;
        status.watched.push_back(it);
    }
    auto limits = limits_.list(steady_now());
    for (auto& it : limits) {
        it.age = {}; // a status is sent again only when it has changed
    }
    status.limits = to_wire(limits);
    for (const auto& [name, it] : entries_.recipients()) {
        wire::EntryInstance entry;
        entry.name = name;
        if (const auto peer = it.peer.lock()) {
            entry.data_center = peer->peer().data_center;
        }
        status.entries.push_back(std::move(entry));
    }
}

void control_node::broadcast_status() {
    status_due_ = false;
    last_status_at_ = steady_now();
    entries_.broadcast();
}

} // namespace kingcupseam::router
