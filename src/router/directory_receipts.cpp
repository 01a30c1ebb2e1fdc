#include "router/directory_receipts.h"

namespace kingcupseam::router {

namespace {

constexpr duration max_change_age = std::chrono::seconds(60);

} // namespace

void directory_receipts::on_change(std::uint64_t index, time_point now) {
    changes_.emplace(index, now);
    drop_old_changes(now);
}

void directory_receipts::drop_old_changes(time_point now) {
    // The newest one is kept: an entry that lacks it is behind whatever its age.
    while (changes_.size() > 1 && now - changes_.begin()->second > max_change_age) {
        changes_.erase(changes_.begin());
    }
}

void directory_receipts::on_report(const std::string& entry, std::uint64_t held_index, time_point now) {
    held_[entry] = held_index;
    drop_old_changes(now);
}

std::vector<entry_lag> directory_receipts::overdue(duration limit, time_point now) const {
    std::vector<entry_lag> result;
    for (const auto& [entry, index] : held_) {
        const auto missing = changes_.upper_bound(index);
        if (missing != changes_.end() && now - missing->second > limit) {
            result.push_back({entry, index, now - missing->second});
        }
    }
    return result;
}

} // namespace kingcupseam::router
