#include <kingcupseam/ownership.h>

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>

namespace kingcupseam::ownership {

namespace {

constexpr duration token_retention = std::chrono::minutes(1);

bool contains(const std::vector<std::pair<std::uint32_t, std::uint32_t>>& ranges, std::uint32_t shard) {
    return std::any_of(ranges.begin(), ranges.end(),
                       [shard](const auto& it) { return it.first <= shard && shard <= it.second; });
}

} // namespace

struct grant_holder::state {
    std::mt19937_64 random;
    std::unordered_map<std::string, time_point> issued_at;
    std::deque<std::string> tokens; ///< in the order of issue
    epoch_number epoch = 0;
    epoch_number version = 0;
    epoch_number newest_version = 0; ///< highest version of the epoch, also if its shards are missing
    scope granted;
    time_point live_until{};

    void drop_expired_tokens(time_point now);
    void renew(duration lease, const std::string& token);
};

void grant_holder::state::drop_expired_tokens(time_point now) {
    while (!tokens.empty() && issued_at.at(tokens.front()) + token_retention < now) {
        issued_at.erase(tokens.front());
        tokens.pop_front();
    }
}

void grant_holder::state::renew(duration lease, const std::string& token) {
    const auto it = issued_at.find(token);
    if (it != issued_at.end()) {
        live_until = std::max(live_until, it->second + lease);
    }
}

grant_holder::grant_holder(std::uint64_t seed) : state_(std::make_shared<state>()) {
    state_->random.seed(seed);
}

std::string grant_holder::issue_token(time_point now) {
    auto& it = *state_;
    it.drop_expired_tokens(now);
    std::string token = std::to_string(it.random()) + "-" + std::to_string(it.tokens.size());
    if (it.issued_at.emplace(token, now).second) {
        it.tokens.push_back(token);
    }
    return token;
}

grant_holder::reply grant_holder::receive(epoch_number epoch, epoch_number version, duration lease,
                                          const std::string& token, const std::optional<scope>& granted,
                                          time_point now) {
    auto& it = *state_;
    it.drop_expired_tokens(now);
    // Versions rise within an epoch, so a lower one belongs to a delayed grant.
    if (epoch < it.epoch || (epoch == it.epoch && version < it.newest_version)) {
        return reply::lower_epoch;
    }
    if (epoch > it.epoch) {
        // The gate of the new epoch does not know the lease of the former gate and cannot wait for its end.
        it.epoch = epoch;
        it.live_until = time_point{};
    }
    it.newest_version = version;
    if (version != it.version) {
        if (!granted) {
            it.live_until = time_point{};
            return reply::shards_missing;
        }
        it.version = version;
        it.granted = *granted;
    }
    it.renew(lease, token);
    return reply::accepted;
}

grant_refusal grant_holder::check(epoch_number epoch, std::uint32_t shard, const std::string& key,
                                  time_point now) const {
    const auto& it = *state_;
    if (epoch < it.epoch) {
        return grant_refusal::lower_epoch;
    }
    if (now >= it.live_until) {
        return grant_refusal::no_lease;
    }
    const bool covered = it.granted.hot_keys.count(key) > 0 ||
                         (it.granted.moved_keys.count(key) == 0 && contains(it.granted.shards, shard));
    return epoch == it.epoch && covered ? grant_refusal::none : grant_refusal::not_granted;
}

epoch_number grant_holder::epoch() const noexcept {
    return state_->epoch;
}
epoch_number grant_holder::version() const noexcept {
    return state_->version;
}
time_point grant_holder::live_until() const noexcept {
    return state_->live_until;
}

} // namespace kingcupseam::ownership
