#include "group_simulation.h"

#include <algorithm>
#include <utility>

namespace kingcupseam::test {

using namespace consensus;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);

} // namespace

group_simulation::group_simulation(const group_options& settings)
    : settings_(settings), random_(settings.seed) {
    membership initial;
    for (std::size_t n = 0; n < settings.voters + settings.spares; ++n) {
        host it;
        it.id = {std::string(1, static_cast<char>('a' + n)), ++incarnations_};
        it.disk = storage::make_memory_log_store(it.id.incarnation);
        if (n < settings.voters) {
            initial.voters.push_back(it.id);
        }
        hosts_.emplace(it.id.name, std::move(it));
    }
    for (auto& [name, it] : hosts_) {
        if (std::count(initial.voters.begin(), initial.voters.end(), it.id) != 0) {
            node::bootstrap(*it.disk, initial);
        }
        start(it);
        events_.push({now_ + duration(static_cast<std::int64_t>(random_() % 10000)), ++sequence_, name, {}});
    }
}

void group_simulation::start(host& it) {
    options given;
    given.group = 7;
    given.self = it.id;
    given.seed = random_();
    given.max_append_bytes = 2000;
    given.elect_after_restart = settings_.elect_after_restart;
    const time_point since =
        settings_.injected == fault::votes_right_after_restart ? now_ - std::chrono::seconds(1) : now_;
    it.state = {};
    it.applied = 0;
    it.node = std::make_unique<node>(given, *it.disk, since);
}

void group_simulation::run(duration length) {
    const time_point end = now_ + length;
    while (events_.top().when <= end) {
        step();
    }
    now_ = end;
}

bool group_simulation::run_until(const std::function<bool()>& done, duration limit) {
    const time_point end = now_ + limit;
    while (!done()) {
        if (events_.top().when > end) {
            now_ = end;
            return false;
        }
        step();
    }
    return true;
}

void group_simulation::step() {
    const event next = events_.top();
    events_.pop();
    now_ = next.when;
    if (!next.tick_host.empty()) {
        tick(at(next.tick_host));
        events_.push({now_ + tick_interval, ++sequence_, next.tick_host, {}});
        return;
    }
    host& to = at(next.delivered.to.name);
    if (!to.up() || is_cut(next.delivered.from.name, to.id.name)) {
        return;
    }
    if (to.paused) {
        to.queued.push_back(next.delivered);
        return;
    }
    deliver(to, next.delivered);
}

void group_simulation::deliver(host& to, const message& m) {
    message seen = m;
    seen.provisional = m.provisional && settings_.injected != fault::ignores_provisional;
    if (settings_.injected == fault::acknowledges_unstored && m.kind == message_kind::append_request &&
        !m.entries.empty() && to.id.name != "a") {
        message reply;
        reply.kind = message_kind::append_reply;
        reply.group = m.group;
        reply.from = to.id;
        reply.to = m.from;
        reply.term = m.term;
        reply.accepted = true;
        reply.match_index = m.last_index + m.entries.size();
        send(reply);
        return;
    }
    handle(to, to.node->receive(seen, now_));
}

void group_simulation::tick(host& it) {
    if (it.up() && !it.paused) {
        handle(it, it.node->tick(now_));
        replace_lost_voters(it);
    }
}

void group_simulation::handle(host& it, const effects& out) {
    for (const message& m : out.messages) {
        send(m);
    }
    apply(it, out);
    check_leadership(it);
    compact(it);
}

void group_simulation::send(const message& m) {
    if (chance(settings_.drop) || is_cut(m.from.name, m.to.name)) {
        return;
    }
    enqueue(m);
    if (chance(settings_.duplicate)) {
        enqueue(m);
    }
}

void group_simulation::enqueue(const message& m) {
    const auto range = static_cast<std::uint64_t>((settings_.max_delay - settings_.min_delay).count()) + 1;
    const duration delay = settings_.min_delay + duration(static_cast<std::int64_t>(random_() % range));
    events_.push({now_ + delay, ++sequence_, "", m});
}

bool group_simulation::is_cut(const std::string& from, const std::string& to) const {
    return !cuts_.empty() &&
           (cuts_.contains({from, to}) || cuts_.contains({from, "*"}) || cuts_.contains({"*", to}));
}

bool group_simulation::chance(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void group_simulation::apply(host& it, const effects& out) {
    if (out.install) {
        it.state = machine_state::decode(out.install->data);
        it.applied = out.install->index;
        checks_.on_installed(it.applied, it.state);
    }
    for (const storage::entry& entry : out.committed) {
        it.state.apply(entry);
        if (settings_.injected == fault::applies_twice && it.id.name == "b" && entry.index % 5 == 0) {
            it.state.apply(entry);
        }
        it.applied = entry.index;
        checks_.on_committed(entry, it.state);
        acknowledge(it, entry);
    }
}

void group_simulation::acknowledge(const host& it, const storage::entry& committed) {
    const auto at = proposed_.find(committed.index);
    if (at == proposed_.end() || it.node->current_role() != role::leader) {
        return;
    }
    if (at->second == committed) {
        checks_.on_acknowledged(committed);
    }
    proposed_.erase(at);
}

void group_simulation::check_leadership(host& it) {
    const bool leads = it.node->current_role() == role::leader;
    if (!leads) {
        return;
    }
    const std::uint64_t term = it.node->term();
    if (seen_term_[it.id.name] != term) {
        seen_term_[it.id.name] = term;
        checks_.on_leader(it.id, term, *it.disk);
        checks_.on_elected(term, now_);
    }
    checks_.on_lease(it.id, term, it.node->leadership_valid_until());
}

void group_simulation::compact(host& it) {
    if (settings_.compact_after != 0 && it.applied >= it.disk->first_index() + settings_.compact_after) {
        it.node->compact(it.applied, it.state.encode());
    }
}

void group_simulation::replace_lost_voters(host& it) {
    if (!replacement_ || it.node->current_role() != role::leader) {
        return;
    }
    std::vector<member_id> spares;
    for (const auto& [name, other] : hosts_) {
        if (other.up() && !other.paused) {
            spares.push_back(other.id);
        }
    }
    const auto wanted = replacement_->next(replacement_view_of(*it.node, it.id, spares, now_), now_);
    if (!wanted) {
        return;
    }
    effects out;
    try {
        it.node->change_membership(*wanted, now_, out);
        ++changes_started_;
    } catch (const change_refused&) {
        return; // the new leader has not committed its no-op yet
    }
    handle(it, out);
}

std::string group_simulation::leader() const {
    std::string best;
    std::uint64_t term = 0;
    for (const auto& [name, it] : hosts_) {
        if (it.up() && !it.paused && it.node->current_role() == role::leader && it.node->term() > term) {
            best = name;
            term = it.node->term();
        }
    }
    return best;
}

void group_simulation::kill(const std::string& name) {
    if (settings_.elect_after_restart) {
        checks_.on_stopped(at(name).id);
    }
    at(name).node.reset();
    at(name).queued.clear();
}

void group_simulation::restart(const std::string& name, bool lost_disk) {
    host& it = at(name);
    kill(name);
    if (lost_disk || !settings_.disks) {
        if (settings_.injected != fault::keeps_identity) {
            it.id.incarnation = ++incarnations_;
        }
        auto empty = storage::make_memory_log_store(it.id.incarnation);
        if (settings_.injected == fault::keeps_identity) {
            empty->append(it.disk->entries(1, 1)); // the initial membership, known from its settings
        }
        it.disk = std::move(empty);
    }
    if (settings_.injected == fault::skips_fsync) {
        it.disk->truncate_after(std::max<std::uint64_t>(it.disk->last_index(), 4) - 3);
    }
    start(it);
}

void group_simulation::resume(const std::string& name) {
    host& it = at(name);
    it.paused = false;
    const auto queued = std::exchange(it.queued, {});
    for (const message& m : queued) {
        if (it.up()) {
            deliver(it, m);
        }
    }
}

void group_simulation::set_losses(double drop, double duplicate, duration max_delay) {
    settings_.drop = drop;
    settings_.duplicate = duplicate;
    settings_.max_delay = max_delay;
}

bool group_simulation::propose() {
    const std::string name = leader();
    if (name.empty()) {
        return false;
    }
    host& it = at(name);
    const std::string data = "command " + std::to_string(++commands_);
    effects out;
    const std::uint64_t index = it.node->propose(data, now_, out);
    const storage::entry expected{index, it.node->term(), storage::entry_kind::command, data};
    if (settings_.injected == fault::acknowledges_early) {
        checks_.on_acknowledged(expected);
    } else {
        proposed_[index] = expected;
    }
    handle(it, out);
    return true;
}

bool group_simulation::change(const membership_change& wanted) {
    const std::string name = leader();
    if (name.empty()) {
        return false;
    }
    effects out;
    try {
        at(name).node->change_membership(wanted, now_, out);
    } catch (const change_refused&) {
        return false;
    }
    handle(at(name), out);
    return true;
}

} // namespace kingcupseam::test
