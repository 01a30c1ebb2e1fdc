#include "ownership/assignment_change.h"

#include <kingcupseam/statechart.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace kingcupseam::ownership {

namespace {

constexpr std::uint32_t max_ledger_groups = 4096;

constexpr std::array<const char*, 4> state_names{"joining", "active", "draining", "lost"};

/// Event of an announcement that states @p condition; empty for `lost`, which is never announced.
std::string_view event_of_announcement(upstream_status condition) {
    constexpr std::array<std::string_view, 4> events{"announced", "announced_active", "announced_draining",
                                                     ""};
    return events.at(static_cast<std::size_t>(condition));
}

/// Event of a set_condition to @p condition; empty for `joining`, which only an announcement sets.
std::string_view event_of_change(upstream_status condition) {
    constexpr std::array<std::string_view, 4> events{"", "granted", "drain_requested", "lease_expired"};
    return events.at(static_cast<std::size_t>(condition));
}

/// State of charts/upstream.toml after @p event; unchanged when there is no transition.
upstream_status next_state(upstream_status condition, std::string_view event) {
    if (event.empty()) {
        return condition;
    }
    statechart::machine it(statechart::embedded_chart("upstream"),
                           state_names.at(static_cast<std::size_t>(condition)));
    it.fire(event);
    const auto found = std::find(state_names.begin(), state_names.end(), it.current());
    if (found == state_names.end()) {
        throw statechart::unknown_state("upstream", it.current());
    }
    return static_cast<upstream_status>(found - state_names.begin());
}

void mark_referenced(std::vector<bool>& used, const shard_row& row) {
    for (const auto index : {row.owner, row.next}) {
        if (index < used.size()) {
            used[index] = true;
        }
    }
}

} // namespace

bool assignment_change::create_service(const register_upstream& change) {
    if (rows_.services.count(change.row.service) > 0) {
        return true;
    }
    if (change.shards == 0) {
        return false;
    }
    auto& shards = rows_.services[change.row.service].shards;
    shards.resize(change.shards);
    if (!change.placed_shards.empty()) {
        for (std::uint32_t n = 0; n < change.shards; ++n) {
            shards[n].next = change.placed_shards.count(n) > 0 ? no_upstream : placed_elsewhere;
        }
    }
    return true;
}

// Acknowledgements of grants are recorded by upstream name. An incarnation that announces itself after a
// later one has registered would be credited with the acknowledgements of the later one, so it stays lost.
bool assignment_change::is_superseded(const upstream_row& announced) const {
    const auto* latest = rows_.latest_row(announced.name);
    return latest != nullptr && latest->incarnation != announced.incarnation &&
           std::any_of(rows_.upstreams.begin(), rows_.upstreams.end(), [&](const upstream_row& it) {
               return it.name == announced.name && it.incarnation == announced.incarnation;
           });
}

// Shards refer to rows by index, so a row is reused only when no shard refers to it. The row of the last
// incarnation of @p name is not reused either: it is needed to recognise that incarnation when it returns.
std::uint32_t assignment_change::free_index(const std::string& name) const {
    std::vector<bool> used(rows_.upstreams.size());
    if (const auto* last = rows_.latest_row(name)) {
        used[static_cast<std::size_t>(last - rows_.upstreams.data())] = true;
    }
    for (const auto& [service_name, service] : rows_.services) {
        for (const auto& it : service.shards) {
            mark_referenced(used, it);
        }
        for (const auto& [key, it] : service.hot_keys) {
            mark_referenced(used, it);
        }
    }
    for (std::uint32_t n = 0; n < used.size(); ++n) {
        if (!used[n] && rows_.upstreams[n].condition == upstream_status::lost) {
            return n;
        }
    }
    return static_cast<std::uint32_t>(used.size());
}

void assignment_change::add_row(const upstream_row& announced) {
    const auto index = free_index(announced.name);
    if (index == rows_.upstreams.size()) {
        rows_.upstreams.emplace_back();
    }
    auto& row = rows_.upstreams[index];
    row = announced;
    row.gate.clear();
    row.standby.clear();
    raise_epoch(index);
}

bool assignment_change::update_row(upstream_row& row, const upstream_row& announced) {
    const upstream_row before = row;
    row.address = announced.address;
    row.slots = announced.slots;
    row.connections = announced.connections;
    row.checks_grants = announced.checks_grants;
    const bool was_lost = row.condition == upstream_status::lost;
    row.condition = next_state(row.condition, event_of_announcement(announced.condition));
    if (was_lost) {
        row.epoch = epoch_;
        row.version = epoch_;
    }
    return row != before;
}

bool assignment_change::apply(const register_upstream& change) {
    const auto& announced = change.row;
    if (announced.name.empty() || announced.service.empty() || announced.slots == 0 ||
        announced.condition == upstream_status::lost || is_superseded(announced) || !create_service(change)) {
        return false;
    }
    bool known = false;
    bool changed = false;
    for (std::uint32_t n = 0; n < rows_.upstreams.size(); ++n) {
        auto& row = rows_.upstreams[n];
        if (row.name != announced.name) {
            continue;
        }
        if (row.incarnation == announced.incarnation && row.service == announced.service) {
            known = true;
            changed = update_row(row, announced) || changed;
        } else if (const auto next = next_state(row.condition, "superseded"); next != row.condition) {
            row.condition = next;
            raise_epoch(n);
        }
    }
    if (!known) {
        add_row(announced);
    }
    return changed || !known;
}

bool assignment_change::apply(const set_condition& change) {
    for (std::uint32_t n = 0; n < rows_.upstreams.size(); ++n) {
        auto& row = rows_.upstreams[n];
        if (row.name == change.upstream && row.incarnation == change.incarnation &&
            (change.observed == 0 || row.epoch <= change.observed)) {
            const auto next = next_state(row.condition, event_of_change(change.condition));
            if (next == row.condition) {
                continue;
            }
            row.condition = next;
            if (next == upstream_status::lost) {
                raise_epoch(n);
            }
            return true;
        }
    }
    return false;
}

bool assignment_change::apply(const set_gate& change) {
    for (auto& row : rows_.upstreams) {
        if (row.name != change.upstream || row.condition == upstream_status::lost ||
            (row.gate == change.gate && row.standby == change.standby)) {
            continue;
        }
        if (row.gate != change.gate) {
            row.gate = change.gate;
            row.epoch = epoch_;
        }
        row.standby = change.standby;
        return true;
    }
    return false;
}

bool assignment_change::apply(const set_ledger_group& change) {
    if (change.group >= max_ledger_groups) {
        return false;
    }
    auto& groups = rows_.ledger_groups;
    if (change.group < groups.size() && groups[change.group] == change.replicas) {
        return false;
    }
    groups.resize(std::max<std::size_t>(groups.size(), change.group + 1));
    const bool had_windows = !groups[change.group].replicas.empty();
    groups[change.group] = change.replicas;
    if (had_windows) {
        // The new epoch makes gates read the ledger windows again. What they have read from the former
        // replicas may lack records that the new replicas hold.
        for (auto& row : rows_.upstreams) {
            row.epoch = row.condition == upstream_status::lost ? row.epoch : epoch_;
        }
    }
    return true;
}

} // namespace kingcupseam::ownership
