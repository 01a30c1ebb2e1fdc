#include "ownership/simulation.h"

#include <algorithm>

namespace kingcupseam::ownership::test {

using namespace std::chrono_literals;

// The leader
// ----------------------------------------------------------------------------------------------------

// A gate that has applied the version of a lost row no longer grants what the row owned, so its report of the
// remaining time is the bound. Without such a report the bound is the end of the gate's lease.
time_point simulation::grant_end_bound(const upstream_row& row) const {
    auto bound = time_point::min();
    const auto gates = gates_of_.find(row.name);
    if (gates == gates_of_.end()) {
        return bound;
    }
    for (const auto& it : gates->second) {
        const auto known = leader_.reports.find({it, row.name});
        if (row.condition == upstream_status::lost && known != leader_.reports.end() &&
            make_epoch(1, known->second.table_version) >= row.version) {
            const auto remaining = known->second.remaining;
            bound = std::max(bound, known->second.received + remaining + max_clock_drift(remaining));
        } else if (const auto lease_bound = leader_.gate_bound.find(it);
                   lease_bound != leader_.gate_bound.end()) {
            bound = std::max(bound, lease_bound->second);
        }
    }
    return bound;
}

// The planner looks up the end of grants by name. While a lost incarnation still owns shards, the planner
// waits for the end of its grants; grants of the next incarnation are renewed and would make that wait
// endless.
bool simulation::former_incarnation_owns(const upstream_row& row) const {
    if (row.condition == upstream_status::lost) {
        return false;
    }
    const auto& all = rows().upstreams;
    const auto owns = [&](std::uint32_t index) {
        return index < all.size() && all[index].name == row.name &&
               all[index].condition == upstream_status::lost;
    };
    const auto& service = rows().services.at(service_name);
    return std::any_of(service.shards.begin(), service.shards.end(),
                       [&](const shard_row& it) { return owns(it.owner); }) ||
           std::any_of(service.hot_keys.begin(), service.hot_keys.end(),
                       [&](const auto& it) { return owns(it.second.owner); });
}

cluster_view simulation::view() const {
    cluster_view result;
    const auto now = local_time(leader_clock_);
    for (const auto& [name, last_contact] : leader_.last_contact) {
        if (now - last_contact < 300ms) {
            result.live_instances.insert(name);
        }
    }
    result.joined_at = leader_.joined;
    result.hot_keys = hot_keys_;
    if (options_.injected.complete_without_wait) {
        return result;
    }
    result.acknowledged_version = leader_.acknowledged;
    for (const auto& it : rows().upstreams) {
        if (former_incarnation_owns(it)) {
            continue;
        }
        auto& bound = result.grant_may_live_until.emplace(it.name, time_point::min()).first->second;
        bound = std::max(bound, grant_end_bound(it));
    }
    return result;
}

void simulation::step_leader() {
    // Planning takes most of the running time of a test, so a plan is made only every 5 ms.
    if (now_ < leader_.elected_at || !log_.empty() ||
        now_.time_since_epoch() % (5 * tick) != duration::zero()) {
        return;
    }
    for (const auto& it : rows().upstreams) {
        if (it.condition == upstream_status::active) {
            leader_.joined.emplace(it.name, local_time(leader_clock_) - options_.planning.ramp);
        }
    }
    for (const auto& it : leader_.active_planner->plan(rows(), view(), local_time(leader_clock_))) {
        propose(it);
    }
}

void simulation::receive_report(const std::string& name, std::uint64_t table_version,
                                const std::map<std::string, duration>& remaining,
                                const std::map<upstream_id, std::uint32_t>& failed,
                                const std::map<std::string, epoch_number>& accepted) {
    const auto now = local_time(leader_clock_);
    leader_.gate_bound[name] = now + lease + max_clock_drift(lease);
    leader_.last_contact[name] = now;
    for (const auto& [reported, left] : remaining) {
        auto& it = leader_.reports[{name, reported}];
        if (table_version >= it.table_version) {
            it = {table_version, left, now};
        }
    }
    for (const auto& [reported, version] : accepted) {
        auto& it = leader_.acknowledged[reported];
        it = std::max(it, version);
    }
    for (const auto& [id, failures] : failed) {
        if (failures >= 2) {
            propose(set_condition{id.first, id.second, upstream_status::lost, make_epoch(1, table_version)});
        }
    }
}

// Gates
// ---------------------------------------------------------------------------------------------------------

void simulation::request_lease(const std::string& name, gate& it) {
    const auto now = local_time(it.local);
    if (now < it.next_request) {
        return;
    }
    it.next_request = now + interval / 2;
    std::map<std::string, duration> remaining;
    std::map<upstream_id, std::uint32_t> failed;
    std::map<std::string, epoch_number> accepted;
    for (const auto& row : it.rows->upstreams) {
        auto& left = remaining[row.name];
        const auto own = it.issuers.find({row.name, row.incarnation});
        if (own == it.issuers.end()) {
            continue;
        }
        left = std::max(left, std::max(duration::zero(), own->second.issuer.may_live_until() - now));
        if (row.gate != name || row.condition == upstream_status::lost) {
            continue;
        }
        failed[own->first] = own->second.issuer.failures();
        if (own->second.issuer.acknowledged()) {
            accepted[row.name] = row.version;
        }
    }
    const auto version = it.rows->version;
    send(name, leader_name, [=, this] {
        if (now_ < leader_.elected_at) {
            return;
        }
        receive_report(name, version, remaining, failed, accepted);
        send(leader_name, name, [this, name, now] {
            if (const auto found = gates_.find(name); found != gates_.end()) {
                found->second.lease_end = std::max(found->second.lease_end, now + lease);
            }
        });
        const auto rows = state_.current();
        send(leader_name, name, [this, name, rows] {
            const auto found = gates_.find(name);
            if (found != gates_.end() && found->second.rows->version < rows->version) {
                found->second.rows = rows;
            }
        });
    });
}

void simulation::refresh_scopes(gate& it) {
    if (it.scopes_version == it.rows->version) {
        return;
    }
    it.scopes_version = it.rows->version;
    it.scopes.clear();
    for (const auto& row : it.rows->upstreams) {
        if (row.condition != upstream_status::lost) {
            it.scopes[row.name] = scope_of(*it.rows, row);
        }
    }
}

void simulation::step_gate(const std::string& name, gate& it) {
    refresh_scopes(it);
    for (const auto& row : it.rows->upstreams) {
        if (row.gate == name && row.condition != upstream_status::lost) {
            push_grant(name, it, row);
            dispatch(name, it, row);
        }
    }
    request_lease(name, it);
}

void simulation::push_grant(const std::string& name, gate& it, const upstream_row& row) {
    const upstream_id id(row.name, row.incarnation);
    auto& own = it.issuers.try_emplace(id, issuer_entry{grant_issuer(lease, interval), {}, {}}).first->second;
    const auto now = local_time(it.local);
    while (!own.pending.empty() && own.pending.front().deadline <= now) {
        own.pending.erase(own.pending.begin());
        own.issuer.on_failure(now);
        own.unanswered.push_back(now);
        if (now - own.unanswered.front() >= interval / 2) {
            missed_renewals_.insert(row.name);
        }
    }
    const auto& scope = it.scopes.at(row.name);
    scope.empty() ? own.issuer.revoke(row.epoch) : own.issuer.assign(row.epoch, row.version);
    const auto lease_end = options_.injected.ignore_gate_lease ? now + 10 * lease : it.lease_end;
    const auto sent = own.issuer.poll(now, lease_end);
    if (!sent) {
        return;
    }
    const auto number = ++next_push_;
    own.pending.push_back({now + 100ms, number});
    send(name, row.name,
         [=, this, scope = it.scopes.at(row.name)] { receive_grant(name, id, *sent, scope, now, number); });
}

void simulation::handle_answer(const std::string& gate_name, const upstream_id& id,
                               const grant_issuer::grant& sent, grant_holder::reply answer,
                               const std::string& token, epoch_number epoch, time_point sent_at,
                               std::uint64_t number) {
    const auto found = gates_.find(gate_name);
    if (found == gates_.end() || found->second.issuers.count(id) == 0) {
        return;
    }
    auto& own = found->second.issuers.at(id);
    const auto pending = std::find_if(own.pending.begin(), own.pending.end(),
                                      [number](const push& it) { return it.number == number; });
    if (pending == own.pending.end()) {
        return;
    }
    own.pending.erase(pending);
    own.unanswered.clear();
    const auto now = local_time(found->second.local);
    own.issuer.on_token(token, now, sent_at);
    switch (answer) {
    case grant_holder::reply::accepted:
        own.issuer.on_accepted(sent.epoch, sent.version, now);
        break;
    case grant_holder::reply::shards_missing:
        own.issuer.on_shards_missing(now);
        break;
    case grant_holder::reply::lower_epoch:
        own.issuer.on_higher_epoch(epoch, now);
        break;
    }
}

// An upstream that does not check grants starts every request that arrives, so the gate's decision is final.
void simulation::dispatch(const std::string& name, gate& it, const upstream_row& row) {
    const upstream_id id(row.name, row.incarnation);
    const auto& issuer = it.issuers.at(id).issuer;
    if (!options_.injected.dispatch_without_grant && !issuer.may_dispatch(local_time(it.local))) {
        return;
    }
    const auto shard = static_cast<std::uint32_t>(random_() % options_.shards);
    if (it.rows->owner_of(service_name, shard, "") != &row) {
        return;
    }
    if (row.checks_grants) {
        send(name, row.name, [this, id, epoch = row.epoch, shard] { start_request(id, epoch, shard, ""); });
    } else {
        start_request(id, row.epoch, shard, "");
    }
}

// Upstreams
// -----------------------------------------------------------------------------------------------------

void simulation::receive_grant(const std::string& gate_name, const upstream_id& id,
                               const grant_issuer::grant& sent, const grant_scope& scope, time_point sent_at,
                               std::uint64_t number) {
    auto& it = upstreams_.at(id);
    if (!it.alive) {
        return;
    }
    const auto now = local_time(it.local);
    const bool force_acceptance = options_.injected.ignore_epochs;
    const auto epoch = force_acceptance ? std::max(sent.epoch, it.holder.epoch() + 1) : sent.epoch;
    const auto version = force_acceptance ? std::max(sent.version, it.holder.version() + 1) : sent.version;
    const bool use_new_token = options_.injected.lease_from_receipt && !sent.token.empty();
    const auto token = use_new_token ? it.holder.issue_token(now) : sent.token;
    std::optional<grant_scope> granted;
    if (sent.with_shards || force_acceptance) {
        granted = sent.revoke ? grant_scope{} : scope;
    }
    const auto answer = it.holder.receive(epoch, version, sent.lease, token, granted, now);
    const auto next_token = it.holder.issue_token(now);
    send(id.first, gate_name, [=, this, holder_epoch = it.holder.epoch()] {
        handle_answer(gate_name, id, sent, answer, next_token, holder_epoch, sent_at, number);
    });
}

void simulation::start_request(const upstream_id& id, epoch_number epoch, std::uint32_t shard,
                               const std::string& key) {
    auto& it = upstreams_.at(id);
    if (!it.alive || it.paused ||
        (it.checks_grants &&
         it.holder.check(epoch, shard, key, local_time(it.local)) != grant_refusal::none)) {
        return;
    }
    ++it.started;
    ++started_;
    if (!may_run(id, it, shard, key)) {
        add_violation(id.first + " started a request of shard " + std::to_string(shard) +
                      " without a live grant");
    }
    for (const auto& [other, one] : upstreams_) {
        if (other != id && one.alive && may_run(other, one, shard, key)) {
            add_violation(id.first + " started a request of shard " + std::to_string(shard) +
                          " that may also run at " + other.first);
        }
    }
}

void simulation::step_upstream(const upstream_id& id, upstream& it) {
    const auto now = local_time(it.local);
    const bool due = now >= it.next_announcement && (it.draining || it.holder.live_until() <= now);
    if (!due || gates_.empty()) {
        return;
    }
    it.next_announcement = now + 500ms;
    upstream_row row;
    row.name = id.first;
    row.incarnation = id.second;
    row.service = service_name;
    row.address = "127.0.0.1:1";
    row.slots = 2;
    row.checks_grants = it.checks_grants;
    row.condition = it.draining ? upstream_status::draining : upstream_status::joining;
    send(id.first, leader_name, [this, row] {
        if (now_ >= leader_.elected_at) {
            propose(register_upstream{row, options_.shards, {}});
        }
    });
}

bool simulation::may_run(const upstream_id& id, const upstream& it, std::uint32_t shard,
                         const std::string& key) const {
    if (it.checks_grants) {
        return it.holder.check(it.holder.epoch(), shard, key, local_time(it.local)) == grant_refusal::none;
    }
    return std::any_of(gates_.begin(), gates_.end(), [&](const auto& one) {
        const auto& [name, at] = one;
        const auto own = at.issuers.find(id);
        const auto* owner = at.rows->owner_of(service_name, shard, key);
        return !at.paused && own != at.issuers.end() &&
               own->second.issuer.may_dispatch(local_time(at.local)) && owner != nullptr &&
               owner->name == id.first && owner->incarnation == id.second;
    });
}

} // namespace kingcupseam::ownership::test
