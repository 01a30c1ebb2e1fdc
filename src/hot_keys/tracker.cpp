#include <kingcupseam/hot_keys.h>

#include <algorithm>
#include <cmath>

namespace kingcupseam::hot_keys {

namespace {

// Decaying all entries at each request would cost more than the request; ten times a second is precise
// enough.
constexpr duration decay_interval = std::chrono::milliseconds(100);
// Entries below this count are removed, so that an idle tracker becomes empty.
constexpr double negligible_count = 0.01;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

std::size_t tracker::id_hash::operator()(const id& value) const noexcept {
    const auto first = std::hash<std::string>{}(value.service);
    return first ^ (std::hash<std::string>{}(value.key) + 0x9e3779b97f4a7c15U + (first << 6U));
}

void tracker::record(const std::string& service, const std::string& key, time_point now) {
    if (started_ == time_point{}) {
        started_ = now;
        decayed_ = now;
    }
    decay(now);
    total_ += 1;
    const id added{service, key};
    if (const auto it = entries_.find(added); it != entries_.end()) {
        it->second.count += 1;
    } else if (entries_.size() < settings_.capacity) {
        entries_.emplace(added, entry{1, 0});
    } else {
        replace_smallest(added);
    }
}

void tracker::replace_smallest(const id& added) {
    const auto smallest =
        std::min_element(entries_.begin(), entries_.end(),
                         [](const auto& a, const auto& b) { return a.second.count < b.second.count; });
    const double count = smallest->second.count;
    entries_.erase(smallest);
    entries_.emplace(added, entry{count + 1, count});
}

void tracker::decay(time_point now) {
    if (now - decayed_ < decay_interval) {
        return;
    }
    const double factor = std::exp2(-seconds(now - decayed_) / seconds(settings_.half_life));
    decayed_ = now;
    total_ *= factor;
    for (auto& [it, counts] : entries_) {
        counts.count *= factor;
        counts.max_overestimate *= factor;
    }
    std::erase_if(entries_, [](const auto& it) { return it.second.count < negligible_count; });
}

std::vector<key_rate> tracker::hottest(time_point now) {
    decay(now);
    // At a steady rate r the count converges to r * half_life / ln 2. Since the start it has reached
    // converged_fraction of that value.
    const double half_life = seconds(settings_.half_life);
    const double converged_fraction = 1 - std::exp2(-std::max(seconds(now - started_), 0.5) / half_life);
    const double rate_per_count = std::log(2.0) / half_life / converged_fraction;
    std::vector<key_rate> result;
    for (const auto& [it, counts] : entries_) {
        const double guaranteed_count = counts.count - counts.max_overestimate;
        if (guaranteed_count * rate_per_count >= settings_.min_rate &&
            guaranteed_count >= settings_.min_share * total_) {
            result.push_back({it.service, it.key, guaranteed_count * rate_per_count});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.requests_per_second > b.requests_per_second; });
    result.resize(std::min(result.size(), settings_.max_reported));
    return result;
}

} // namespace kingcupseam::hot_keys
