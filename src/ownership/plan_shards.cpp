#include "ownership/planning.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcupseam::ownership {

namespace {

// Shares are sums of a few doubles; an exact whole share must not round down.
constexpr double rounding = 1e-9;

} // namespace

std::vector<std::uint32_t> fair_shares(const std::vector<double>& weights,
                                       const std::vector<std::uint32_t>& current, std::uint32_t total) {
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::uint32_t> shares(weights.size());
    std::vector<double> rest(weights.size());
    std::uint32_t left = total;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        const double exact = total * weights[n] / sum;
        shares[n] = static_cast<std::uint32_t>(std::floor(exact + rounding));
        rest[n] = exact - shares[n];
        left -= shares[n];
    }
    std::vector<std::size_t> order(weights.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const bool keeps_a = current[a] > shares[a];
        const bool keeps_b = current[b] > shares[b];
        return keeps_a != keeps_b ? keeps_a : rest[a] > rest[b];
    });
    for (std::size_t n = 0; n < order.size() && left > 0; ++n, --left) {
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

/// Shards by position in the list of eligible upstreams.
struct holdings {
    std::vector<std::uint32_t> counts;               ///< shards held or on their way
    std::vector<std::vector<std::uint32_t>> at_rest; ///< shards that can be moved away
    std::vector<std::uint32_t> free;                 ///< shards that need an owner now
    std::uint32_t total = 0;                         ///< shards at home here
};

holdings count_holdings(const plan_input& input, const service_rows& service,
                        const std::vector<std::uint32_t>& upstreams) {
    std::vector<std::size_t> position(input.weights.size(), upstreams.size());
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        position[upstreams[n]] = n;
    }
    holdings result;
    result.counts.resize(upstreams.size());
    result.at_rest.resize(upstreams.size());
    for (std::uint32_t n = 0; n < service.shards.size(); ++n) {
        const auto& row = service.shards[n];
        result.total += row.next == placed_elsewhere ? 0 : 1;
        const auto index = input.intended_owner(row);
        if (index < position.size() && position[index] < upstreams.size()) {
            ++result.counts[position[index]];
            if (row.next == no_upstream) {
                result.at_rest[position[index]].push_back(n);
            }
        } else if (input.needs_new_target(row)) {
            result.free.push_back(n);
        }
    }
    return result;
}

// Takes from the end, so that the ranges of a grant stay long.
void take_surplus(holdings& held, const std::vector<std::uint32_t>& shares) {
    for (std::size_t n = 0; n < shares.size(); ++n) {
        auto& at_rest = held.at_rest[n];
        while (held.counts[n] > shares[n] && !at_rest.empty()) {
            held.free.push_back(at_rest.back());
            at_rest.pop_back();
            --held.counts[n];
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
    auto held = count_holdings(input, service, upstreams);
    const auto shares = fair_shares(weights, held.counts, held.total);
    take_surplus(held, shares);
    std::sort(held.free.begin(), held.free.end());
    auto next = held.free.begin();
    for (std::size_t n = 0; n < shares.size(); ++n) {
        for (; held.counts[n] < shares[n] && next != held.free.end(); ++next, ++held.counts[n]) {
            moves.add_begin(input.rows.upstreams[upstreams[n]].name, *next);
        }
    }
}

} // namespace kingcupseam::ownership
