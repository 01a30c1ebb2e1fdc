#include <kingcupseam/admission.h>

#include <algorithm>
#include <unordered_map>

namespace kingcupseam::admission {

struct poison_request_list::state {
    std::uint32_t crash_limit;
    duration retention;
    std::size_t max_records;
    std::unordered_map<std::string, record> records;

    record* find(const std::string& digest, time_point now) {
        const auto it = records.find(digest);
        return it == records.end() || it->second.expires <= now ? nullptr : &it->second;
    }
    /// When the list is full, drops the expired records, or else the one with the fewest crashes that expires
    /// first.
    void evict_if_full(time_point now) {
        if (records.size() < max_records) {
            return;
        }
        std::erase_if(records, [&](const auto& it) { return it.second.expires <= now; });
        if (records.size() < max_records) {
            return;
        }
        const auto evict_first = [](const auto& a, const auto& b) {
            return std::tie(a.second.crashes, a.second.expires) <
                   std::tie(b.second.crashes, b.second.expires);
        };
        records.erase(std::min_element(records.begin(), records.end(), evict_first));
    }
    /// The retention starts when the record is stored here, because the clocks of instances differ.
    record store(record added, time_point now) {
        if (!records.contains(added.digest)) {
            evict_if_full(now);
        }
        added.expires = now + retention;
        return records[added.digest] = added;
    }
};

poison_request_list::poison_request_list(std::uint32_t crash_limit, duration retention,
                                         std::size_t max_records)
    : state_(std::make_shared<state>(
          state{std::max(crash_limit, 1U), retention, std::max<std::size_t>(max_records, 1), {}})) {}

std::vector<poison_request_list::record>
poison_request_list::on_crash(const std::vector<std::string>& digests, time_point now) {
    std::vector<std::string> distinct(digests);
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    const auto is_suspected = [&](const std::string& it) { return status_of(it, now) != status::clear; };
    const auto suspected_count = std::count_if(distinct.begin(), distinct.end(), is_suspected);
    std::vector<record> changed;
    for (const auto& digest : distinct) {
        const record* known = state_->find(digest, now);
        const std::uint32_t before = known != nullptr ? known->crashes : 0;
        const bool attributed = distinct.size() == 1 || (suspected_count == 1 && is_suspected(digest));
        const std::uint32_t limit = attributed ? before + 1 : std::max(before, state_->crash_limit - 1);
        changed.push_back(state_->store({digest, std::min(before + 1, limit), false, {}}, now));
    }
    return changed;
}

std::optional<poison_request_list::record> poison_request_list::on_survived(const std::string& digest,
                                                                            time_point now) {
    record* known = state_->find(digest, now);
    if (known == nullptr || known->survived || known->crashes >= state_->crash_limit) {
        return std::nullopt;
    }
    known->survived = true;
    return *known;
}

void poison_request_list::merge(const record& other, time_point now) {
    if (other.expires <= now) {
        return;
    }
    const record* known = state_->find(other.digest, now);
    if (known != nullptr && (known->crashes > other.crashes ||
                             (known->crashes == other.crashes && (known->survived || !other.survived)))) {
        return;
    }
    state_->store(other, now);
}

poison_request_list::status poison_request_list::status_of(const std::string& digest, time_point now) const {
    const record* known = state_->find(digest, now);
    if (known == nullptr) {
        return status::clear;
    }
    if (known->crashes >= state_->crash_limit) {
        return status::refused;
    }
    return known->survived ? status::clear : status::suspected;
}

} // namespace kingcupseam::admission
