#include "ownership/world.h"

#include <algorithm>

namespace kingcupseam::ownership::test {

world::world(const world_options& options) : options_(options), random_(options_.seed) {
    leader_clock_ = random_clock();
    leader_.plans = make_fewest_moves_planner(options_.planning);
}

time_point world::local(const clock& it) const {
    const auto age = static_cast<double>(now_.time_since_epoch().count());
    return time_point(duration(static_cast<std::int64_t>(age * it.rate)) + it.offset);
}

// Half of the allowed relative drift on either side, always at an extreme.
world::clock world::random_clock() {
    const double share = 0.5 / static_cast<double>(clock_drift_divisor);
    return {random_() % 2 == 0 ? 1 + share : 1 - share,
            duration(static_cast<std::int64_t>(random_() % 1'000'000'000))};
}

void world::add_gate(const std::string& name) {
    gates_[name] = gate{};
    gates_[name].local = random_clock();
    gates_[name].rows = state_.current();
}

void world::add_upstream(const std::string& name, std::uint64_t incarnation, bool checks_grants) {
    auto& it = upstreams_[{name, incarnation}];
    it.name = name;
    it.local = random_clock();
    it.holder = grant_holder(random_());
    it.incarnation = incarnation;
    it.checks_grants = checks_grants;
}

void world::stop(const std::string& name) {
    gates_.erase(name);
    for (auto& [id, it] : upstreams_) {
        it.alive = it.alive && id.first != name;
    }
}

void world::pause(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        it.paused = it.paused || id.first == name;
    }
    if (gates_.count(name) > 0) {
        gates_[name].paused = true;
    }
}

void world::resume(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        it.paused = it.paused && id.first != name;
    }
    if (gates_.count(name) > 0) {
        gates_[name].paused = false;
    }
}

void world::drain(const std::string& name) {
    for (auto& [id, it] : upstreams_) {
        if (id.first == name) {
            it.draining = true;
            it.next_announcement = now_;
        }
    }
}

void world::cut_off_with_gate(const std::string& name) {
    const auto* row = rows().find(name);
    for (const auto& [other, it] : gates_) {
        if (row != nullptr && other != row->gate) {
            cut(name, other);
        }
    }
    cut(leader_name, name);
    cut(leader_name, row == nullptr ? name : row->gate);
}

void world::set_network(duration max_delay, double loss, double held_back) {
    options_.held_back = held_back;
    options_.max_delay = max_delay;
    options_.loss = loss;
}

// Proposals of the old leader may still be committed. The next one knows no lease and has no report, so it
// takes every gate's lease as just granted.
void world::change_leader(duration election) {
    for (auto it = log_.begin(); it != log_.end();) {
        it = random_() % 2 == 0 ? log_.erase(it) : it + 1;
    }
    leader_ = leader{};
    leader_.elected_at = now_ + election;
    leader_clock_ = random_clock();
    leader_.plans = make_fewest_moves_planner(options_.planning);
    const auto elected = local(leader_clock_) + election + max_clock_drift(election);
    for (const auto& [name, gates] : gates_of_) {
        for (const auto& it : gates) {
            leader_.gate_bound[it] = elected + lease + max_clock_drift(lease);
            leader_.heard[it] = elected;
        }
    }
}

void world::send(const std::string& from, const std::string& to, std::function<void()> action) {
    const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
    if (lost || cuts_.count({std::min(from, to), std::max(from, to)}) > 0) {
        return;
    }
    // A message that is held back may arrive after its lease.
    const bool held = std::uniform_real_distribution<>(0, 1)(random_) < options_.held_back;
    const auto longest = held ? duration(std::chrono::seconds(1)) : options_.max_delay;
    const duration delay(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count())));
    network_.emplace(now_ + tick / 2 + delay, delivery{to, std::move(action)});
}

bool world::is_paused(const std::string& name) const {
    const auto it = gates_.find(name);
    return (it != gates_.end() && it->second.paused) ||
           std::any_of(upstreams_.begin(), upstreams_.end(),
                       [&](const auto& one) { return one.first.first == name && one.second.paused; });
}

// A paused process receives what waited for it once it runs again.
void world::deliver() {
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

void world::propose(const command& change) {
    log_.emplace_back(now_ + 5 * tick, change);
}

void world::publish() {
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

void world::run(duration length) {
    run_until([] { return false; }, length);
}

bool world::run_until(const std::function<bool()>& reached, duration limit) {
    for (const auto end = now_ + limit; now_ < end; now_ += tick) {
        if (reached()) {
            return true;
        }
        step();
    }
    return reached();
}

void world::step() {
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

std::vector<std::string> world::holders_of(std::uint32_t shard, const std::string& key) const {
    std::vector<std::string> names;
    for (const auto& [id, it] : upstreams_) {
        if (it.alive && holds(id, it, shard, key)) {
            names.push_back(id.first + "/" + std::to_string(id.second));
        }
    }
    return names;
}

std::uint32_t world::served() const {
    std::uint32_t n = 0;
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        n += holders_of(shard, "").size() == 1 ? 1 : 0;
    }
    return n;
}

bool world::moving() const {
    const auto service = rows().services.find(service_name);
    return service != rows().services.end() &&
           std::any_of(service->second.shards.begin(), service->second.shards.end(),
                       [](const auto& it) { return it.next != no_upstream; });
}

std::uint32_t world::owned_by(const std::string& name) const {
    std::uint32_t n = 0;
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        const auto* owner = rows().owner_of(service_name, shard, "");
        n += owner != nullptr && owner->name == name ? 1 : 0;
    }
    return n;
}

std::uint64_t world::started_by(const std::string& name) const {
    std::uint64_t n = 0;
    for (const auto& [id, it] : upstreams_) {
        n += id.first == name ? it.started : 0;
    }
    return n;
}

void world::violate(const std::string& what) {
    if (violations_.size() < 10) {
        violations_.push_back("at " + std::to_string(now_.time_since_epoch().count() / 1000) +
                              " ms: " + what);
    }
}

void world::check() {
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        if (const auto names = holders_of(shard, ""); names.size() > 1) {
            violate("shard " + std::to_string(shard) + " is live at " + names[0] + " and " + names[1]);
        }
    }
    for (const auto& it : hot_keys_) {
        if (const auto names = holders_of(shard_of(it.key, options_.shards), it.key); names.size() > 1) {
            violate("hot key " + it.key + " is live at " + names[0] + " and " + names[1]);
        }
    }
    check_epochs();
}

void world::check_epochs() {
    for (auto& [id, it] : upstreams_) {
        if (it.holder.epoch() < it.last_epoch) {
            violate("epoch of " + id.first + " fell");
        }
        it.last_epoch = it.holder.epoch();
    }
    for (const auto& it : rows().upstreams) {
        auto& last = row_epochs_[it.name + "/" + std::to_string(it.incarnation)];
        if (it.epoch < last) {
            violate("epoch of the row of " + it.name + " fell");
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
            violate("epoch of shard " + std::to_string(n) + " fell");
        }
        shard_epochs_[n] = service->second.shards[n].epoch;
    }
}

} // namespace kingcupseam::ownership::test
