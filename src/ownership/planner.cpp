#include "ownership/planning.h"

#include <algorithm>

namespace kingcupseam::ownership {

plan_input::plan_input(const table& current, const cluster_view& seen, time_point at,
                       const planner_options& options)
    : rows(current), view(seen), now(at), settings(options) {
    weights.reserve(rows.upstreams.size());
    for (const auto& it : rows.upstreams) {
        weights.push_back(target_weight(it));
    }
    exclude_returned_incarnations();
}

double plan_input::target_weight(const upstream_row& row) const {
    if (row.condition != upstream_status::joining && row.condition != upstream_status::active) {
        return 0;
    }
    const auto joined = view.joined_at.find(row.name);
    const auto steps = std::max(1U, settings.ramp_steps);
    if (joined == view.joined_at.end()) {
        return row.condition == upstream_status::active ? row.slots : static_cast<double>(row.slots) / steps;
    }
    const auto age = std::max(duration::zero(), now - joined->second);
    if (settings.ramp <= duration::zero() || age >= settings.ramp) {
        return row.slots;
    }
    const auto step = static_cast<std::uint32_t>(age * steps / settings.ramp) + 1;
    return static_cast<double>(row.slots) * std::min(step, steps) / steps;
}

// The end of a grant is recorded by the name of the upstream. While a former incarnation may hold a grant,
// shards granted to the next incarnation would keep extending that end.
void plan_input::exclude_returned_incarnations() {
    std::set<std::uint32_t> owners;
    for (const auto& [name, service] : rows.services) {
        for (const auto& it : service.shards) {
            owners.insert(it.owner);
        }
        for (const auto& [key, it] : service.hot_keys) {
            owners.insert(it.owner);
        }
    }
    for (const auto index : owners) {
        if (index >= rows.upstreams.size() || rows.upstreams[index].condition != upstream_status::lost) {
            continue;
        }
        for (std::size_t n = 0; n < rows.upstreams.size(); ++n) {
            if (rows.upstreams[n].name == rows.upstreams[index].name) {
                weights[n] = 0;
            }
        }
    }
}

// Acknowledged versions are used only for an upstream that is not lost: a later incarnation's versions say
// nothing about the grants of a lost one.
bool plan_input::grant_ended(const shard_row& row) const {
    if (row.owner >= rows.upstreams.size()) {
        return true;
    }
    const auto& owner = rows.upstreams[row.owner];
    const auto acknowledged = view.acknowledged_version.find(owner.name);
    if (owner.condition != upstream_status::lost && row.next != no_upstream &&
        acknowledged != view.acknowledged_version.end() && acknowledged->second >= row.epoch) {
        return true;
    }
    const auto until = view.grant_may_live_until.find(owner.name);
    return until == view.grant_may_live_until.end() || now > until->second;
}

std::uint32_t plan_input::intended_owner(const shard_row& row) const {
    return row.next == no_upstream ? row.owner : (row.next == placed_elsewhere ? no_upstream : row.next);
}

bool plan_input::needs_new_target(const shard_row& row) const {
    const auto index = intended_owner(row);
    if (row.next == placed_elsewhere || (index < weights.size() && weights[index] > 0)) {
        return false;
    }
    const bool waits_for_grant = row.next == no_upstream && index < rows.upstreams.size() &&
                                 rows.upstreams[index].condition == upstream_status::lost;
    return !waits_for_grant || grant_ended(row);
}

std::vector<std::uint32_t> plan_input::eligible_upstreams(const std::string& service) const {
    std::vector<std::uint32_t> result;
    for (std::uint32_t n = 0; n < weights.size(); ++n) {
        if (weights[n] > 0 && rows.upstreams[n].service == service) {
            result.push_back(n);
        }
    }
    return result;
}

void move_list::append_to(std::vector<command>& out) const {
    for (const auto& [to, it] : completions_) {
        out.emplace_back(complete_move{service_, it.shards, it.hot_keys, to});
    }
    for (const auto& [to, it] : begins_) {
        out.emplace_back(begin_move{service_, it.shards, it.hot_keys, to});
    }
}

namespace {

// An upstream becomes active once it has acknowledged its row's version to its gate.
void plan_conditions(const plan_input& input, std::vector<command>& out) {
    for (const auto& it : input.rows.upstreams) {
        const auto acknowledged = input.view.acknowledged_version.find(it.name);
        if (it.condition == upstream_status::joining && !it.gate.empty() &&
            acknowledged != input.view.acknowledged_version.end() && acknowledged->second >= it.version) {
            out.emplace_back(set_condition{it.name, it.incarnation, upstream_status::active});
        }
    }
}

class fewest_moves_planner final : public planner {
public:
    explicit fewest_moves_planner(planner_options settings) : settings_(settings) {}

    std::vector<command> plan(const table& rows, const cluster_view& view, time_point now) override {
        const plan_input input(rows, view, now, settings_);
        std::vector<command> out;
        plan_gates(input, out);
        plan_conditions(input, out);
        for (const auto& [name, service] : rows.services) {
            move_list moves(name);
            plan_shards(input, name, service, moves);
            hot_keys_.plan(input, name, service, moves);
            moves.append_to(out);
        }
        plan_ledger_groups(input, out);
        return out;
    }

private:
    planner_options settings_;
    hot_key_planner hot_keys_;
};

} // namespace

std::unique_ptr<planner> make_fewest_moves_planner(planner_options settings) {
    return std::make_unique<fewest_moves_planner>(settings);
}

} // namespace kingcupseam::ownership
