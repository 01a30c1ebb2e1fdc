#include "ownership/planning.h"

#include <algorithm>

namespace kingcupseam::ownership {

namespace {

// A move must lower the higher of the two loads by a tenth; measured rates vary by a few percent from period
// to period, and smaller gains would move keys back and forth.
constexpr double worthwhile = 0.9;

const shard_row& row_of(const service_rows& service, const std::string& key) {
    const auto hot = service.hot_keys.find(key);
    return hot != service.hot_keys.end()
               ? hot->second
               : service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
}

} // namespace

/// Load of the hot keys on each upstream.
struct hot_key_planner::loads {
    std::vector<key_load> keys;        ///< of this service, the hottest first
    std::vector<std::uint32_t> usable; ///< upstreams that may get keys
    std::vector<double> on;            ///< by upstream index
    std::set<std::string> names;

    loads(const plan_input& input, const std::string& name, const service_rows& service)
        : usable(input.eligible_upstreams(name)), on(input.weights.size()) {
        for (const auto& it : input.view.hot_keys) {
            if (it.service != name || !names.insert(it.key).second) {
                continue;
            }
            keys.push_back(it);
            const auto index = input.intended_owner(row_of(service, it.key));
            if (index < on.size()) {
                on[index] += it.requests_per_second;
            }
        }
        std::stable_sort(keys.begin(), keys.end(), [](const key_load& a, const key_load& b) {
            return a.requests_per_second > b.requests_per_second;
        });
    }

    std::uint32_t least_loaded(const plan_input& input, std::uint32_t except) const {
        std::uint32_t best = no_upstream;
        for (const auto it : usable) {
            if (it != except &&
                (best == no_upstream || on[it] / input.weights[it] < on[best] / input.weights[best])) {
                best = it;
            }
        }
        return best;
    }
};

bool hot_key_planner::take_budget(const plan_input& input) {
    while (!recent_.empty() && recent_.front() + input.settings.hot_key_period <= input.now) {
        recent_.pop_front();
    }
    if (recent_.size() >= input.settings.max_hot_key_moves) {
        return false;
    }
    recent_.push_back(input.now);
    return true;
}

// Keys without a usable owner are not served, so they do not wait for the limit.
void hot_key_planner::rescue(const plan_input& input, const service_rows& service, loads& seen,
                             move_list& moves) const {
    for (const auto& [key, row] : service.hot_keys) {
        if (!input.needs_new_target(row)) {
            continue;
        }
        const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
        const bool home =
            shard.next == no_upstream && shard.owner < input.weights.size() && input.weights[shard.owner] > 0;
        const auto to = home ? shard.owner : seen.least_loaded(input, no_upstream);
        if (to != no_upstream) {
            moves.add_begin(input.rows.upstreams[to].name, key);
        }
    }
}

void hot_key_planner::spread(const plan_input& input, const service_rows& service, loads& seen,
                             move_list& moves) {
    for (const auto& it : seen.keys) {
        const auto& row = row_of(service, it.key);
        if (row.next != no_upstream || row.owner >= input.weights.size() || input.weights[row.owner] <= 0) {
            continue;
        }
        const auto to = seen.least_loaded(input, row.owner);
        if (to == no_upstream) {
            return;
        }
        const auto before = seen.on[row.owner] / input.weights[row.owner];
        const auto after = (seen.on[to] + it.requests_per_second) / input.weights[to];
        if (after >= worthwhile * before) {
            continue;
        }
        if (!take_budget(input)) {
            return;
        }
        seen.on[row.owner] -= it.requests_per_second;
        seen.on[to] += it.requests_per_second;
        moves.add_begin(input.rows.upstreams[to].name, it.key);
    }
}

// A key returns to its shard after a whole period without load. Without any report nothing is known to be
// cold.
void hot_key_planner::return_cold(const plan_input& input, const std::string& name,
                                  const service_rows& service, const loads& seen, move_list& moves) {
    for (const auto& [key, row] : service.hot_keys) {
        const std::pair id(name, key);
        if (seen.names.count(key) > 0 || input.view.hot_keys.empty()) {
            cold_since_.erase(id);
            continue;
        }
        const auto since = cold_since_.emplace(id, input.now).first->second;
        const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
        if (input.now - since < input.settings.hot_key_period || row.next != no_upstream ||
            shard.next != no_upstream || shard.owner >= input.weights.size() ||
            input.weights[shard.owner] <= 0 || input.needs_new_target(row) || !take_budget(input)) {
            continue;
        }
        cold_since_.erase(id);
        moves.add_begin(input.rows.upstreams[shard.owner].name, key);
    }
}

void hot_key_planner::plan(const plan_input& input, const std::string& name, const service_rows& service,
                           move_list& moves) {
    if (service.shards.empty()) {
        return;
    }
    loads seen(input, name, service);
    rescue(input, service, seen, moves);
    spread(input, service, seen, moves);
    return_cold(input, name, service, seen, moves);
}

} // namespace kingcupseam::ownership
