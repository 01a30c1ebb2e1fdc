#include "membership/member_list.h"

#include <algorithm>

namespace kingcupseam::membership {

namespace {

// Interval at which joining is repeated until a seed answers; seeds may start later than this instance.
constexpr duration join_interval = std::chrono::milliseconds(500);
// Intervals at which dead members and seeds without an answer are probed; long, so that many of them cost
// little.
constexpr duration dead_retry_interval = std::chrono::seconds(1);
constexpr duration seed_retry_interval = std::chrono::seconds(10);
// 32 records take less than 1,400 bytes, so that the datagram is not fragmented.
constexpr std::size_t records_per_message = 32;
// Number of members to which a leaving instance announces its departure; these spread it to the others.
constexpr std::size_t leave_fanout = 3;
// A random member is probed in every n-th interval, in addition to the successor. These probes detect the
// loss of members whose predecessor in the ring is lost too, and spread changes beyond the neighbours.
constexpr std::uint64_t random_probe_every = 8;
// Number of members to which a death or a refutation is sent as soon as it is known. A refutation that is
// only piggybacked on probes could arrive after the suspicion timeout.
constexpr std::size_t immediate_fanout = 3;

} // namespace

struct detector::state {
    struct probe {
        instance_id target;
        endpoint_address address;
        record requester; ///< sender of the indirect probe; empty id: this instance probes on its own
        std::uint64_t requester_sequence = 0;
        time_point sent;
        bool indirect_sent = false;
    };

    state(options chosen, time_point now)
        : settings(std::move(chosen)), self(settings.self), random(settings.seed) {
        last_tick = now;
        // Random offset, so that instances that start together do not probe at the same time.
        next_probe = now + duration(static_cast<std::int64_t>(
                               random() % static_cast<std::uint64_t>(settings.probe_interval.count())));
        next_join = now;
        next_dead_retry = now + dead_retry_interval;
        next_seed_retry = now + seed_retry_interval;
        members.announce_self(self);
    }

    void send(effects& out, message_kind kind, const endpoint_address& to, std::uint64_t sequence,
              std::vector<record> changes);
    std::vector<record> records_for(const std::string& name);
    void apply_record(effects& out, const record& received, time_point now);
    void disseminate(effects& out, const record& received);
    void set_status(effects& out, const std::string& name, status condition, time_point now);
    void start_probe(effects& out, const record& target, const record& requester, std::uint64_t sequence,
                     time_point now);
    void handle_probe_timeouts(effects& out, time_point now);
    void handle_suspicion_timeouts(effects& out, time_point now);
    void retry_dead(effects& out, time_point now);
    void contact_seeds(effects& out, time_point now);
    void reply_to_join(effects& out, const message& received, const endpoint_address& from);
    void complete_probe(effects& out, const message& received);

    options settings;
    record self;
    std::mt19937_64 random;
    member_list members{settings, random};
    std::map<std::uint64_t, probe> pending_probes;
    std::uint64_t next_sequence = 0;
    std::size_t immediate_retries = 0; ///< probes of dead members to send without delay, after one returned
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

// An instance that is not alive in this list is sent its own record, so that it can refute it. It gets no
// other changes: after a partition, records of the other side would make its side suspect its own members.
std::vector<record> detector::state::records_for(const std::string& name) {
    const auto* it = members.find(name);
    if (it != nullptr && it->known.condition != status::alive) {
        return {self, it->known};
    }
    return members.changes_to_send();
}

void detector::state::apply_record(effects& out, const record& received, time_point now) {
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
            disseminate(out, received);
        }
        immediate_retries = returned ? members.all().size() : immediate_retries;
    }
}

void detector::state::disseminate(effects& out, const record& received) {
    // An acknowledgement that belongs to no probe carries the record, since it needs no answer.
    for (const auto* one : members.random_members(immediate_fanout, true, "")) {
        send(out, message_kind::probe_ack, one->known.address, 0, {received});
    }
}

void detector::state::set_status(effects& out, const std::string& name, status condition, time_point now) {
    auto changed = members.find(name)->known;
    changed.condition = condition;
    apply_record(out, changed, now);
}

void detector::state::start_probe(effects& out, const record& target, const record& requester,
                                  std::uint64_t sequence, time_point now) {
    pending_probes[++next_sequence] = {target.id, target.address, requester, sequence, now, false};
    send(out, message_kind::probe, target.address, next_sequence, records_for(target.id.name));
}

void detector::state::handle_probe_timeouts(effects& out, time_point now) {
    for (auto it = pending_probes.begin(); it != pending_probes.end();) {
        auto& one = it->second;
        const bool own = one.requester.id.name.empty();
        if (now < one.sent + settings.probe_timeout) {
            ++it;
            continue;
        }
        if (own && !one.indirect_sent) {
            one.indirect_sent = true;
            for (const auto* helper :
                 members.random_members(settings.indirect_probes, true, one.target.name)) {
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
            set_status(out, one.target.name, status::suspect, now);
        }
        it = pending_probes.erase(it);
    }
}

void detector::state::handle_suspicion_timeouts(effects& out, time_point now) {
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
        set_status(out, name, status::dead, now);
    }
    for (const auto& it : members.suspects_to_probe(now)) {
        send(out, message_kind::probe, it.address, ++next_sequence, records_for(it.id.name));
    }
}

void detector::state::retry_dead(effects& out, time_point now) {
    if (now < next_dead_retry && immediate_retries == 0) {
        return;
    }
    next_dead_retry = now + dead_retry_interval;
    immediate_retries -= std::min<std::size_t>(immediate_retries, 1);
    for (const auto* it : members.random_members(1, false, "")) {
        send(out, message_kind::probe, it->known.address, ++next_sequence, records_for(it->known.id.name));
    }
}

// A seed that is not a member may be on the other side of a partition that has lasted longer than
// dead_retention.
void detector::state::contact_seeds(effects& out, time_point now) {
    if (now < next_join) {
        return;
    }
    const bool no_active_member = members.active_count() == 0;
    if (!no_active_member && now < next_seed_retry) {
        next_join = now + join_interval;
        return;
    }
    next_join = now + join_interval;
    next_seed_retry = now + seed_retry_interval;
    for (const auto& seed : settings.seeds) {
        const auto known = std::any_of(members.all().begin(), members.all().end(), [&seed](const auto& it) {
            return it.second.known.address == seed && is_active(it.second.known.condition);
        });
        if (!known && seed != self.address) {
            send(out, message_kind::join, seed, 0, {self});
        }
    }
}

void detector::state::reply_to_join(effects& out, const message& received, const endpoint_address& from) {
    std::vector<record> records{self};
    for (const auto& [name, it] : members.all()) {
        if (is_active(it.known.condition) || name == received.from.name) {
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

void detector::state::complete_probe(effects& out, const message& received) {
    const auto it = pending_probes.find(received.sequence);
    if (it == pending_probes.end()) {
        return;
    }
    if (!it->second.requester.id.name.empty()) {
        send(out, message_kind::probe_ack, it->second.requester.address, it->second.requester_sequence,
             members.changes_to_send());
    }
    pending_probes.erase(it);
}

detector::detector(options settings, time_point now)
    : state_(std::make_shared<state>(std::move(settings), now)) {}

// A pause of this process makes answers late, so pending probes and suspicions must not expire because of it.
effects detector::tick(time_point now) {
    auto& it = *state_;
    effects out;
    const auto gap = now - it.last_tick;
    it.last_tick = now;
    if (gap > it.settings.probe_timeout) {
        it.pending_probes.clear();
        it.members.extend_suspicions(gap);
    }
    if (it.leaving) {
        return out;
    }
    if (gap > it.settings.probe_timeout) {
        // The others may suspect this instance, and their next probe may come after the suspicion timeout.
        ++it.self.version;
        it.members.announce_self(it.self);
        it.disseminate(out, it.self);
    }
    it.handle_probe_timeouts(out, now);
    it.handle_suspicion_timeouts(out, now);
    it.contact_seeds(out, now);
    if (now >= it.next_probe) {
        it.next_probe = std::max(it.next_probe + it.settings.probe_interval, now);
        if (const auto* target = it.members.successor_of(it.self.id.name)) {
            it.start_probe(out, target->known, {}, 0, now);
        }
        if (++it.intervals % random_probe_every == 0) {
            if (const auto* target = it.members.next_random_target()) {
                it.start_probe(out, target->known, {}, 0, now);
            }
        }
        it.retry_dead(out, now);
        it.members.remove_expired(now);
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
        it.apply_record(out, change, now);
    }
    if (it.members.find(received.from.name) == nullptr) {
        it.apply_record(out, {received.from, status::alive, 0, from}, now);
    }
    switch (received.kind) {
    case message_kind::probe:
        it.send(out, message_kind::probe_ack, from, received.sequence, it.records_for(received.from.name));
        break;
    case message_kind::indirect_probe:
        it.start_probe(out, {received.subject, status::alive, 0, received.address},
                       {received.from, status::alive, 0, from}, received.sequence, now);
        break;
    case message_kind::join:
        it.reply_to_join(out, received, from);
        break;
    case message_kind::probe_ack:
        it.complete_probe(out, received);
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
    for (const auto* one : it.members.random_members(leave_fanout, true, "")) {
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
    return it != nullptr && it->known.id == id && is_active(it->known.condition);
}

} // namespace kingcupseam::membership
