#include "membership/member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace kingcupseam::membership {

namespace {

// Each change is sent this many times per doubling of the group size. With 3, the probability that a member
// misses a change is below one in a thousand at 1% message loss.
constexpr std::uint32_t transmissions_per_doubling = 3;

// Each member probes a suspect itself when it learns of the suspicion, and again after half of the suspicion
// timeout. It then gets the refutation directly; by way of other members it would often arrive too late.
constexpr std::uint32_t probes_per_suspect = 2;

bool supersedes(const record& received, const record& known) {
    if (received.id.incarnation != known.id.incarnation) {
        return received.id.incarnation > known.id.incarnation;
    }
    return received.version != known.version ? received.version > known.version
                                             : received.condition > known.condition;
}

} // namespace

bool member_list::apply(const record& received, time_point now) {
    const auto it = members_.find(received.id.name);
    if (it == members_.end()) {
        // A death or departure of an unknown instance is ignored: passing it on would bring back expired
        // records.
        if (is_active(received.condition)) {
            replace(members_[received.id.name], received, now);
        }
        return is_active(received.condition);
    }
    const auto before = it->second.known;
    if (!supersedes(received, before)) {
        return false;
    }
    suspects_ -= before.condition == status::suspect ? 1 : 0;
    replace(it->second, received, now);
    return before.condition != received.condition || before.id != received.id;
}

void member_list::replace(member& it, const record& received, time_point now) {
    suspects_ += received.condition == status::suspect ? 1 : 0;
    if (!it.queued) {
        pending_updates_.push_back(&it);
    }
    it = {received, now, 0, 0, true};
}

void member_list::announce_self(const record& self) {
    replace(self_, self, {});
}

std::uint32_t member_list::transmission_limit() const {
    return transmissions_per_doubling * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

std::vector<record> member_list::changes_to_send() {
    const auto count = std::min(pending_updates_.size(), settings_.max_piggyback);
    const auto end = pending_updates_.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(pending_updates_.begin(), end, pending_updates_.end(),
                      [](const member* a, const member* b) { return a->transmissions < b->transmissions; });
    std::vector<record> result;
    result.reserve(count);
    const auto limit = transmission_limit();
    for (std::size_t n = 0; n < count; ++n) {
        auto& it = *pending_updates_[n];
        result.push_back(it.known);
        it.queued = ++it.transmissions < limit;
    }
    pending_updates_.erase(std::remove_if(pending_updates_.begin(), pending_updates_.end(),
                                          [](const member* it) { return !it->queued; }),
                           pending_updates_.end());
    return result;
}

void member_list::extend_suspicions(duration pause) {
    for (auto& [name, it] : members_) {
        if (it.known.condition == status::suspect) {
            it.since += pause;
        }
    }
}

std::vector<record> member_list::suspects_to_probe(time_point now) {
    std::vector<record> due;
    for (auto& [name, it] : members_) {
        if (it.known.condition == status::suspect && it.suspect_probes < probes_per_suspect &&
            now - it.since >= settings_.suspicion_timeout * it.suspect_probes / probes_per_suspect) {
            ++it.suspect_probes;
            due.push_back(it.known);
        }
    }
    return due;
}

void member_list::remove_expired(time_point now) {
    for (auto it = members_.begin(); it != members_.end();) {
        const bool over =
            !is_active(it->second.known.condition) && now - it->second.since > settings_.dead_retention;
        if (over) {
            pending_updates_.erase(std::remove(pending_updates_.begin(), pending_updates_.end(), &it->second),
                                   pending_updates_.end());
        }
        it = over ? members_.erase(it) : std::next(it);
    }
}

const member_list::member* member_list::find(const std::string& name) const {
    const auto it = members_.find(name);
    return it == members_.end() ? nullptr : &it->second;
}

// Probing in shuffled rounds bounds the time until a given member is probed, unlike independent random
// choices.
const member_list::member* member_list::next_random_target() {
    if (probe_round_.empty()) {
        for (const auto& [name, it] : members_) {
            probe_round_.push_back(name);
        }
        std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
    }
    while (!probe_round_.empty()) {
        const auto* it = find(probe_round_.back());
        probe_round_.pop_back();
        if (it != nullptr && is_active(it->known.condition)) {
            return it;
        }
    }
    return nullptr;
}

// Every member is the successor of another one, so it is probed in every interval; with random probes alone
// it took up to five intervals. Hashing separates members with similar names, which often share a rack.
const member_list::member* member_list::successor_of(const std::string& name) const {
    const auto own = XXH3_64bits(name.data(), name.size());
    const member* nearest = nullptr;
    std::uint64_t shortest = 0;
    for (const auto& [other, it] : members_) {
        const std::uint64_t distance = XXH3_64bits(other.data(), other.size()) - own;
        if (is_active(it.known.condition) && (nearest == nullptr || distance < shortest)) {
            nearest = &it;
            shortest = distance;
        }
    }
    return nearest;
}

std::vector<const member_list::member*> member_list::random_members(std::size_t count, bool active,
                                                                    const std::string& except) {
    std::vector<const member*> candidates;
    for (const auto& [name, it] : members_) {
        if (name != except && is_active(it.known.condition) == active && it.known.condition != status::left) {
            candidates.push_back(&it);
        }
    }
    std::vector<const member*> result;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(result), count, random_);
    return result;
}

std::size_t member_list::active_count() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& it) {
        return is_active(it.second.known.condition);
    }));
}

} // namespace kingcupseam::membership
