#include "ledger/record_order.h"

#include <deque>
#include <unordered_map>

namespace kingcupseam::ledger {
namespace {

/// A record without service and shard, which all records of a window share.
struct compact_record {
    std::uint64_t epoch = 0;
    std::uint64_t attempt = 0;
    time_point expires;
    std::string digest;
    std::string answer;
    int status = 0;
    record_state state = record_state::begun;
};

using window_map = std::unordered_map<std::string, compact_record>;

struct shard_state {
    std::uint64_t fenced_epoch = 0;
    window_map records;
};

/// When a record may be dropped. Refers to a record in a shard's map, whose nodes do not move. A record is
/// erased only through the expiry with its current time, so `key` stays valid.
struct expiry {
    time_point at;
    window_map* shard_records = nullptr;
    const std::string* key = nullptr;
};

// Up to 15 characters are stored inside the string object; a longer text has a heap block with a terminator
// and, by estimate, 16 bytes of the allocator.
std::size_t heap_bytes(const std::string& text) {
    return text.capacity() > 15 ? text.capacity() + 17 : 0;
}

/// Estimated memory of a record. A map node has links, a hash and a bucket entry, and 16 bytes of the
/// allocator.
std::size_t bytes_of(const std::string& key, const compact_record& it) {
    constexpr std::size_t node =
        sizeof(std::pair<const std::string, compact_record>) + 3 * sizeof(void*) + 16;
    return node + sizeof(expiry) + heap_bytes(key) + heap_bytes(it.digest) + heap_bytes(it.answer);
}

} // namespace

struct replica::state {
    replica_options settings;
    bool is_ready = true;
    std::map<std::pair<std::string, std::uint32_t>, shard_state> shards;
    std::deque<expiry> expiries;
    std::size_t records = 0;
    std::size_t bytes = 0;

    void drop_expired(time_point now) {
        while (!expiries.empty() && expiries.front().at <= now) {
            const expiry oldest = expiries.front();
            expiries.pop_front();
            const auto it = oldest.shard_records->find(*oldest.key);
            // A record that was written again has a later expiry.
            if (it->second.expires == oldest.at) {
                bytes -= bytes_of(it->first, it->second);
                --records;
                oldest.shard_records->erase(it);
            }
        }
    }

    static record expand(const std::string& service, std::uint32_t shard, const std::string& key,
                         const compact_record& it) {
        return {service, shard, key, it.epoch, it.attempt, it.state, it.status, it.answer, it.digest};
    }

    bool fits(const record& wanted, const compact_record* known) const {
        if (wanted.answer.size() > settings.max_answer_bytes) {
            return false;
        }
        const std::size_t added = known != nullptr ? 0 : 1;
        const std::size_t growth = wanted.answer.size() + (known != nullptr ? 0 : sizeof(compact_record));
        return records + added <= settings.max_records && bytes + growth <= settings.max_total_bytes;
    }

    void store(shard_state& shard, const record& wanted, time_point now) {
        const auto [it, added] = shard.records.try_emplace(wanted.key);
        compact_record& target = it->second;
        bytes -= added ? 0 : bytes_of(it->first, target);
        records += added ? 1 : 0;
        const time_point expires = now + settings.retention;
        if (added || target.expires != expires) {
            expiries.push_back({expires, &shard.records, &it->first});
        }
        target = {wanted.epoch,  wanted.attempt, expires,     wanted.digest,
                  wanted.answer, wanted.status,  wanted.state};
        bytes += bytes_of(it->first, target);
    }

    static bool may_replace(const record& wanted, const record& known) {
        switch (wanted.state) {
        case record_state::begun:
            // The gate of an older epoch may have dispatched its `begun` record.
            return (known.state == record_state::not_run && earlier_attempt(known, wanted)) ||
                   (known.state == record_state::begun && known.epoch == wanted.epoch &&
                    known.attempt < wanted.attempt);
        case record_state::answered:
            return known.state != record_state::answered;
        case record_state::not_run:
            // A delayed `not_run` must not hide a later attempt that was dispatched.
            return known.state != record_state::answered && known.epoch == wanted.epoch &&
                   known.attempt <= wanted.attempt;
        case record_state::absent:
            break;
        }
        return false;
    }
};

replica::replica(replica_options settings, replica_start start) : state_(std::make_shared<state>()) {
    state_->settings = settings;
    state_->is_ready = start == replica_start::new_group;
}

void replica::set_retention(duration retention) {
    auto& s = *state_;
    const duration added = retention - s.settings.retention;
    s.settings.retention = retention;
    if (added <= duration::zero()) {
        return;
    }
    for (auto& it : s.expiries) {
        it.at += added;
    }
    for (auto& [id, shard] : s.shards) {
        for (auto& [key, it] : shard.records) {
            it.expires += added;
        }
    }
}

write_result replica::write(const record& wanted, time_point now) {
    auto& s = *state_;
    s.drop_expired(now);
    if (!s.is_ready) {
        return {};
    }
    shard_state& shard = s.shards[{wanted.service, wanted.shard}];
    if (wanted.epoch < shard.fenced_epoch) {
        return {false, shard.fenced_epoch, {}};
    }
    shard.fenced_epoch = wanted.epoch;
    const auto it = shard.records.find(wanted.key);
    write_result result{false, shard.fenced_epoch, {}};
    if (it == shard.records.end()) {
        result.accepted = wanted.state != record_state::absent && s.fits(wanted, nullptr);
    } else {
        result.existing = state::expand(wanted.service, wanted.shard, it->first, it->second);
        if (*result.existing == wanted) {
            result.accepted = true; // a resent or duplicated write
            return result;
        }
        result.accepted = state::may_replace(wanted, *result.existing) && s.fits(wanted, &it->second);
    }
    if (result.accepted) {
        s.store(shard, wanted, now);
    }
    return result;
}

fence_result replica::fence(const std::string& service, std::uint32_t shard, std::uint64_t epoch,
                            time_point now) {
    auto& s = *state_;
    s.drop_expired(now);
    if (!s.is_ready) {
        return {};
    }
    shard_state& found = s.shards[{service, shard}];
    if (epoch < found.fenced_epoch) {
        return {false, found.fenced_epoch, {}};
    }
    found.fenced_epoch = epoch;
    fence_result result{true, epoch, {}};
    result.window.reserve(found.records.size());
    for (const auto& [key, it] : found.records) {
        result.window.push_back(state::expand(service, shard, key, it));
    }
    return result;
}

void replica::install(const std::vector<shard_window>& windows, time_point now) {
    auto& s = *state_;
    s.drop_expired(now);
    for (const auto& window : windows) {
        shard_state& shard = s.shards[{window.service, window.shard}];
        shard.fenced_epoch = std::max(shard.fenced_epoch, window.fenced_epoch);
        for (const auto& it : window.records) {
            const auto known = shard.records.find(it.key);
            if (known == shard.records.end() ||
                supersedes(it, state::expand(window.service, window.shard, it.key, known->second))) {
                s.store(shard, it, now);
            }
        }
    }
    s.is_ready = true;
}

bool replica::ready() const noexcept {
    return state_->is_ready;
}

std::vector<std::pair<std::string, std::uint32_t>> replica::shards() const {
    std::vector<std::pair<std::string, std::uint32_t>> result;
    for (const auto& [id, shard] : state_->shards) {
        result.push_back(id);
    }
    return result;
}

std::size_t replica::size() const noexcept {
    return state_->records;
}

std::size_t replica::bytes() const noexcept {
    return state_->bytes;
}

} // namespace kingcupseam::ledger
