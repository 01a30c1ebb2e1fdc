#include "router/gate_assignment.h"

#include <kingcupseam/types.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace kingcupseam::router {

namespace {

std::uint32_t rendezvous_score(const std::string& entry, const std::string& upstream) {
    return shard_of(entry + '/' + upstream, std::numeric_limits<std::uint32_t>::max());
}

} // namespace

bool data_center_gates::is_better(const ranked_entry& a, const ranked_entry& b) const {
    return std::tie(a.score, names_[a.entry]) > std::tie(b.score, names_[b.entry]);
}

void data_center_gates::set_entries(const std::vector<std::string_view>& names) {
    for (std::uint32_t n = 0; n < names_.size();) {
        if (std::binary_search(names.begin(), names.end(), names_[n])) {
            ++n;
        } else {
            remove_entry(n);
        }
    }
    for (const auto it : names) {
        if (std::find(names_.begin(), names_.end(), it) == names_.end()) {
            add_entry(it);
        }
    }
}

void data_center_gates::add_entry(std::string_view name) {
    current_ = false;
    const auto entry = static_cast<std::uint32_t>(names_.size());
    names_.emplace_back(name);
    for (auto& [id, ranked] : rankings_) {
        const ranked_entry added{rendezvous_score(names_.back(), id), entry};
        const auto at = std::lower_bound(ranked.begin(), ranked.end(), added,
                                         [this](const auto& a, const auto& b) { return is_better(a, b); });
        ranked.insert(at, added);
    }
}

void data_center_gates::remove_entry(std::uint32_t entry) {
    current_ = false;
    names_.erase(names_.begin() + entry);
    for (auto& [id, ranked] : rankings_) {
        std::erase_if(ranked, [entry](const auto& it) { return it.entry == entry; });
        for (auto& it : ranked) {
            it.entry -= it.entry > entry ? 1 : 0;
        }
    }
}

void data_center_gates::set_upstreams(const std::vector<std::string_view>& ids) {
    auto known = rankings_.begin();
    for (const auto id : ids) {
        while (known != rankings_.end() && known->first < id) {
            known = rankings_.erase(known);
            current_ = false;
        }
        if (known == rankings_.end() || known->first != id) {
            std::string added(id);
            auto ranked = rank_entries(added);
            known = rankings_.emplace_hint(known, std::move(added), std::move(ranked));
            current_ = false;
        }
        ++known;
    }
    if (known != rankings_.end()) {
        rankings_.erase(known, rankings_.end());
        current_ = false;
    }
}

data_center_gates::ranking data_center_gates::rank_entries(const std::string& upstream) const {
    ranking result;
    result.reserve(names_.size());
    for (std::uint32_t n = 0; n < names_.size(); ++n) {
        result.push_back({rendezvous_score(names_[n], upstream), n});
    }
    std::sort(result.begin(), result.end(), [this](const auto& a, const auto& b) { return is_better(a, b); });
    return result;
}

/// Deferred acceptance: each upstream asks its entries in turn, and an entry beyond its share drops the
/// upstream with the lowest score, which asks the next one.
void data_center_gates::match() {
    current_ = true;
    gates_.clear();
    if (names_.empty()) {
        return;
    }
    struct asking_upstream {
        const std::string* id;
        const ranking* ranked;
        std::size_t asked = 0;
    };
    std::vector<asking_upstream> upstreams; // sorted by id, which breaks ties between scores
    upstreams.reserve(rankings_.size());
    for (const auto& [id, ranked] : rankings_) {
        upstreams.push_back({&id, &ranked});
    }
    const std::size_t share = (upstreams.size() + names_.size() - 1) / names_.size();
    std::vector<std::set<std::pair<std::uint32_t, std::size_t>>> accepted(names_.size()); // score, upstream
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        std::optional<std::size_t> asking = n;
        while (asking) {
            auto& it = upstreams[*asking];
            const ranked_entry& next = (*it.ranked)[it.asked++];
            auto& held = accepted[next.entry];
            held.emplace(next.score, *asking);
            asking.reset();
            if (held.size() > share) {
                asking = held.begin()->second;
                held.erase(held.begin());
            }
        }
    }
    for (const auto& it : upstreams) {
        gates_.emplace_hint(gates_.end(), *it.id,
                            with_substitute((*it.ranked)[it.asked - 1].entry, *it.ranked));
    }
}

std::vector<std::string> data_center_gates::with_substitute(std::uint32_t gate, const ranking& ranked) const {
    std::vector<std::string> result{names_[gate]};
    const auto other =
        std::find_if(ranked.begin(), ranked.end(), [gate](const auto& it) { return it.entry != gate; });
    if (other != ranked.end()) {
        result.push_back(names_[other->entry]);
    }
    return result;
}

const std::vector<std::string>& data_center_gates::gates_of(const std::string& upstream) {
    if (!current_) {
        match();
    }
    const auto known = gates_.find(upstream);
    if (known != gates_.end()) {
        return known->second;
    }
    const auto ranked = rank_entries(upstream);
    auto gates = ranked.empty() ? std::vector<std::string>() : with_substitute(ranked.front().entry, ranked);
    return gates_.emplace(upstream, std::move(gates)).first->second;
}

bool gate_assignment::set_entries(std::vector<entry_instance> entries) {
    std::sort(entries.begin(), entries.end());
    if (entries == entries_) {
        return false;
    }
    entries_ = std::move(entries);
    std::map<std::string_view, std::vector<std::string_view>> names; // by data centre
    for (const auto& it : entries_) {
        names[it.data_center].push_back(it.name);
        data_centers_.try_emplace(it.data_center);
    }
    for (auto& [data_center, it] : data_centers_) {
        it.set_entries(names[data_center]);
    }
    return true;
}

void gate_assignment::set_upstreams(const std::vector<const directory::upstream*>& upstreams) {
    std::map<std::string_view, std::vector<std::string_view>> ids; // by data centre
    for (const auto* it : upstreams) {
        ids[it->data_center].push_back(it->incarnation.id);
        if (!data_centers_.contains(it->data_center)) {
            data_centers_.try_emplace(it->data_center);
        }
    }
    for (auto& [data_center, it] : data_centers_) {
        auto& sorted = ids[data_center];
        std::sort(sorted.begin(), sorted.end());
        it.set_upstreams(sorted);
    }
}

const std::vector<std::string>& gate_assignment::gates_of(const directory::upstream& target) {
    return data_centers_[target.data_center].gates_of(target.incarnation.id);
}

} // namespace kingcupseam::router
