#include "ownership/simulation.h"

#include <algorithm>

namespace kingcupseam::ownership::test {

simulation::simulation(const simulation_options& options) : options_(options), random_(options_.seed) {
    leader_clock_ = random_clock();
    leader_.active_planner = make_fewest_moves_planner(options_.planning);
}

time_point simulation::local_time(const clock& it) const {
    const auto age = static_cast<double>(now_.time_since_epoch().count());
    return time_point(duration(static_cast<std::int64_t>(age * it.rate)) + it.offset);
}

// Each clock is off by half of the allowed drift, so two clocks drift apart by the full amount or not at all.
simulation::clock simulation::random_clock() {
    const double share = 0.5 / static_cast<double>(clock_drift_divisor);
    return {random_() % 2 == 0 ? 1 + share : 1 - share,
            duration(static_cast<std::int64_t>(random_() % 1'000'000'000))};
}

void simulation::add_gate(const std::string& name) {
    gates_[name] = gate{};
    gates_[name].local = random_clock();
    gates_[name].rows = state_.current();
}

void simulation::add_upstream(const std::string& name, std::uint64_t incarnation, bool checks_grants) {
    auto& it = upstreams_[{name, incarnation}];
    it.name = name;
    it.local = random_clock();
    it.holder = grant_holder(random_());
    it.incarnation = incarnation;
    it.checks_grants = checks_grants;
}

void simulation::stop(const std::string& name) {
    gates_.erase(name);
    for (auto& [id, it] : upstreams_) {
        it.alive = it.alive && id.first != name;
    }
}

void simulation::pause(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        it.paused = it.paused || id.first == name;
    }
    if (gates_.count(name) > 0) {
        gates_[name].paused = true;
    }
}

void simulation::resume(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        it.paused = it.paused && id.first != name;
    }
    if (gates_.count(name) > 0) {
        gates_[name].paused = false;
    }
}

void simulation::drain(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        if (id.first == name) {
            it.draining = true;
            it.next_announcement = now_;
        }
    }
}

void simulation::cut_off_with_gate(const std::string& name) {
    const auto* row = rows().latest_row(name);
    for (const auto& [other, it] : gates_) {
        if (row != nullptr && other != row->gate) {
            cut(name, other);
        }
    }
    cut(leader_name, name);
    cut(leader_name, row == nullptr ? name : row->gate);
}

void simulation::set_network(duration max_delay, double loss, double held_back) {
    options_.held_back = held_back;
    options_.max_delay = max_delay;
    options_.loss = loss;
}

// Proposals of the former leader may still be committed. The new leader knows no lease and has no report, so
// it assumes that every gate's lease has just been granted.
void simulation::change_leader(duration election) {
    for (auto it = log_.begin(); it != log_.end();) {
        it = random_() % 2 == 0 ? log_.erase(it) : it + 1;
    }
    leader_ = leader{};
    leader_.elected_at = now_ + election;
    leader_clock_ = random_clock();
    leader_.active_planner = make_fewest_moves_planner(options_.planning);
    const auto elected = local_time(leader_clock_) + election + max_clock_drift(election);
    for (const auto& [name, gates] : gates_of_) {
        for (const auto& it : gates) {
            leader_.gate_bound[it] = elected + lease + max_clock_drift(lease);
            leader_.last_contact[it] = elected;
        }
    }
}

void simulation::send(const std::string& from, const std::string& to, std::function<void()> action) {
    const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
    if (lost || broken_links_.count({std::min(from, to), std::max(from, to)}) > 0) {
        return;
    }
    // A delay of up to a second lets a message arrive after the end of the lease that it carries.
    const bool held = std::uniform_real_distribution<>(0, 1)(random_) < options_.held_back;
    const auto longest = held ? duration(std::chrono::seconds(1)) : options_.max_delay;
    const duration delay(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count())));
    network_.emplace(now_ + tick / 2 + delay, delivery{to, std::move(action)});
}

bool simulation::is_paused(const std::string& name) const {
    const auto it = gates_.find(name);
    return (it != gates_.end() && it->second.paused) ||
           std::any_of(upstreams_.begin(), upstreams_.end(),
                       [&](const auto& one) { return one.first.first == name && one.second.paused; });
}

// Messages to a paused process are delivered once it runs again.
void simulation::deliver() {
    std::vector<std::pair<time_point, delivery>> waiting;
    while (!network_.empty() && network_.begin()->first <= now_) {
        auto it = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        if (is_paused(it.to)) {
            waiting.emplace_back(now_ + tick, std::move(it));
        } else {
            it.action();
        }
    }
    for (auto& it : waiting) {
        network_.emplace(it.first, std::move(it.second));
    }
}

void simulation::propose(const command& change) {
    log_.emplace_back(now_ + 5 * tick, change);
}

void simulation::publish() {
    const auto rows = state_.current();
    for (const auto& it : rows->upstreams) {
        if (!it.gate.empty()) {
            gates_of_[it.name].insert(it.gate);
        }
    }
    for (const auto& [name, it] : gates_) {
        send(leader_name, name, [this, rows, to = name] {
            const auto found = gates_.find(to);
            if (found != gates_.end() && found->second.rows->version < rows->version) {
                found->second.rows = rows;
            }
        });
    }
}

void simulation::run(duration length) {
    run_until([] { return false; }, length);
}

bool simulation::run_until(const std::function<bool()>& reached, duration limit) {
    for (const auto end = now_ + limit; now_ < end; now_ += tick) {
        if (reached()) {
            return true;
        }
        step();
    }
    return reached();
}

void simulation::step() {
    deliver();
    while (!log_.empty() && log_.front().first <= now_) {
        const auto change = log_.front().second;
        log_.erase(log_.begin());
        if (state_.apply(decode_command(encode(change)), ++index_)) {
            publish();
        }
    }
    step_leader();
    for (auto& [name, it] : gates_) {
        if (!it.paused) {
            step_gate(name, it);
        }
    }
    for (auto& [id, it] : upstreams_) {
        if (it.alive && !it.paused) {
            step_upstream(id, it);
        }
    }
    check();
}

std::vector<std::string> simulation::live_owners(std::uint32_t shard, const std::string& key) const {
    std::vector<std::string> names;
    for (const auto& [id, it] : upstreams_) {
        if (it.alive && may_run(id, it, shard, key)) {
            names.push_back(id.first + "/" + std::to_string(id.second));
        }
    }
    return names;
}

std::uint32_t simulation::served() const {
    std::uint32_t n = 0;
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        n += live_owners(shard, "").size() == 1 ? 1 : 0;
    }
    return n;
}

bool simulation::moving() const {
    const auto service = rows().services.find(service_name);
    return service != rows().services.end() &&
           std::any_of(service->second.shards.begin(), service->second.shards.end(),
                       [](const auto& it) { return it.next != no_upstream; });
}

std::uint32_t simulation::owned_by(const std::string& name) const {
    std::uint32_t n = 0;
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        const auto* owner = rows().owner_of(service_name, shard, "");
        n += owner != nullptr && owner->name == name ? 1 : 0;
    }
    return n;
}

std::uint64_t simulation::started_by(const std::string& name) const {
    std::uint64_t n = 0;
    for (const auto& [id, it] : upstreams_) {
        n += id.first == name ? it.started : 0;
    }
    return n;
}

void simulation::add_violation(const std::string& what) {
    if (violations_.size() < 10) {
        violations_.push_back("at " + std::to_string(now_.time_since_epoch().count() / 1000) +
                              " ms: " + what);
    }
}

void simulation::check() {
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        if (const auto names = live_owners(shard, ""); names.size() > 1) {
            add_violation("shard " + std::to_string(shard) + " is live at " + names[0] + " and " + names[1]);
        }
    }
    for (const auto& it : hot_keys_) {
        if (const auto names = live_owners(shard_of(it.key, options_.shards), it.key); names.size() > 1) {
            add_violation("hot key " + it.key + " is live at " + names[0] + " and " + names[1]);
        }
    }
    check_epochs();
}

void simulation::check_epochs() {
    for (auto& [id, it] : upstreams_) {
        if (it.holder.epoch() < it.last_epoch) {
            add_violation("epoch of " + id.first + " decreased");
        }
        it.last_epoch = it.holder.epoch();
    }
    for (const auto& it : rows().upstreams) {
        auto& last = row_epochs_[it.name + "/" + std::to_string(it.incarnation)];
        if (it.epoch < last) {
            add_violation("epoch of the row of " + it.name + " decreased");
        }
        last = it.epoch;
    }
    const auto service = rows().services.find(service_name);
    if (service == rows().services.end()) {
        return;
    }
    shard_epochs_.resize(service->second.shards.size());
    for (std::size_t n = 0; n < shard_epochs_.size(); ++n) {
        if (service->second.shards[n].epoch < shard_epochs_[n]) {
            add_violation("epoch of shard " + std::to_string(n) + " decreased");
        }
        shard_epochs_[n] = service->second.shards[n].epoch;
    }
}

} // namespace kingcupseam::ownership::test
