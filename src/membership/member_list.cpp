#include "membership/member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace kingcupseam::membership {

namespace {

// Each change is passed on this many times for each doubling of the group. With 3 the chance that a member
// misses a change is below one in a thousand at 1% loss.
constexpr std::uint32_t transmissions_per_doubling = 3;

// Each member probes a suspect itself, when it learns of the suspicion and once more halfway to its end. The
// refutation then reaches it directly; passed on from member to member it would often arrive after the
// suspicion timeout.
constexpr std::uint32_t checks_of_suspect = 2;

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
        // The end of an instance that was never known needs no passing on, and would return forgotten
        // records.
        if (usable(received.condition)) {
            set(members_[received.id.name], received, now);
        }
        return usable(received.condition);
    }
    const auto before = it->second.known;
    if (!supersedes(received, before)) {
        return false;
    }
    suspects_ -= before.condition == status::suspect ? 1 : 0;
    set(it->second, received, now);
    return before.condition != received.condition || before.id != received.id;
}

void member_list::set(member& it, const record& received, time_point now) {
    suspects_ += received.condition == status::suspect ? 1 : 0;
    if (!it.queued) {
        queue_.push_back(&it);
    }
    it = {received, now, 0, 0, true};
}

void member_list::announce_self(const record& self) {
    set(self_, self, {});
}

std::uint32_t member_list::transmission_limit() const {
    return transmissions_per_doubling * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

std::vector<record> member_list::changes_to_send() {
    const auto count = std::min(queue_.size(), settings_.max_piggyback);
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(queue_.begin(), end, queue_.end(),
                      [](const member* a, const member* b) { return a->transmitted < b->transmitted; });
    std::vector<record> result;
    result.reserve(count);
    const auto limit = transmission_limit();
    for (std::size_t n = 0; n < count; ++n) {
        auto& it = *queue_[n];
        result.push_back(it.known);
        it.queued = ++it.transmitted < limit;
    }
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), [](const member* it) { return !it->queued; }),
                 queue_.end());
    return result;
}

void member_list::extend_suspicions(duration pause) {
    for (auto& [name, it] : members_) {
        if (it.known.condition == status::suspect) {
            it.since += pause;
        }
    }
}

std::vector<record> member_list::suspects_to_check(time_point now) {
    std::vector<record> due;
    for (auto& [name, it] : members_) {
        if (it.known.condition == status::suspect && it.checks < checks_of_suspect &&
            now - it.since >= settings_.suspicion_timeout * it.checks / checks_of_suspect) {
            ++it.checks;
            due.push_back(it.known);
        }
    }
    return due;
}

void member_list::forget_dead(time_point now) {
    for (auto it = members_.begin(); it != members_.end();) {
        const bool over =
            !usable(it->second.known.condition) && now - it->second.since > settings_.dead_retention;
        if (over) {
            queue_.erase(std::remove(queue_.begin(), queue_.end(), &it->second), queue_.end());
        }
        it = over ? members_.erase(it) : std::next(it);
    }
}

const member_list::member* member_list::find(const std::string& name) const {
    const auto it = members_.find(name);
    return it == members_.end() ? nullptr : &it->second;
}

// A shuffled round bounds the time until a given member is probed by this one, which independent draws would
// not.
const member_list::member* member_list::next_to_probe() {
    if (round_.empty()) {
        for (const auto& [name, it] : members_) {
            round_.push_back(name);
        }
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    while (!round_.empty()) {
        const auto* it = find(round_.back());
        round_.pop_back();
        if (it != nullptr && usable(it->known.condition)) {
            return it;
        }
    }
    return nullptr;
}

// Every member is the successor of one other, so it is probed within an interval; with random probes alone
// this took up to five. The hash keeps members with similar names, which often share a rack, apart in the
// ring.
const member_list::member* member_list::successor_of(const std::string& name) const {
    const auto own = XXH3_64bits(name.data(), name.size());
    const member* nearest = nullptr;
    std::uint64_t shortest = 0;
    for (const auto& [other, it] : members_) {
        const std::uint64_t distance = XXH3_64bits(other.data(), other.size()) - own;
        if (usable(it.known.condition) && (nearest == nullptr || distance < shortest)) {
            nearest = &it;
            shortest = distance;
        }
    }
    return nearest;
}

std::vector<const member_list::member*> member_list::pick(std::size_t count, bool wanted,
                                                          const std::string& except) {
    std::vector<const member*> candidates;
    for (const auto& [name, it] : members_) {
        if (name != except && usable(it.known.condition) == wanted && it.known.condition != status::left) {
            candidates.push_back(&it);
        }
    }
    std::vector<const member*> result;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(result), count, random_);
    return result;
}

std::size_t member_list::usable_count() const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [](const auto& it) { return usable(it.second.known.condition); }));
}

} // namespace kingcupseam::membership
