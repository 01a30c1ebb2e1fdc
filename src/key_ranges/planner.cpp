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
// Fraction of the load that is spread evenly over all keys, so that ranges without requests count by width.
constexpr double background_share = 0.2;
// Part of its weight that a limited upstream keeps at least.
constexpr double min_limited_weight = 0.01;

/// Prefix sums of the load, for the load of any range.
class load_table {
public:
    explicit load_table(const key_loads& load) : sums_(key_count + 1) {
        const double total = std::max(load.total(), 1.0);
        const double background = total * background_share / static_cast<double>(key_count);
        for (std::size_t key = 0; key < key_count; ++key) {
            sums_[key + 1] = sums_[key] + load.requests_for(static_cast<key_number>(key)) + background;
        }
    }
    double between(key_number first, key_number last) const { return sums_[last + 1] - sums_[first]; }
    /// @returns last key of a part that starts at @p first and has about @p amount of load, at least one key
    key_number end_of_part(key_number first, key_number last, double amount) const {
        const double end = sums_[first] + amount;
        const auto it = std::upper_bound(sums_.begin() + first + 1, sums_.begin() + last + 2, end);
        const auto next = static_cast<key_number>(it - sums_.begin());
        return std::clamp<key_number>(next < 2 ? 0 : next - 2, first, last);
    }

private:
    std::vector<double> sums_;
};

/// Lowers weights so that in a distribution by weight no upstream has more than its limit, as long as the
/// others can have the rest.
std::vector<candidate> within_limits(std::vector<candidate> candidates, double total_load) {
    // Those that reach their limit first are set apart, until the rest has room for the remaining load.
    std::vector<candidate*> limited;
    double free_weight = 0;
    for (auto& it : candidates) {
        free_weight += it.weight;
        if (it.max_load) {
            limited.push_back(&it);
        }
    }
    std::sort(limited.begin(), limited.end(), [](const candidate* a, const candidate* b) {
        return *a->max_load / a->weight < *b->max_load / b->weight;
    });
    double free_load = total_load;
    double load_per_weight = total_load / free_weight;
    for (const candidate* it : limited) {
        if (*it->max_load >= load_per_weight * it->weight) {
            break;
        }
        free_load -= *it->max_load;
        free_weight -= it->weight;
        if (free_weight <= 0 || free_load <= 0) {
            break; // all are limited: the load is divided in proportion to the limits
        }
        load_per_weight = free_load / free_weight;
    }
    for (candidate* it : limited) {
        it->weight = std::clamp(*it->max_load / load_per_weight, it->weight * min_limited_weight, it->weight);
    }
    return candidates;
}

struct upstream_load {
    candidate upstream;
    double load = 0;
    bool exhausted = false; ///< nothing more can be moved away from it
    double load_per_weight() const { return load / upstream.weight; }
};

class upstream_loads {
public:
    upstream_loads(const range_map& owned, const std::vector<candidate>& candidates,
                   const load_table& loads) {
        upstreams_.reserve(candidates.size());
        for (const auto& it : candidates) {
            positions_.emplace(it.incarnation, upstreams_.size());
            upstreams_.push_back({it, 0, false});
        }
        for (const auto& [first, it] : owned) {
            const double load = loads.between(it.first, it.last);
            total_load_ += load;
            if (upstream_load* owner = find(it.owner)) {
                owner->load += load;
            }
        }
        for (const auto& it : upstreams_) {
            total_weight_ += it.upstream.weight;
        }
    }
    upstream_load* find(const upstream_incarnation& incarnation) {
        const auto it = positions_.find(incarnation);
        return it == positions_.end() ? nullptr : &upstreams_[it->second];
    }
    upstream_load& least_loaded() {
        return *std::min_element(upstreams_.begin(), upstreams_.end(),
                                 [](const upstream_load& a, const upstream_load& b) {
                                     return a.load_per_weight() < b.load_per_weight();
                                 });
    }
    /// The most loaded upstream from which something can be moved away; null when there is none.
    upstream_load* most_loaded() {
        upstream_load* result = nullptr;
        for (upstream_load& it : upstreams_) {
            if (!it.exhausted && (result == nullptr || it.load_per_weight() > result->load_per_weight())) {
                result = &it;
            }
        }
        return result;
    }
    upstream_load& fastest() {
        return *std::max_element(upstreams_.begin(), upstreams_.end(),
                                 [](const upstream_load& a, const upstream_load& b) {
                                     return a.upstream.weight < b.upstream.weight;
                                 });
    }
    bool empty() const { return upstreams_.empty(); }
    double mean_load_per_weight() const { return total_load_ / total_weight_; }
    void add_total(double load) { total_load_ += load; }

private:
    std::vector<upstream_load> upstreams_;
    std::map<upstream_incarnation, std::size_t> positions_; ///< index in upstreams_
    double total_load_ = 0;
    double total_weight_ = 0;
};

/// Assigns a range in parts, each to the upstream with the least load for its weight.
/// @param joinable_from index in @p out of the first move that an adjacent part may be merged into
void distribute(const key_range& range, upstream_loads& upstreams, const load_table& loads,
                std::size_t joinable_from, std::vector<planned_move>& out) {
    key_number first = range.first;
    for (;;) {
        upstream_load& target = upstreams.least_loaded();
        // At least a tenth of the mean, so that a range is not divided into many small parts.
        const double room = std::max(upstreams.mean_load_per_weight() * target.upstream.weight - target.load,
                                     upstreams.mean_load_per_weight() * target.upstream.weight / 10);
        const key_number last = loads.end_of_part(first, range.last, room);
        target.load += loads.between(first, last);
        if (out.size() > joinable_from && out.back().target == target.upstream.incarnation &&
            out.back().last + 1 == first && out.back().from == range.owner) {
            out.back().last = last;
        } else {
            out.push_back({first, last, range.owner, target.upstream.incarnation});
        }
        if (last == range.last) {
            return;
        }
        first = last + 1;
    }
}

/// Moves parts of ranges from the most to the least loaded upstreams.
class balancer {
public:
    balancer(upstream_loads& upstreams, const load_table& loads, std::vector<key_range> movable,
             const planner_options& settings)
        : upstreams_(upstreams), loads_(loads), movable_(std::move(movable)), settings_(settings) {}

    /// Adds one move or marks an upstream as exhausted.
    /// @returns false when nothing is left to move
    bool step(std::vector<planned_move>& out);

private:
    bool move_from(upstream_load& source, std::vector<planned_move>& out);
    bool move_hot_key(upstream_load& source, std::vector<planned_move>& out);
    void add_move(std::vector<key_range>::iterator range, key_number first, key_number last,
                  upstream_load& source, upstream_load& target, std::vector<planned_move>& out);

    upstream_loads& upstreams_;
    const load_table& loads_;
    std::vector<key_range> movable_;
    const planner_options& settings_;
};

bool balancer::step(std::vector<planned_move>& out) {
    upstream_load* const source = upstreams_.most_loaded();
    if (source == nullptr) {
        return false;
    }
    const double mean_load_per_weight = upstreams_.mean_load_per_weight();
    if (source->load_per_weight() < settings_.overload_ratio * mean_load_per_weight &&
        upstreams_.least_loaded().load_per_weight() > settings_.underload_ratio * mean_load_per_weight) {
        return false;
    }
    // A hot key moves first: moving its neighbours does not relieve it, and meanwhile its slow owner rejects
    // most of its requests.
    if (!move_hot_key(*source, out) && !move_from(*source, out)) {
        source->exhausted = true;
    }
    return true;
}

void balancer::add_move(std::vector<key_range>::iterator range, key_number first, key_number last,
                        upstream_load& source, upstream_load& target, std::vector<planned_move>& out) {
    const double moved = loads_.between(first, last);
    out.push_back({first, last, range->owner, target.upstream.incarnation});
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

bool balancer::move_from(upstream_load& source, std::vector<planned_move>& out) {
    upstream_load& target = upstreams_.least_loaded();
    const double mean_load_per_weight = upstreams_.mean_load_per_weight();
    const double amount = std::min(source.load - mean_load_per_weight * source.upstream.weight,
                                   mean_load_per_weight * target.upstream.weight - target.load);
    if (amount <= 0 || &source == &target) {
        return false;
    }
    auto best = movable_.end();
    key_number best_first = 0;
    double best_load = 0;
    for (auto it = movable_.begin(); it != movable_.end(); ++it) {
        const double load =
            it->owner == source.upstream.incarnation ? loads_.between(it->first, it->last) : 0;
        if (load <= best_load) {
            continue;
        }
        // A key with more load than the difference would only move the overload, so its neighbours move.
        key_number first = it->first;
        while (first < it->last && loads_.between(first, first) > amount) {
            ++first;
        }
        if (loads_.between(first, first) <= amount) {
            best = it;
            best_first = first;
            best_load = load;
        }
    }
    if (best == movable_.end()) {
        return false;
    }
    add_move(best, best_first, loads_.end_of_part(best_first, best->last, amount), source, target, out);
    return true;
}

/// Moves a key that alone overloads its owner to a much faster upstream.
bool balancer::move_hot_key(upstream_load& source, std::vector<planned_move>& out) {
    upstream_load& target = upstreams_.fastest();
    if (target.exhausted || target.upstream.weight < settings_.hot_key_gain * source.upstream.weight) {
        return false;
    }
    const double fair_load = upstreams_.mean_load_per_weight() * source.upstream.weight;
    for (auto it = movable_.begin(); it != movable_.end(); ++it) {
        if (it->owner != source.upstream.incarnation || loads_.between(it->first, it->last) <= fair_load) {
            continue;
        }
        for (key_number key = it->first; key <= it->last; ++key) {
            if (loads_.between(key, key) > fair_load) {
                add_move(it, key, key, source, target, out);
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
    upstream_loads upstreams(owned, within_limits(candidates, load.total()), loads);
    std::vector<planned_move> result;
    if (upstreams.empty()) {
        return result;
    }
    for (const auto& it : vacant) {
        upstreams.add_total(loads.between(it.first, it.last));
    }
    for (const auto& it : vacant) {
        distribute(it, upstreams, loads, 0, result);
    }
    return result;
}

std::vector<planned_move> plan_moves(const range_map& owned, const std::vector<key_range>& movable,
                                     const std::vector<candidate>& candidates, const key_loads& load,
                                     const planner_options& settings) {
    const load_table loads(load);
    upstream_loads upstreams(owned, within_limits(candidates, load.total()), loads);
    std::vector<planned_move> result;
    if (upstreams.empty()) {
        return result;
    }
    std::vector<key_range> balanced;
    for (const auto& it : movable) {
        if (upstreams.find(it.owner) != nullptr) {
            balanced.push_back(it);
        } else {
            // Each range is released with its own epoch, so no move may span two ranges.
            distribute(it, upstreams, loads, result.size(), result);
        }
    }
    if (load.total() < settings.min_requests_per_upstream * static_cast<double>(candidates.size())) {
        return result;
    }
    balancer balance(upstreams, loads, std::move(balanced), settings);
    while (result.size() < settings.max_moves && balance.step(result)) {
    }
    return result;
}

} // namespace kingcupseam::key_ranges
