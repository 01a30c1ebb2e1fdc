#include <kingcupseam/key_ranges.h>

#include <algorithm>
#include <limits>
#include <map>

namespace kingcupseam::key_ranges {

namespace {

using directory::key_range;
using directory::range_map;
using directory::upstream_incarnation;

constexpr std::size_t key_count = directory::last_key + 1;
// Share of the load that is spread over all keys, so that ranges without requests count by their width.
constexpr double background_share = 0.2;

/// Load of ranges by prefix sums.
class load_table {
public:
    explicit load_table(const key_loads& load) : sums_(key_count + 1) {
        const double total = std::max(load.total(), 1.0);
        const double background = total * background_share / static_cast<double>(key_count);
        for (std::size_t key = 0; key < key_count; ++key) {
            sums_[key + 1] = sums_[key] + load.of(static_cast<key_number>(key)) + background;
        }
    }
    double of(key_number first, key_number last) const { return sums_[last + 1] - sums_[first]; }
    /// Last key of the part of first..last that starts at first and has about @p amount; at least one key.
    key_number split(key_number first, key_number last, double amount) const {
        const double end = sums_[first] + amount;
        const auto it = std::upper_bound(sums_.begin() + first + 1, sums_.begin() + last + 2, end);
        const auto next = static_cast<key_number>(it - sums_.begin());
        return std::clamp<key_number>(next < 2 ? 0 : next - 2, first, last);
    }

private:
    std::vector<double> sums_;
};

struct account {
    candidate who;
    double load = 0;
    bool done = false; ///< nothing more can be taken from it
    double ratio() const { return load / who.weight; }
};

class ledger {
public:
    ledger(const range_map& owned, const std::vector<candidate>& candidates, const load_table& loads) {
        accounts_.reserve(candidates.size());
        for (const auto& it : candidates) {
            positions_.emplace(it.incarnation, accounts_.size());
            accounts_.push_back({it, 0, false});
        }
        for (const auto& [first, it] : owned) {
            const double load = loads.of(it.first, it.last);
            total_ += load;
            if (account* owner = find(it.owner)) {
                owner->load += load;
            }
        }
        for (const auto& it : accounts_) {
            weight_ += it.who.weight;
        }
    }
    account* find(const upstream_incarnation& incarnation) {
        const auto it = positions_.find(incarnation);
        return it == positions_.end() ? nullptr : &accounts_[it->second];
    }
    account& least() {
        return *std::min_element(accounts_.begin(), accounts_.end(),
                                 [](const account& a, const account& b) { return a.ratio() < b.ratio(); });
    }
    /// The most loaded one from which something may be taken; null when there is none.
    account* most() {
        account* result = nullptr;
        for (account& it : accounts_) {
            if (!it.done && (result == nullptr || it.ratio() > result->ratio())) {
                result = &it;
            }
        }
        return result;
    }
    account& fastest() {
        return *std::max_element(accounts_.begin(), accounts_.end(), [](const account& a, const account& b) {
            return a.who.weight < b.who.weight;
        });
    }
    bool empty() const { return accounts_.empty(); }
    double mean() const { return total_ / weight_; }
    void add_total(double load) { total_ += load; }

private:
    std::vector<account> accounts_;
    std::map<upstream_incarnation, std::size_t> positions_; ///< in accounts_
    double total_ = 0;
    double weight_ = 0;
};

/// Gives a range away in parts, each to the upstream with the least load for its weight.
/// @param joinable_from position in @p out of the first move that neighbouring parts may be joined with
void distribute(const key_range& range, ledger& accounts, const load_table& loads, std::size_t joinable_from,
                std::vector<planned_move>& out) {
    key_number first = range.first;
    for (;;) {
        account& target = accounts.least();
        // A tenth of the mean at least, so that a range does not fall into many small parts.
        const double room = std::max(accounts.mean() * target.who.weight - target.load,
                                     accounts.mean() * target.who.weight / 10);
        const key_number last = loads.split(first, range.last, room);
        target.load += loads.of(first, last);
        if (out.size() > joinable_from && out.back().target == target.who.incarnation &&
            out.back().last + 1 == first && out.back().from == range.owner) {
            out.back().last = last;
        } else {
            out.push_back({first, last, range.owner, target.who.incarnation});
        }
        if (last == range.last) {
            return;
        }
        first = last + 1;
    }
}

/// Moves parts of ranges from the most to the least loaded upstreams.
class balance_round {
public:
    balance_round(ledger& accounts, const load_table& loads, std::vector<key_range> movable,
                  const planner_options& settings)
        : accounts_(accounts), loads_(loads), movable_(std::move(movable)), settings_(settings) {}

    /// @returns false when nothing is left to do
    bool step(std::vector<planned_move>& out);

private:
    bool move_from(account& source, std::vector<planned_move>& out);
    bool move_hot_key(account& source, std::vector<planned_move>& out);
    void take(std::vector<key_range>::iterator range, key_number first, key_number last, account& source,
              account& target, std::vector<planned_move>& out);

    ledger& accounts_;
    const load_table& loads_;
    std::vector<key_range> movable_;
    const planner_options& settings_;
};

bool balance_round::step(std::vector<planned_move>& out) {
    account* const source = accounts_.most();
    if (source == nullptr) {
        return false;
    }
    const double mean = accounts_.mean();
    if (source->ratio() < settings_.overload_ratio * mean &&
        accounts_.least().ratio() > settings_.underload_ratio * mean) {
        return false;
    }
    // First the key that no spreading helps: while it waits for its neighbours to go, its slow owner turns
    // most of its requests away.
    if (!move_hot_key(*source, out) && !move_from(*source, out)) {
        source->done = true;
    }
    return true;
}

void balance_round::take(std::vector<key_range>::iterator range, key_number first, key_number last,
                         account& source, account& target, std::vector<planned_move>& out) {
    const double moved = loads_.of(first, last);
    out.push_back({first, last, range->owner, target.who.incarnation});
    source.load -= moved;
    target.load += moved;
    const key_range rest = *range;
    movable_.erase(range);
    if (rest.first < first) {
        movable_.push_back({rest.first, first - 1, rest.owner, rest.epoch});
    }
    if (last < rest.last) {
        movable_.push_back({last + 1, rest.last, rest.owner, rest.epoch});
    }
}

bool balance_round::move_from(account& source, std::vector<planned_move>& out) {
    account& target = accounts_.least();
    const double mean = accounts_.mean();
    const double amount =
        std::min(source.load - mean * source.who.weight, mean * target.who.weight - target.load);
    if (amount <= 0 || &source == &target) {
        return false;
    }
    auto best = movable_.end();
    key_number best_first = 0;
    double best_load = 0;
    for (auto it = movable_.begin(); it != movable_.end(); ++it) {
        const double load = it->owner == source.who.incarnation ? loads_.of(it->first, it->last) : 0;
        if (load <= best_load) {
            continue;
        }
        // A key that alone is heavier than the difference would only move the overload; its neighbours go.
        key_number first = it->first;
        while (first < it->last && loads_.of(first, first) > amount) {
            ++first;
        }
        if (loads_.of(first, first) <= amount) {
            best = it;
            best_first = first;
            best_load = load;
        }
    }
    if (best == movable_.end()) {
        return false;
    }
    take(best, best_first, loads_.split(best_first, best->last, amount), source, target, out);
    return true;
}

/// A key that is too much for its owner goes to an upstream that is faster by a good part.
bool balance_round::move_hot_key(account& source, std::vector<planned_move>& out) {
    account& target = accounts_.fastest();
    if (target.done || target.who.weight < settings_.hot_key_gain * source.who.weight) {
        return false;
    }
    const double fair = accounts_.mean() * source.who.weight;
    for (auto it = movable_.begin(); it != movable_.end(); ++it) {
        if (it->owner != source.who.incarnation || loads_.of(it->first, it->last) <= fair) {
            continue;
        }
        for (key_number key = it->first; key <= it->last; ++key) {
            if (loads_.of(key, key) > fair) {
                take(it, key, key, source, target, out);
                return true;
            }
        }
    }
    return false;
}

} // namespace

key_loads::key_loads() : counts_(key_count) {}

void key_loads::add(key_number key, double requests) {
    counts_[key] += requests;
    total_ += requests;
}

void key_loads::decay(double factor) {
    for (double& it : counts_) {
        it *= factor;
    }
    total_ *= factor;
}

std::vector<planned_move> plan_vacant(const std::vector<key_range>& vacant, const range_map& owned,
                                      const std::vector<candidate>& candidates, const key_loads& load) {
    const load_table loads(load);
    ledger accounts(owned, candidates, loads);
    std::vector<planned_move> result;
    if (accounts.empty()) {
        return result;
    }
    for (const auto& it : vacant) {
        accounts.add_total(loads.of(it.first, it.last));
    }
    for (const auto& it : vacant) {
        distribute(it, accounts, loads, 0, result);
    }
    return result;
}

std::vector<planned_move> plan_moves(const range_map& owned, const std::vector<key_range>& movable,
                                     const std::vector<candidate>& candidates, const key_loads& load,
                                     const planner_options& settings) {
    const load_table loads(load);
    ledger accounts(owned, candidates, loads);
    std::vector<planned_move> result;
    if (accounts.empty()) {
        return result;
    }
    std::vector<key_range> balanced;
    for (const auto& it : movable) {
        if (accounts.find(it.owner) != nullptr) {
            balanced.push_back(it);
        } else {
            // Each range is released with its own epoch, so no move spans two of them.
            distribute(it, accounts, loads, result.size(), result);
        }
    }
    if (load.total() < settings.min_requests_per_upstream * static_cast<double>(candidates.size())) {
        return result;
    }
    balance_round round(accounts, loads, std::move(balanced), settings);
    while (result.size() < settings.max_moves && round.step(result)) {
    }
    return result;
}

} // namespace kingcupseam::key_ranges
