#include "ownership/planning.h"

#include <algorithm>

namespace kingcupseam::ownership {

namespace {

using instance_counts = std::map<std::string, std::uint32_t>;

/// Instance with the lowest count that is not in @p except; empty when there is none.
std::string least_used(const instance_counts& counts, const std::vector<std::string>& except) {
    std::string best;
    for (const auto& [name, count] : counts) {
        if (std::find(except.begin(), except.end(), name) == except.end() &&
            (best.empty() || count < counts.at(best))) {
            best = name;
        }
    }
    return best;
}

const std::set<std::string>& replica_instances(const plan_input& input) {
    return input.view.live_replicas.empty() ? input.view.live_instances : input.view.live_replicas;
}

instance_counts empty_counts(const std::set<std::string>& live) {
    instance_counts counts;
    for (const auto& it : live) {
        counts[it] = 0;
    }
    return counts;
}

/// Planned gate and standby of one upstream. The functions below take one of these roles as @p role, and the
/// other one, which must be another instance, as @p other.
struct gate_choice {
    const upstream_row* row = nullptr;
    std::string gate;
    std::string standby;
};

// The standby becomes the next gate: entries already have links to it for this upstream.
std::vector<gate_choice> keep_live_gates(const plan_input& input) {
    std::vector<gate_choice> choices;
    const auto& live = input.view.live_instances;
    for (const auto& it : input.rows.upstreams) {
        if (it.condition == upstream_status::lost) {
            continue;
        }
        const std::string standby = live.count(it.standby) > 0 ? it.standby : "";
        const bool keeps_gate = live.count(it.gate) > 0;
        choices.push_back({&it, keeps_gate ? it.gate : standby, keeps_gate ? standby : ""});
    }
    return choices;
}

// Moves one upstream at a time from the instance with the most to that with the fewest, until they differ by
// at most one.
void balance_role(std::vector<gate_choice>& choices, instance_counts& counts, std::string gate_choice::*role,
                  std::string gate_choice::*other) {
    const auto by_count = [](const auto& a, const auto& b) { return a.second < b.second; };
    while (true) {
        const auto low = std::min_element(counts.begin(), counts.end(), by_count);
        const auto high = std::max_element(counts.begin(), counts.end(), by_count);
        if (high->second <= low->second + 1) {
            return;
        }
        const auto it = std::find_if(choices.begin(), choices.end(), [&](const gate_choice& choice) {
            return choice.*role == high->first && choice.*other != low->first;
        });
        if (it == choices.end()) {
            return;
        }
        (*it).*role = low->first;
        --high->second;
        ++low->second;
    }
}

void assign_role(std::vector<gate_choice>& choices, const plan_input& input, std::string gate_choice::*role,
                 std::string gate_choice::*other) {
    auto counts = empty_counts(input.view.live_instances);
    for (const auto& it : choices) {
        if (!(it.*role).empty()) {
            ++counts[it.*role];
        }
    }
    for (auto& it : choices) {
        if ((it.*role).empty()) {
            it.*role = least_used(counts, {it.*other});
            if (!(it.*role).empty()) {
                ++counts[it.*role];
            }
        }
    }
    balance_role(choices, counts, role, other);
}

// An upstream that does not check grants does not refuse a former gate, so the next gate is assigned only
// after the lease of the former one. Otherwise acknowledgements to the next gate would complete moves while
// the former gate still dispatches.
bool waits_for_former_gate(const plan_input& input, const upstream_row& row) {
    const auto until = input.view.grant_may_live_until.find(row.name);
    return !row.checks_grants && !row.gate.empty() && until != input.view.grant_may_live_until.end() &&
           input.now <= until->second;
}

/// Number of groups in which each live instance is a replica or is joining.
instance_counts count_replicas(const plan_input& input) {
    auto counts = empty_counts(replica_instances(input));
    for (const auto& group : input.rows.ledger_groups) {
        for (const auto* list : {&group.replicas, &group.joining}) {
            for (const auto& it : *list) {
                if (const auto found = counts.find(it); found != counts.end()) {
                    ++found->second;
                }
            }
        }
    }
    return counts;
}

void add_instance(instance_counts& counts, std::vector<std::string>& list, const ledger_group& group) {
    auto except = group.replicas;
    except.insert(except.end(), group.joining.begin(), group.joining.end());
    const auto name = least_used(counts, except);
    if (!name.empty()) {
        ++counts[name];
        list.push_back(name);
    }
}

// The replicas of a new group have nothing to copy. Replicas that are added later join first; the leader
// makes them replicas once they hold a copy of the window.
ledger_group plan_group(const plan_input& input, ledger_group group, instance_counts& counts) {
    const auto& live = replica_instances(input);
    const auto lost = [&live](const std::string& it) { return live.count(it) == 0; };
    const auto wanted = input.settings.ledger_replicas;
    if (group.replicas.empty()) {
        for (std::uint32_t n = 0; n < wanted; ++n) {
            add_instance(counts, group.replicas, group);
        }
        return group;
    }
    group.joining.erase(std::remove_if(group.joining.begin(), group.joining.end(), lost),
                        group.joining.end());
    const auto lost_count = std::count_if(group.replicas.begin(), group.replicas.end(), lost);
    const auto usable = group.replicas.size() - static_cast<std::size_t>(lost_count) + group.joining.size();
    for (auto n = usable; n < wanted; ++n) {
        add_instance(counts, group.joining, group);
    }
    return group;
}

} // namespace

void plan_gates(const plan_input& input, std::vector<command>& out) {
    if (input.view.live_instances.empty()) {
        return;
    }
    auto choices = keep_live_gates(input);
    assign_role(choices, input, &gate_choice::gate, &gate_choice::standby);
    assign_role(choices, input, &gate_choice::standby, &gate_choice::gate);
    for (const auto& it : choices) {
        const bool new_gate = it.gate != it.row->gate;
        if (new_gate && waits_for_former_gate(input, *it.row)) {
            continue;
        }
        if (new_gate || it.standby != it.row->standby) {
            out.emplace_back(set_gate{it.row->name, it.gate, it.standby});
        }
    }
}

void plan_ledger_groups(const plan_input& input, std::vector<command>& out) {
    if (input.view.live_instances.empty()) {
        return;
    }
    auto counts = count_replicas(input);
    for (std::uint32_t n = 0; n < input.settings.ledger_group_count; ++n) {
        const bool known = n < input.rows.ledger_groups.size();
        const auto before = known ? input.rows.ledger_groups[n] : ledger_group{};
        const auto after = plan_group(input, before, counts);
        if (after != before) {
            out.emplace_back(set_ledger_group{n, after});
        }
    }
}

} // namespace kingcupseam::ownership
