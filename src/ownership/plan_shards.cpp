#include "ownership/planning.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcupseam::ownership {

namespace {

// A share that is a whole number apart from floating-point error must not be rounded down.
constexpr double rounding_tolerance = 1e-9;

} // namespace

std::vector<std::uint32_t> fair_shares(const std::vector<double>& weights,
                                       const std::vector<std::uint32_t>& current, std::uint32_t total) {
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::uint32_t> shares(weights.size());
    std::vector<double> remainders(weights.size());
    std::uint32_t remaining = total;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        const double exact_share = total * weights[n] / sum;
        shares[n] = static_cast<std::uint32_t>(std::floor(exact_share + rounding_tolerance));
        remainders[n] = exact_share - shares[n];
        remaining -= shares[n];
    }
    std::vector<std::size_t> order(weights.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const bool keeps_a = current[a] > shares[a];
        const bool keeps_b = current[b] > shares[b];
        return keeps_a != keeps_b ? keeps_a : remainders[a] > remainders[b];
    });
    for (std::size_t n = 0; n < order.size() && remaining > 0; ++n, --remaining) {
        ++shares[order[n]];
    }
    return shares;
}

namespace {

void complete_moves(const plan_input& input, const service_rows& service, move_list& moves) {
    const auto& upstreams = input.rows.upstreams;
    const auto target = [&](const shard_row& row, std::string& to) {
        if (row.next == no_upstream || (row.next == placed_elsewhere && row.owner == no_upstream) ||
            !input.grant_ended(row)) {
            return false;
        }
        if (row.next < upstreams.size() && upstreams[row.next].condition == upstream_status::lost) {
            return false;
        }
        to = row.next == placed_elsewhere ? std::string() : upstreams[row.next].name;
        return true;
    };
    std::string to;
    for (std::uint32_t n = 0; n < service.shards.size(); ++n) {
        if (target(service.shards[n], to)) {
            moves.add_completion(to, n);
        }
    }
    for (const auto& [key, row] : service.hot_keys) {
        if (target(row, to)) {
            moves.add_completion(to, key);
        }
    }
}

/// Shards of a service; `counts` and `stationary` are indexed by position in the list of eligible upstreams.
struct shard_distribution {
    std::vector<std::uint32_t> counts;                  ///< shards owned or moving to the upstream
    std::vector<std::vector<std::uint32_t>> stationary; ///< shards that are not moving
    std::vector<std::uint32_t> to_assign;               ///< shards that get a new target
    std::uint32_t total = 0;                            ///< shards placed in this data centre
};

shard_distribution count_shards(const plan_input& input, const service_rows& service,
                                const std::vector<std::uint32_t>& upstreams) {
    std::vector<std::size_t> position(input.weights.size(), upstreams.size());
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        position[upstreams[n]] = n;
    }
    shard_distribution result;
    result.counts.resize(upstreams.size());
    result.stationary.resize(upstreams.size());
    for (std::uint32_t n = 0; n < service.shards.size(); ++n) {
        const auto& row = service.shards[n];
        result.total += row.next == placed_elsewhere ? 0 : 1;
        const auto index = input.intended_owner(row);
        if (index < position.size() && position[index] < upstreams.size()) {
            ++result.counts[position[index]];
            if (row.next == no_upstream) {
                result.stationary[position[index]].push_back(n);
            }
        } else if (input.needs_new_target(row)) {
            result.to_assign.push_back(n);
        }
    }
    return result;
}

// Takes the highest shards, so that those that stay form few ranges in a grant.
void take_surplus(shard_distribution& distribution, const std::vector<std::uint32_t>& shares) {
    for (std::size_t n = 0; n < shares.size(); ++n) {
        auto& stationary = distribution.stationary[n];
        while (distribution.counts[n] > shares[n] && !stationary.empty()) {
            distribution.to_assign.push_back(stationary.back());
            stationary.pop_back();
            --distribution.counts[n];
        }
    }
}

} // namespace

void plan_shards(const plan_input& input, const std::string& name, const service_rows& service,
                 move_list& moves) {
    complete_moves(input, service, moves);
    const auto upstreams = input.eligible_upstreams(name);
    if (upstreams.empty()) {
        return;
    }
    std::vector<double> weights;
    weights.reserve(upstreams.size());
    for (const auto index : upstreams) {
        weights.push_back(input.weights[index]);
    }
    auto distribution = count_shards(input, service, upstreams);
    const auto shares = fair_shares(weights, distribution.counts, distribution.total);
    take_surplus(distribution, shares);
    std::sort(distribution.to_assign.begin(), distribution.to_assign.end());
    auto next = distribution.to_assign.begin();
    for (std::size_t n = 0; n < shares.size(); ++n) {
        for (; distribution.counts[n] < shares[n] && next != distribution.to_assign.end();
             ++next, ++distribution.counts[n]) {
            moves.add_begin(input.rows.upstreams[upstreams[n]].name, *next);
        }
    }
}

} // namespace kingcupseam::ownership
