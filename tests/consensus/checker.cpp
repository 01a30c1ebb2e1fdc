#include "checker.h"

#include <algorithm>
#include <functional>

namespace kingcupseam::test {

void machine_state::apply(const storage::entry& it) {
    if (it.kind == storage::entry_kind::command) {
        ++count;
        hash = hash * 1099511628211ULL + std::hash<std::string>{}(it.data);
    }
}

std::string machine_state::encode() const {
    return std::to_string(count) + " " + std::to_string(hash);
}

machine_state machine_state::decode(const std::string& bytes) {
    const auto space = bytes.find(' ');
    return {std::stoull(bytes.substr(0, space)), std::stoull(bytes.substr(space + 1))};
}

void checker::on_leader(const consensus::member_id& id, std::uint64_t term, const storage::log_store& store) {
    const auto [it, added] = leaders_.emplace(term, id);
    if (it->second != id) {
        found_.insert(violation::two_leaders_in_term);
    }
    if (!added) {
        return;
    }
    for (const auto& [index, known] : committed_) {
        const bool kept = index < store.first_index() || store.term_at(index) == known.value.term;
        if (known.value.term < term && !kept) {
            found_.insert(violation::incomplete_leader);
        }
    }
}

void checker::on_committed(const storage::entry& it, const machine_state& after) {
    const auto [at, added] = committed_.emplace(it.index, record{it, after});
    if (at->second.value != it) {
        found_.insert(violation::committed_entry_changed);
    }
    if (at->second.after != after) {
        found_.insert(violation::diverged_state);
    }
}

void checker::on_installed(std::uint64_t index, const machine_state& state) {
    const auto it = committed_.find(index);
    if (it == committed_.end() || it->second.after != state) {
        found_.insert(violation::diverged_state);
    }
}

void checker::on_lease(const consensus::member_id& holder, std::uint64_t term, time_point until) {
    auto& latest = leases_[term];
    latest = {holder, std::max(latest.until, until)};
}

void checker::on_stopped(const consensus::member_id& holder) {
    std::erase_if(leases_, [&](const auto& it) { return it.second.holder == holder; });
}

void checker::on_elected(std::uint64_t term, time_point now) {
    for (const auto& [holder_term, it] : leases_) {
        if (holder_term < term && now < it.until) {
            found_.insert(violation::overlapping_lease);
        }
    }
}

void checker::finish() {
    for (const storage::entry& it : acknowledged_) {
        const auto at = committed_.find(it.index);
        if (at == committed_.end() || at->second.value != it) {
            found_.insert(violation::lost_command);
        }
    }
}

} // namespace kingcupseam::test
