#include "router/gate_assignment.h"

#include <kingcupseam/types.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

namespace kingcupseam::router {

namespace {

constexpr std::size_t gates_per_upstream = 2;

std::uint32_t rendezvous_score(const std::string& entry, const std::string& upstream) {
    return shard_of(entry + '/' + upstream, std::numeric_limits<std::uint32_t>::max());
}

} // namespace

bool gate_assignment::set_entries(std::vector<entry_instance> entries) {
    std::sort(entries.begin(), entries.end());
    if (entries == entries_) {
        return false;
    }
    entries_ = std::move(entries);
    current_ = false;
    return true;
}

void gate_assignment::set_upstreams(const std::vector<const directory::upstream*>& upstreams) {
    std::vector<upstream_key> next;
    next.reserve(upstreams.size());
    for (const auto* it : upstreams) {
        next.emplace_back(it->incarnation.id, it->data_center);
    }
    std::sort(next.begin(), next.end());
    if (next != upstreams_) {
        upstreams_ = std::move(next);
        current_ = false;
    }
}

const std::vector<std::string>& gate_assignment::gates_of(const directory::upstream& target) {
    if (!current_) {
        assign();
    }
    const upstream_key key{target.incarnation.id, target.data_center};
    const auto known = gates_.find(key);
    return known != gates_.end() ? known->second : gates_.emplace(key, rank_entries(key)).first->second;
}

std::vector<std::string> gate_assignment::rank_entries(const upstream_key& upstream) const {
    std::vector<std::pair<std::uint32_t, std::string>> scored;
    for (const auto& it : entries_) {
        if (it.data_center == upstream.second) {
            scored.emplace_back(rendezvous_score(it.name, upstream.first), it.name);
        }
    }
    const auto n = std::min(scored.size(), gates_per_upstream);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(n), scored.end(),
                      std::greater<>());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back(std::move(scored[i].second));
    }
    return result;
}

void gate_assignment::assign() {
    current_ = true;
    gates_.clear();
    std::map<std::string, std::size_t> entry_count; // by data centre
    for (const auto& it : entries_) {
        ++entry_count[it.data_center];
    }
    std::map<std::string, std::size_t> upstream_count; // by data centre
    std::vector<std::tuple<std::uint32_t, std::size_t, std::size_t>>
        pairs; // score, index of upstream and entry
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
        const auto& [id, data_center] = upstreams_[u];
        ++upstream_count[data_center];
        for (std::size_t e = 0; e < entries_.size(); ++e) {
            if (entries_[e].data_center == data_center) {
                pairs.emplace_back(rendezvous_score(entries_[e].name, id), u, e);
            }
        }
    }
    std::sort(pairs.begin(), pairs.end(), std::greater<>());
    std::map<std::string, std::size_t> loads; // upstreams by gate
    for (const auto& [score, u, e] : pairs) {
        const auto& upstream = upstreams_[u];
        const auto& name = entries_[e].name;
        const std::size_t entries = entry_count[upstream.second];
        const std::size_t share = (upstream_count[upstream.second] + entries - 1) / entries;
        if (loads[name] < share && gates_.try_emplace(upstream, 1, name).second) {
            ++loads[name];
        }
    }
    for (auto& [upstream, gates] : gates_) {
        for (auto& it : rank_entries(upstream)) {
            if (it != gates.front() && gates.size() < gates_per_upstream) {
                gates.push_back(std::move(it));
            }
        }
    }
}

} // namespace kingcupseam::router
