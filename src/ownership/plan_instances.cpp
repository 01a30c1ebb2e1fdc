#include "ownership/planning.h"

#include <algorithm>

namespace kingcupseam::ownership {

namespace {

using instance_counts = std::map<std::string, std::uint32_t>;

/// Live instance with the fewest entries that is not in @p except; empty when there is none.
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

struct gate_choice {
    const upstream_row* row = nullptr;
    std::string gate;
    std::string standby;
};

// The standby takes over: it already has links to the callers' entries for this upstream.
std::vector<gate_choice> keep_live(const plan_input& input) {
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

// Moves one entry at a time from the fullest to the emptiest instance until they differ by at most one.
void even_out(std::vector<gate_choice>& choices, instance_counts& counts, std::string gate_choice::*role,
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
    even_out(choices, counts, role, other);
}

// Nothing at an upstream that does not check grants refuses a former gate, so the next one waits for the end
// of the former one's lease. Its acknowledgements would otherwise end moves while the former gate still
// dispatches.
bool waits_for_former_gate(const plan_input& input, const upstream_row& row) {
    const auto until = input.view.grant_may_live_until.find(row.name);
    return !row.checks_grants && !row.gate.empty() && until != input.view.grant_may_live_until.end() &&
           input.now <= until->second;
}

/// Replicas and joining instances of every group, counted for live instances.
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

// A group without replicas has nothing to copy. Later replicas join first, and whoever copies the window
// promotes them.
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
    auto choices = keep_live(input);
    assign_role(choices, input, &gate_choice::gate, &gate_choice::standby);
    assign_role(choices, input, &gate_choice::standby, &gate_choice::gate);
    for (const auto& it : choices) {
        const bool other_gate = it.gate != it.row->gate;
        if (other_gate && waits_for_former_gate(input, *it.row)) {
            continue;
        }
        if (other_gate || it.standby != it.row->standby) {
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
