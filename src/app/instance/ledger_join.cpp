// Membership of this instance in ledger groups, and copying of the windows of a group that it joins.
#include "app/instance/ledger_host.h"

#include "app/instance/replica_name.h"

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr duration fence_timeout = std::chrono::milliseconds(500);
constexpr duration window_copy_retry = std::chrono::milliseconds(500);
// Tolerated difference between callers' clocks and the leader's, whose time marks the reset of a group.
constexpr std::int64_t clock_skew_ms = 2000;

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

ledger::replica new_replica(duration retention, std::size_t groups, ledger::replica_start start) {
    ledger::replica_options options;
    options.retention = retention;
    options.max_records /= std::max<std::size_t>(groups, 1);
    options.max_total_bytes /= std::max<std::size_t>(groups, 1);
    return ledger::replica(options, start);
}

/// Epoch of the gate that writes to the shard; for a shard without an owner, an epoch below that of its next
/// owner.
std::uint64_t writer_epoch(const ownership::table& rows, const ownership::shard_row& row) {
    return row.owner < rows.upstreams.size() ? rows.upstreams[row.owner].epoch
                                             : ownership::make_epoch(rows.generation, rows.version);
}

} // namespace

void ledger_host::on_view_changed(const routing_view& view) {
    const auto* rows = view.local_table();
    if (rows == nullptr) {
        return;
    }
    joining_.clear();
    for (std::uint32_t n = 0; n < rows->ledger_groups.size(); ++n) {
        const auto& group = rows->ledger_groups[n];
        const bool member = contains(group.replicas, self_);
        const auto it = replicas_.find(n);
        if (member) {
            // A joining replica copies the windows before it becomes a member. A member without them belongs
            // to a group that is new or has been reset.
            if (it == replicas_.end() || !it->second.ready()) {
                replicas_.insert_or_assign(
                    n, new_replica(retention_, rows->ledger_groups.size(), ledger::replica_start::new_group));
            }
        } else if (contains(group.joining, self_)) {
            joining_.insert(n);
            if (it == replicas_.end()) {
                replicas_.emplace(n, new_replica(retention_, rows->ledger_groups.size(),
                                                 ledger::replica_start::awaiting_install));
            }
        } else if (it != replicas_.end()) {
            replicas_.erase(it);
        }
    }
}

std::set<std::uint32_t> ledger_host::installed_groups() const {
    std::set<std::uint32_t> result;
    for (const auto group : joining_) {
        if (const auto it = replicas_.find(group); it != replicas_.end() && it->second.ready()) {
            result.insert(group);
        }
    }
    return result;
}

std::optional<std::uint32_t> ledger_host::group_of(std::uint32_t shard) const {
    const auto view = views_.load();
    const auto* rows = view->local_table();
    if (rows == nullptr || rows->ledger_groups.empty()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(shard % rows->ledger_groups.size());
}

ledger::replica* ledger_host::local_replica(std::uint32_t shard) {
    const auto group = group_of(shard);
    const auto it = group ? replicas_.find(*group) : replicas_.end();
    return it == replicas_.end() ? nullptr : &it->second;
}

bool ledger_host::may_predate_reset(const ledger::record& wanted) const {
    const auto view = views_.load();
    const auto group = group_of(wanted.shard);
    const std::int64_t reset_ms = group ? view->local_table()->ledger_groups[*group].reset_ms : 0;
    if (reset_ms == 0) {
        return false;
    }
    const auto reset = std::chrono::system_clock::time_point(std::chrono::milliseconds(reset_ms));
    if (const auto created = ledger::creation_time(wanted.key)) {
        return *created < reset + std::chrono::milliseconds(clock_skew_ms);
    }
    // A key that does not contain its creation time may be as old as the retention.
    return std::chrono::system_clock::now() < reset + retention_;
}

void ledger_host::start_window_copy(time_point now) {
    const auto view = views_.load();
    const auto* rows = view->local_table();
    const auto group = std::find_if(joining_.begin(), joining_.end(),
                                    [this](std::uint32_t it) { return !replicas_.at(it).ready(); });
    if (rows == nullptr || group == joining_.end()) {
        return;
    }
    next_window_copy_ = now + window_copy_retry;
    window_copy_ = window_copy{*group, 0, false, {}};
    std::vector<std::string> sources;
    for (const auto& it : rows->ledger_groups[*group].replicas) {
        if (link_to(it) != nullptr && mesh_.up(instance_of(it).name)) {
            sources.push_back(it);
        }
    }
    for (const auto& [service, it] : rows->services) {
        for (std::uint32_t shard = *group; shard < it.shards.size();
             shard += static_cast<std::uint32_t>(rows->ledger_groups.size())) {
            for (const auto& source : sources) {
                ++window_copy_->outstanding;
                request_window(source, service, shard, writer_epoch(*rows, it.shards[shard]));
            }
        }
    }
    // A record that a majority accepted may be held by only one of the remaining replicas, so the windows of
    // a majority are needed.
    window_copy_->failed = sources.size() < rows->ledger_groups[*group].replicas.size() / 2 + 1;
    if (window_copy_->outstanding == 0) {
        window_copy_.reset();
    }
}

void ledger_host::request_window(const std::string& replica, const std::string& service, std::uint32_t shard,
                                 std::uint64_t epoch) {
    wire::LedgerSeal fence;
    fence.service_name = service;
    fence.shard = static_cast<std::int32_t>(shard);
    fence.epoch = static_cast<std::int64_t>(epoch);
    link_to(replica)->request(
        {transport::frame_type::ledger_seal, 0, transport::encode(fence)}, fence_timeout,
        [this, service, shard](const transport::reply& it) {
            if (!it.answer) {
                on_window(std::nullopt);
                return;
            }
            const auto reply = transport::decode<wire::LedgerSealReply>(it.answer->payload);
            ledger::shard_window window{service, shard, static_cast<std::uint64_t>(reply.sealed_epoch), {}};
            for (const auto& record : reply.window) {
                window.records.push_back(record_from_wire(record));
            }
            on_window(reply.accepted ? std::optional(std::move(window)) : std::nullopt);
        });
}

void ledger_host::on_window(std::optional<ledger::shard_window> window) {
    if (!window_copy_) {
        return;
    }
    --window_copy_->outstanding;
    if (window) {
        window_copy_->windows.push_back(std::move(*window));
    } else {
        window_copy_->failed = true;
    }
    if (window_copy_->outstanding > 0) {
        return;
    }
    const auto ended = std::move(*window_copy_);
    window_copy_.reset();
    if (const auto it = replicas_.find(ended.group);
        !ended.failed && it != replicas_.end() && joining_.count(ended.group) != 0) {
        it->second.install(ended.windows, steady_now());
        next_window_copy_ = steady_now(); // the next group is copied without delay
    }
}

} // namespace kingcupseam::app
