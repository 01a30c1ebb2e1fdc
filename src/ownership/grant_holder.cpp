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
    std::unordered_map<std::string, time_point> issued;
    std::deque<std::string> tokens; ///< in the order of issue
    epoch_number epoch = 0;
    epoch_number version = 0;
    epoch_number newest_version = 0; ///< highest version seen within the epoch, held or not
    scope granted;
    time_point live_until{};

    void forget_tokens(time_point now);
    void renew(duration lease, const std::string& token);
};

void grant_holder::state::forget_tokens(time_point now) {
    while (!tokens.empty() && issued.at(tokens.front()) + token_retention < now) {
        issued.erase(tokens.front());
        tokens.pop_front();
    }
}

void grant_holder::state::renew(duration lease, const std::string& token) {
    const auto it = issued.find(token);
    if (it != issued.end()) {
        live_until = std::max(live_until, it->second + lease);
    }
}

grant_holder::grant_holder(std::uint64_t seed) : state_(std::make_shared<state>()) {
    state_->random.seed(seed);
}

std::string grant_holder::issue_token(time_point now) {
    auto& it = *state_;
    it.forget_tokens(now);
    std::string token = std::to_string(it.random()) + "-" + std::to_string(it.tokens.size());
    if (it.issued.emplace(token, now).second) {
        it.tokens.push_back(token);
    }
    return token;
}

grant_holder::reply grant_holder::receive(epoch_number epoch, epoch_number version, duration lease,
                                          const std::string& token, const std::optional<scope>& granted,
                                          time_point now) {
    auto& it = *state_;
    it.forget_tokens(now);
    // Versions rise within an epoch too, so a lower one is a delayed grant.
    if (epoch < it.epoch || (epoch == it.epoch && version < it.newest_version)) {
        return reply::lower_epoch;
    }
    if (epoch > it.epoch) {
        // A lease of the former gate is unknown to the next one, which could not wait for its end.
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
