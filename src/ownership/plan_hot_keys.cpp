#include "ownership/planning.h"

#include <algorithm>

namespace kingcupseam::ownership {

namespace {

// A key is moved only if its new owner ends up below this fraction of the load of the old owner. Measured
// rates vary by a few percent from period to period; with smaller gains keys would move back and forth.
constexpr double max_load_ratio_after_move = 0.9;

const shard_row& row_of(const service_rows& service, const std::string& key) {
    const auto hot = service.hot_keys.find(key);
    return hot != service.hot_keys.end()
               ? hot->second
               : service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
}

} // namespace

/// Reported load of the hot keys of one service, and its sum for each upstream.
struct hot_key_planner::loads {
    std::vector<key_load> keys;         ///< highest rate first
    std::vector<std::uint32_t> targets; ///< upstreams that may get keys
    std::vector<double> by_upstream;    ///< sum of the rates, by upstream index
    std::set<std::string> reported;

    loads(const plan_input& input, const std::string& name, const service_rows& service)
        : targets(input.eligible_upstreams(name)), by_upstream(input.weights.size()) {
        for (const auto& it : input.view.hot_keys) {
            if (it.service != name || !reported.insert(it.key).second) {
                continue;
            }
            keys.push_back(it);
            const auto index = input.intended_owner(row_of(service, it.key));
            if (index < by_upstream.size()) {
                by_upstream[index] += it.requests_per_second;
            }
        }
        std::stable_sort(keys.begin(), keys.end(), [](const key_load& a, const key_load& b) {
            return a.requests_per_second > b.requests_per_second;
        });
    }

    std::uint32_t least_loaded(const plan_input& input, std::uint32_t except) const {
        std::uint32_t best = no_upstream;
        for (const auto it : targets) {
            if (it != except && (best == no_upstream || by_upstream[it] / input.weights[it] <
                                                            by_upstream[best] / input.weights[best])) {
                best = it;
            }
        }
        return best;
    }
};

bool hot_key_planner::use_move_budget(const plan_input& input) {
    while (!recent_moves_.empty() && recent_moves_.front() + input.settings.hot_key_period <= input.now) {
        recent_moves_.pop_front();
    }
    if (recent_moves_.size() >= input.settings.max_hot_key_moves) {
        return false;
    }
    recent_moves_.push_back(input.now);
    return true;
}

// Keys without a usable owner are not served, so moving them does not count towards the limit.
void hot_key_planner::reassign_unserved(const plan_input& input, const service_rows& service, loads& load,
                                        move_list& moves) const {
    for (const auto& [key, row] : service.hot_keys) {
        if (!input.needs_new_target(row)) {
            continue;
        }
        const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
        const bool shard_owner_usable =
            shard.next == no_upstream && shard.owner < input.weights.size() && input.weights[shard.owner] > 0;
        const auto to = shard_owner_usable ? shard.owner : load.least_loaded(input, no_upstream);
        if (to != no_upstream) {
            moves.add_begin(input.rows.upstreams[to].name, key);
        }
    }
}

void hot_key_planner::spread_load(const plan_input& input, const service_rows& service, loads& load,
                                  move_list& moves) {
    for (const auto& it : load.keys) {
        const auto& row = row_of(service, it.key);
        if (row.next != no_upstream || row.owner >= input.weights.size() || input.weights[row.owner] <= 0) {
            continue;
        }
        const auto to = load.least_loaded(input, row.owner);
        if (to == no_upstream) {
            return;
        }
        const auto before = load.by_upstream[row.owner] / input.weights[row.owner];
        const auto after = (load.by_upstream[to] + it.requests_per_second) / input.weights[to];
        if (after >= max_load_ratio_after_move * before) {
            continue;
        }
        if (!use_move_budget(input)) {
            return;
        }
        load.by_upstream[row.owner] -= it.requests_per_second;
        load.by_upstream[to] += it.requests_per_second;
        moves.add_begin(input.rows.upstreams[to].name, it.key);
    }
}

// A key returns to the owner of its shard after a whole period without load. Without any load report no key
// counts as cold.
void hot_key_planner::return_cold_keys(const plan_input& input, const std::string& name,
                                       const service_rows& service, const loads& load, move_list& moves) {
    for (const auto& [key, row] : service.hot_keys) {
        const std::pair id(name, key);
        if (load.reported.count(key) > 0 || input.view.hot_keys.empty()) {
            cold_since_.erase(id);
            continue;
        }
        const auto since = cold_since_.emplace(id, input.now).first->second;
        const auto& shard = service.shards[shard_of(key, static_cast<std::uint32_t>(service.shards.size()))];
        if (input.now - since < input.settings.hot_key_period || row.next != no_upstream ||
            shard.next != no_upstream || shard.owner >= input.weights.size() ||
            input.weights[shard.owner] <= 0 || input.needs_new_target(row) || !use_move_budget(input)) {
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
    loads load(input, name, service);
    reassign_unserved(input, service, load, moves);
    spread_load(input, service, load, moves);
    return_cold_keys(input, name, service, load, moves);
}

} // namespace kingcupseam::ownership
