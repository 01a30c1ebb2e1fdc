#include "membership/member_list.h"

#include <algorithm>

namespace kingcupseam::membership {

namespace {

// Joining is repeated until a seed answers; seeds may start later than this instance.
constexpr duration join_interval = std::chrono::milliseconds(500);
// Dead members and silent seeds are tried this rarely, so that many dead members do not raise the cost.
constexpr duration dead_retry_interval = std::chrono::seconds(1);
constexpr duration seed_retry_interval = std::chrono::seconds(10);
// Records in one datagram; 32 records stay below 1,400 bytes, so the datagram is not fragmented.
constexpr std::size_t records_per_message = 32;
// Members that are told of a planned stop directly; the others learn it from them.
constexpr std::size_t told_of_leaving = 3;
// Intervals between probes of a random member, besides the probe of the successor in each. They find members
// whose predecessor in the ring is lost too, and spread changes beyond the neighbours.
constexpr std::uint64_t random_probe_every = 8;
// Members that each member tells of a death or a refutation at once, when it learns of it. Passed on with the
// probes only, a refutation could miss the end of the suspicion.
constexpr std::size_t told_at_once = 3;

} // namespace

struct detector::state {
    struct probe {
        instance_id target;
        endpoint_address address;
        record requester; ///< of an indirect probe; its id is empty for a probe of this instance
        std::uint64_t requester_sequence = 0;
        time_point sent;
        bool indirect_sent = false;
    };

    state(options chosen, time_point now)
        : settings(std::move(chosen)), self(settings.self), random(settings.seed) {
        last_tick = now;
        // Instances that start together must not probe in step.
        next_probe = now + duration(static_cast<std::int64_t>(
                               random() % static_cast<std::uint64_t>(settings.probe_interval.count())));
        next_join = now;
        next_dead_retry = now + dead_retry_interval;
        next_seed_retry = now + seed_retry_interval;
        members.announce_self(self);
    }

    void send(effects& out, message_kind kind, const endpoint_address& to, std::uint64_t sequence,
              std::vector<record> changes);
    std::vector<record> changes_for(const std::string& name);
    void learn(effects& out, const record& received, time_point now);
    void pass_on(effects& out, const record& received);
    void mark(effects& out, const std::string& name, status condition, time_point now);
    void start_probe(effects& out, const record& target, const record& requester, std::uint64_t sequence,
                     time_point now);
    void check_probes(effects& out, time_point now);
    void check_suspicions(effects& out, time_point now);
    void retry_dead(effects& out, time_point now);
    void try_seeds(effects& out, time_point now);
    void answer_join(effects& out, const message& received, const endpoint_address& from);
    void settle(effects& out, const message& received);

    options settings;
    record self;
    std::mt19937_64 random;
    member_list members{settings, random};
    std::map<std::uint64_t, probe> open;
    std::uint64_t next_sequence = 0;
    std::size_t eager_retries =
        0; ///< dead members that are tried without waiting, after one of them came back
    bool leaving = false;
    std::uint64_t intervals = 0;
    time_point last_tick;
    time_point next_probe;
    time_point next_join;
    time_point next_dead_retry;
    time_point next_seed_retry;
};

void detector::state::send(effects& out, message_kind kind, const endpoint_address& to,
                           std::uint64_t sequence, std::vector<record> changes) {
    out.messages.push_back({to, {kind, sequence, self.id, {}, {}, std::move(changes)}});
}

// An instance that is not alive here is told so, which lets it refute. It gets nothing else: records from the
// other side of a partition would make its side suspect its own members.
std::vector<record> detector::state::changes_for(const std::string& name) {
    const auto* it = members.find(name);
    if (it != nullptr && it->known.condition != status::alive) {
        return {self, it->known};
    }
    return members.changes_to_send();
}

void detector::state::learn(effects& out, const record& received, time_point now) {
    if (received.id.name == self.id.name) {
        if (received.id.incarnation == self.id.incarnation && received.condition != status::alive &&
            !leaving && received.version >= self.version) {
            self.version = received.version + 1;
            members.announce_self(self);
        }
        return;
    }
    const auto* before = members.find(received.id.name);
    const bool returned =
        before != nullptr && before->known.condition == status::dead && received.condition == status::alive;
    const bool refutes = before != nullptr && before->known.condition == status::suspect &&
                         received.condition == status::alive;
    if (members.apply(received, now)) {
        out.changed.push_back(received);
        if (received.condition == status::dead || refutes) {
            pass_on(out, received);
        }
        eager_retries = returned ? members.all().size() : eager_retries;
    }
}

void detector::state::pass_on(effects& out, const record& received) {
    // An acknowledgement that belongs to no probe carries the record and asks for no answer.
    for (const auto* one : members.pick(told_at_once, true, "")) {
        send(out, message_kind::probe_ack, one->known.address, 0, {received});
    }
}

void detector::state::mark(effects& out, const std::string& name, status condition, time_point now) {
    auto changed = members.find(name)->known;
    changed.condition = condition;
    learn(out, changed, now);
}

void detector::state::start_probe(effects& out, const record& target, const record& requester,
                                  std::uint64_t sequence, time_point now) {
    open[++next_sequence] = {target.id, target.address, requester, sequence, now, false};
    send(out, message_kind::probe, target.address, next_sequence, changes_for(target.id.name));
}

void detector::state::check_probes(effects& out, time_point now) {
    for (auto it = open.begin(); it != open.end();) {
        auto& one = it->second;
        const bool own = one.requester.id.name.empty();
        if (now < one.sent + settings.probe_timeout) {
            ++it;
            continue;
        }
        if (own && !one.indirect_sent) {
            one.indirect_sent = true;
            for (const auto* helper : members.pick(settings.indirect_probes, true, one.target.name)) {
                send(out, message_kind::indirect_probe, helper->known.address, it->first,
                     members.changes_to_send());
                out.messages.back().body.subject = one.target;
                out.messages.back().body.address = one.address;
            }
        }
        if (now < one.sent + 2 * settings.probe_timeout) {
            ++it;
            continue;
        }
        const auto* target = members.find(one.target.name);
        if (own && target != nullptr && target->known.condition == status::alive &&
            target->known.id == one.target) {
            mark(out, one.target.name, status::suspect, now);
        }
        it = open.erase(it);
    }
}

void detector::state::check_suspicions(effects& out, time_point now) {
    if (!members.any_suspect()) {
        return;
    }
    std::vector<std::string> expired;
    for (const auto& [name, it] : members.all()) {
        if (it.known.condition == status::suspect && now - it.since >= settings.suspicion_timeout) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
        mark(out, name, status::dead, now);
    }
    for (const auto& it : members.suspects_to_check(now)) {
        send(out, message_kind::probe, it.address, ++next_sequence, changes_for(it.id.name));
    }
}

void detector::state::retry_dead(effects& out, time_point now) {
    if (now < next_dead_retry && eager_retries == 0) {
        return;
    }
    next_dead_retry = now + dead_retry_interval;
    eager_retries -= std::min<std::size_t>(eager_retries, 1);
    for (const auto* it : members.pick(1, false, "")) {
        send(out, message_kind::probe, it->known.address, ++next_sequence, changes_for(it->known.id.name));
    }
}

// A seed that is not a member may be the other side of a partition that lasted longer than dead records are
// kept.
void detector::state::try_seeds(effects& out, time_point now) {
    if (now < next_join) {
        return;
    }
    const bool alone = members.usable_count() == 0;
    if (!alone && now < next_seed_retry) {
        next_join = now + join_interval;
        return;
    }
    next_join = now + join_interval;
    next_seed_retry = now + seed_retry_interval;
    for (const auto& seed : settings.seeds) {
        const auto known = std::any_of(members.all().begin(), members.all().end(), [&seed](const auto& it) {
            return it.second.known.address == seed && usable(it.second.known.condition);
        });
        if (!known && seed != self.address) {
            send(out, message_kind::join, seed, 0, {self});
        }
    }
}

void detector::state::answer_join(effects& out, const message& received, const endpoint_address& from) {
    std::vector<record> records{self};
    for (const auto& [name, it] : members.all()) {
        if (usable(it.known.condition) || name == received.from.name) {
            records.push_back(it.known);
        }
        if (records.size() == records_per_message) {
            send(out, message_kind::join_reply, from, received.sequence, std::move(records));
            records = {};
        }
    }
    if (!records.empty()) {
        send(out, message_kind::join_reply, from, received.sequence, std::move(records));
    }
}

void detector::state::settle(effects& out, const message& received) {
    const auto it = open.find(received.sequence);
    if (it == open.end()) {
        return;
    }
    if (!it->second.requester.id.name.empty()) {
        send(out, message_kind::probe_ack, it->second.requester.address, it->second.requester_sequence,
             members.changes_to_send());
    }
    open.erase(it);
}

detector::detector(options settings, time_point now)
    : state_(std::make_shared<state>(std::move(settings), now)) {}

// After a pause of this process, missing answers say nothing about the others.
effects detector::tick(time_point now) {
    auto& it = *state_;
    effects out;
    const auto gap = now - it.last_tick;
    it.last_tick = now;
    if (gap > it.settings.probe_timeout) {
        it.open.clear();
        it.members.extend_suspicions(gap);
    }
    if (it.leaving) {
        return out;
    }
    if (gap > it.settings.probe_timeout) {
        // The others may suspect this instance, and the next probe may come after the end of the suspicion.
        ++it.self.version;
        it.members.announce_self(it.self);
        it.pass_on(out, it.self);
    }
    it.check_probes(out, now);
    it.check_suspicions(out, now);
    it.try_seeds(out, now);
    if (now >= it.next_probe) {
        it.next_probe = std::max(it.next_probe + it.settings.probe_interval, now);
        if (const auto* target = it.members.successor_of(it.self.id.name)) {
            it.start_probe(out, target->known, {}, 0, now);
        }
        if (++it.intervals % random_probe_every == 0) {
            if (const auto* target = it.members.next_to_probe()) {
                it.start_probe(out, target->known, {}, 0, now);
            }
        }
        it.retry_dead(out, now);
        it.members.forget_dead(now);
    }
    return out;
}

effects detector::receive(const message& received, const endpoint_address& from, time_point now) {
    auto& it = *state_;
    effects out;
    if (it.leaving || received.from.name == it.self.id.name) {
        return out;
    }
    for (const auto& change : received.changes) {
        it.learn(out, change, now);
    }
    if (it.members.find(received.from.name) == nullptr) {
        it.learn(out, {received.from, status::alive, 0, from}, now);
    }
    switch (received.kind) {
    case message_kind::probe:
        it.send(out, message_kind::probe_ack, from, received.sequence, it.changes_for(received.from.name));
        break;
    case message_kind::indirect_probe:
        it.start_probe(out, {received.subject, status::alive, 0, received.address},
                       {received.from, status::alive, 0, from}, received.sequence, now);
        break;
    case message_kind::join:
        it.answer_join(out, received, from);
        break;
    case message_kind::probe_ack:
        it.settle(out, received);
        break;
    case message_kind::join_reply:
        break;
    }
    return out;
}

effects detector::leave(time_point /*now*/) {
    auto& it = *state_;
    effects out;
    it.leaving = true;
    it.self.condition = status::left;
    for (const auto* one : it.members.pick(told_of_leaving, true, "")) {
        it.send(out, message_kind::probe, one->known.address, 0, {it.self});
    }
    return out;
}

std::vector<record> detector::members() const {
    std::vector<record> result{state_->self};
    for (const auto& [name, it] : state_->members.all()) {
        result.push_back(it.known);
    }
    return result;
}

bool detector::alive(const instance_id& id) const {
    if (id == state_->self.id) {
        return !state_->leaving;
    }
    const auto* it = state_->members.find(id.name);
    return it != nullptr && it->known.id == id && usable(it->known.condition);
}

} // namespace kingcupseam::membership
