// Ledger duties of a data centre group's leader: admitting replicas that have joined, and resetting ledger
// groups that lost a majority.
#include "app/instance/data_center_tier.h"

#include "app/instance/replica_name.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

// An instance that returns from a shorter pause still has its windows, while a replacement has to copy all of
// them.
constexpr duration replica_lost_after = std::chrono::seconds(2);
constexpr std::size_t ledger_replicas = 3;

std::int64_t wall_clock_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

std::set<std::string> data_center_tier::live_replicas(time_point now) const {
    std::set<std::string> result;
    for (const auto& [name, it] : instances_) {
        if (now - it.last_lease_request < replica_lost_after) {
            result.insert(replica_name({name, it.info.incarnation}));
        }
    }
    return result;
}

void data_center_tier::plan_ledger_groups(const ownership::table& rows, time_point now) {
    // A new leader does not know which replicas are live until they have sent lease requests.
    if (now - leader_since_ < replica_lost_after) {
        return;
    }
    const auto live = live_replicas(now);
    for (std::uint32_t n = 0; n < rows.ledger_groups.size(); ++n) {
        if (auto next = repair_ledger_group(rows.ledger_groups[n], live, n, now)) {
            propose(ownership::set_ledger_group{n, std::move(*next)});
        }
    }
}

std::optional<ownership::ledger_group>
data_center_tier::repair_ledger_group(const ownership::ledger_group& group, const std::set<std::string>& live,
                                      std::uint32_t number, time_point /*now*/) const {
    const auto is_live = [&live](const std::string& it) { return live.count(it) != 0; };
    ownership::ledger_group next;
    std::copy_if(group.replicas.begin(), group.replicas.end(), std::back_inserter(next.replicas), is_live);
    next.reset_ms = group.reset_ms;
    if (!group.replicas.empty() && next.replicas.size() < group.replicas.size() / 2 + 1) {
        // A majority of the windows is lost: requests that began earlier are answered `unknown` from now on.
        spdlog::warn("ledger group reset after losing its majority group={} live_replicas={}", number,
                     next.replicas.size());
        next.reset_ms = wall_clock_ms();
        for (const auto& it : live) {
            if (next.replicas.size() < ledger_replicas &&
                std::find(next.replicas.begin(), next.replicas.end(), it) == next.replicas.end()) {
                next.replicas.push_back(it);
            }
        }
        return next;
    }
    if (group.joining.empty()) {
        return std::nullopt;
    }
    if (next.replicas.size() >= ledger_replicas) {
        return next; // the lost replica has returned, so no other needs to join
    }
    for (const auto& it : group.joining) {
        const auto tracked = instances_.find(instance_of(it).name);
        const bool installed = is_live(it) && tracked != instances_.end() &&
                               tracked->second.installed_ledger_groups.count(number) != 0;
        if (installed && next.replicas.size() < ledger_replicas) {
            next.replicas.push_back(it);
        }
    }
    // A group that was formed with too few instances grows in the same way.
    return next.replicas.size() == ledger_replicas ? std::optional(next) : std::nullopt;
}

} // namespace kingcupseam::app
