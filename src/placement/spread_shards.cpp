#include <kingcupseam/placement.h>

#include <algorithm>
#include <numeric>

namespace kingcupseam::placement {

namespace {

/// Divides @p total in proportion to @p slots by the largest remainder method. Of equal remainders the data
/// centre with most shards comes first, which saves moves.
std::vector<std::int64_t> proportional_shares(std::int64_t total, const std::vector<std::uint32_t>& slots,
                                              const std::vector<std::int64_t>& counts) {
    const auto sum = std::accumulate(slots.begin(), slots.end(), std::int64_t{0});
    std::vector<std::int64_t> result(slots.size());
    std::vector<std::size_t> order(slots.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::int64_t remaining = total;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        result[n] = total * slots[n] / sum;
        remaining -= result[n];
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto remainder_a = total * slots[a] % sum;
        const auto remainder_b = total * slots[b] % sum;
        return remainder_a != remainder_b ? remainder_a > remainder_b : counts[a] > counts[b];
    });
    for (std::size_t n = 0; remaining > 0; ++n, --remaining) {
        ++result[order[n]];
    }
    return result;
}

/// Smooth weighted round-robin over the data centres.
class interleaver {
public:
    explicit interleaver(std::vector<std::int64_t> weights)
        : weights_(std::move(weights)), credit_(weights_.size()),
          total_(std::accumulate(weights_.begin(), weights_.end(), std::int64_t{0})) {}
    std::int16_t next() {
        for (std::size_t n = 0; n < credit_.size(); ++n) {
            credit_[n] += weights_[n];
        }
        std::size_t best = 0;
        for (std::size_t n = 1; n < credit_.size(); ++n) {
            if (weights_[n] > 0 && (weights_[best] == 0 || credit_[n] > credit_[best])) {
                best = n;
            }
        }
        credit_[best] -= total_;
        return static_cast<std::int16_t>(best);
    }

private:
    std::vector<std::int64_t> weights_;
    std::vector<std::int64_t> credit_;
    std::int64_t total_;
};

/// Selects all unplaced shards, then evenly spaced surplus shards of each data centre among its movable ones,
/// until there are @p room in all.
std::vector<std::size_t> shards_to_move(const std::vector<std::int16_t>& current,
                                        const std::vector<bool>& movable,
                                        const std::vector<std::int64_t>& surplus, std::int64_t room) {
    std::vector<std::int64_t> candidates(surplus.size());
    std::vector<std::size_t> result;
    for (std::size_t shard = 0; shard < current.size(); ++shard) {
        if (current[shard] == unplaced) {
            result.push_back(shard);
            --room;
        } else if (movable[shard]) {
            ++candidates[static_cast<std::size_t>(current[shard])];
        }
    }
    std::vector<std::int64_t> progress(surplus.size());
    for (std::size_t shard = 0; shard < current.size() && room > 0; ++shard) {
        if (current[shard] == unplaced || !movable[shard]) {
            continue;
        }
        const auto from = static_cast<std::size_t>(current[shard]);
        progress[from] += std::min(std::max<std::int64_t>(surplus[from], 0), candidates[from]);
        if (progress[from] >= candidates[from]) {
            progress[from] -= candidates[from];
            result.push_back(shard);
            --room;
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

std::vector<std::int16_t> spread_shards(const std::vector<std::int16_t>& current,
                                        const std::vector<std::uint32_t>& slots,
                                        const std::vector<bool>& movable, const std::vector<bool>& may_gain) {
    std::vector<std::int64_t> counts(slots.size());
    std::int64_t unplaced_count = 0;
    for (const auto it : current) {
        it == unplaced ? ++unplaced_count : ++counts[static_cast<std::size_t>(it)];
    }
    bool any_may_gain = false;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        any_may_gain = any_may_gain || (slots[n] > 0 && may_gain[n]);
    }
    if (!any_may_gain) {
        return current;
    }
    const auto wanted = proportional_shares(static_cast<std::int64_t>(current.size()), slots, counts);
    std::vector<std::int64_t> deficit(slots.size());
    std::vector<std::int64_t> surplus(slots.size());
    std::int64_t room = 0;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        surplus[n] = counts[n] - wanted[n];
        deficit[n] = may_gain[n] ? std::max<std::int64_t>(wanted[n] - counts[n], 0) : 0;
        room += deficit[n];
    }
    if (unplaced_count > room) {
        // A data centre with a deficit may not gain shards now, so the others take more than their share.
        for (std::size_t n = 0; n < slots.size(); ++n) {
            deficit[n] = may_gain[n] ? deficit[n] + slots[n] : 0;
        }
    }
    auto result = current;
    interleaver targets(deficit);
    for (const auto shard : shards_to_move(current, movable, surplus, room)) {
        result[shard] = targets.next();
    }
    return result;
}

} // namespace kingcupseam::placement
