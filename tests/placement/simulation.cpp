#include "placement/simulation.h"

#include <algorithm>

namespace kingcupseam::placement::test {

namespace {

const std::string service = "s";
constexpr duration tick = std::chrono::milliseconds(10);
constexpr duration grant_lease = std::chrono::milliseconds(600);
constexpr duration leadership_lease = std::chrono::milliseconds(300);
constexpr duration election_time = std::chrono::milliseconds(400);
constexpr duration ms(std::int64_t n) {
    return std::chrono::milliseconds(n);
}

} // namespace

time_point simulation::clock::local_time(time_point now) const {
    const auto length = static_cast<double>(now.time_since_epoch().count());
    return time_point(duration(static_cast<std::int64_t>(length * rate))) + offset;
}

time_point simulation::clock::true_time(time_point local) const {
    const auto length = static_cast<double>((local - offset).time_since_epoch().count());
    return time_point(duration(static_cast<std::int64_t>(length / rate)));
}

simulation::simulation(const simulation_options& options) : options_(options), random_(options.seed) {}

duration simulation::random_duration(duration longest) {
    return duration(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

// The ends of the allowed range are the most likely to reveal a missing margin.
simulation::clock simulation::random_clock() {
    const double drift = 1.0 / static_cast<double>(clock_drift_divisor);
    return {1 + (chance(0.5) ? drift : -drift), random_duration(std::chrono::hours(10))};
}

void simulation::add_data_center(const std::string& name, std::uint32_t slots) {
    auto& it = data_centers_[name];
    it.name = name;
    it.slots = slots;
    it.global_voter = random_clock();
    for (auto& member : it.voters) {
        member.local = random_clock();
    }
    it.election_at = now_ + random_duration(ms(1000));
}

void simulation::lose(const std::string& name) {
    auto& it = data_centers_.at(name);
    it.alive = false;
    it.holder.reset();
    it.election_at.reset();
    it.grants.clear();
    ++it.term;
}

void simulation::restore(const std::string& name) {
    auto& it = data_centers_.at(name);
    it.alive = true;
    it.committed = {};
    it.largest_assignment = {};
    for (auto& member : it.voters) {
        member.observer = {};
    }
    it.election_at = now_;
}

void simulation::change_leader(const std::string& data_center) {
    auto& it = data_centers_.at(data_center);
    it.holder.reset();
    ++it.term;
    it.leader = (it.leader + 1) % it.voters.size();
    it.election_at = now_ + election_time;
}

void simulation::change_global_leader() {
    planner_.reset();
    last_quorum_ = now_;
}

void simulation::set_network(duration max_delay, double loss, double held_back) {
    options_.max_delay = max_delay;
    options_.loss = loss;
    options_.held_back = held_back;
}

bool simulation::connected(const std::string& a, const std::string& b) const {
    const auto both = data_centers_.at(a).alive && data_centers_.at(b).alive;
    return both && cuts_.count({std::min(a, b), std::max(a, b)}) == 0;
}

bool simulation::reaches_majority(const std::string& name) const {
    const auto reached = std::count_if(data_centers_.begin(), data_centers_.end(),
                                       [&](const auto& it) { return connected(name, it.first); });
    return static_cast<std::size_t>(reached) > data_centers_.size() / 2;
}

void simulation::schedule(duration delay, std::function<void()> action) {
    network_.emplace(now_ + delay, delivery{"", "", std::move(action)});
}

void simulation::send(const std::string& from, const std::string& to, std::function<void()> action) {
    if (!connected(from, to) || (from != to && (muted_.count(from) != 0 || chance(options_.loss)))) {
        return;
    }
    const auto longest = chance(options_.held_back) ? std::max(options_.held_back_for, options_.max_delay)
                                                    : options_.max_delay;
    network_.emplace(now_ + random_duration(longest), delivery{from, to, std::move(action)});
}

planner_view simulation::view() const {
    service_view wanted{options_.shards, options_.hold, mirrored_slots_};
    const auto& local = data_centers_.at(global_leader_).global_voter;
    return {state_, {{service, wanted}}, local.local_time(last_quorum_ + leadership_lease)};
}

void simulation::run(duration length) {
    for (const auto end = now_ + length; now_ < end;) {
        step();
    }
}

void simulation::step() {
    now_ += tick;
    while (!network_.empty() && network_.begin()->first <= now_) {
        const auto it = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        if (it.to.empty() || connected(it.from, it.to)) {
            it.action();
        }
    }
    step_global_group();
    for (auto& [name, it] : data_centers_) {
        step_data_center(it);
    }
    check();
}

void simulation::step_global_group() {
    if (planner_ && reaches_majority(global_leader_)) {
        last_quorum_ = now_;
    }
    if (now_ - last_quorum_ > election_time) {
        planner_.reset();
        elect_global_leader();
    }
    if (!planner_ || now_ < next_plan_) {
        return;
    }
    next_plan_ = now_ + ms(500);
    for (const auto& [name, it] : data_centers_) {
        if (connected(global_leader_, name)) {
            mirrored_slots_[name] = it.slots;
        }
    }
    auto local = data_centers_.at(global_leader_).global_voter.local_time(now_);
    if (options_.injected.no_drift_margin) {
        local += drift_margin(options_.hold);
    }
    for (const auto& change : planner_->plan(view(), local)) {
        propose(change);
    }
}

void simulation::elect_global_leader() {
    std::vector<std::string> candidates;
    for (const auto& [name, it] : data_centers_) {
        if (reaches_majority(name)) {
            candidates.push_back(name);
        }
    }
    if (candidates.empty()) {
        return;
    }
    global_leader_ =
        candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
    ++global_term_;
    last_quorum_ = now_;
    auto elected = data_centers_.at(global_leader_).global_voter.local_time(now_);
    if (options_.injected.holds_expired_at_election) {
        elected -= options_.hold * 2;
    }
    planner_ = std::make_unique<placement_planner>(options_.planning, elected);
}

void simulation::propose(const command& change) {
    // Commands of one leader are committed in order, and none without a majority. While there is no leader,
    // half of the commands are taken to be in the log of the next one, which commits them before its own
    // first entry.
    schedule(ms(20), [this, change, term = global_term_] {
        if (term == global_term_ && (planner_ ? reaches_majority(global_leader_) : chance(0.5))) {
            apply(change);
        }
    });
}

void simulation::apply(const command& change) {
    const auto before = state_;
    state_.apply(change, ++index_);
    const auto old = before.services.find(service);
    if (old != before.services.end()) {
        const auto& next = state_.services.at(service);
        for (std::size_t n = 0; n < next.placements.size(); ++n) {
            moves_ += next.placements[n] == old->second.placements[n] ? 0 : 1;
        }
    }
}

void simulation::start_holder(data_center_model& it) {
    it.election_at.reset();
    ++it.term;
    auto contact = it.voters[it.leader].observer.last_contact();
    if (options_.injected.contact_at_election) {
        contact = it.voters[it.leader].local.local_time(now_);
    }
    if (options_.injected.stale_assignment_at_election) {
        it.committed = it.largest_assignment;
    }
    it.receipt_error = {};
    it.sent.clear();
    it.holder = std::make_unique<placement_holder>(holder_options{it.name}, it.term, it.committed, contact);
}

void simulation::step_data_center(data_center_model& it) {
    if (!it.alive) {
        return;
    }
    if (it.election_at && now_ >= *it.election_at) {
        start_holder(it);
    }
    if (!it.holder) {
        return;
    }
    send_contact(it);
    grant(it);
    if (now_ < it.next_age_query) {
        return;
    }
    it.next_age_query = now_ + ms(150);
    for (auto& member : it.voters) {
        // The query and the answer are each delayed.
        const auto asked = member.local.local_time(now_ - random_duration(options_.max_delay));
        const auto age = it.holder->contact_age(it.voters[it.leader].local.local_time(now_));
        if (age && !chance(options_.loss)) {
            member.observer.on_contact_age(asked, *age);
        }
    }
}

shard_sets simulation::held_shards(const data_center_model& it) const {
    shard_sets result;
    const auto assigned = it.committed.services.find(service);
    if (assigned != it.committed.services.end()) {
        result[service] = assigned->second.shards;
    }
    for (const auto& [shard, end] : it.grants) {
        if (end > now_) {
            result[service].insert(shard);
        }
    }
    return result;
}

void simulation::send_contact(data_center_model& it) {
    const auto local = it.voters[it.leader].local.local_time(now_);
    const auto request =
        it.holder->poll(options_.injected.confirm_with_live_grants ? shard_sets{} : held_shards(it), local);
    if (!request) {
        return;
    }
    it.sent[request->number] = now_;
    if (planner_ && !(lose_confirmations_ && !request->released.empty())) {
        send(it.name, global_leader_, [this, request = *request] { receive_contact(request); });
    }
}

void simulation::receive_contact(const contact_request& sent) {
    if (!planner_) {
        return;
    }
    auto request = sent;
    if (options_.injected.confirm_any_release && state_.services.count(service) != 0) {
        for (auto& done : request.released) {
            for (auto& [shard, begun] : done.begun) {
                const auto& releases = state_.services.at(service).releases;
                const auto found = releases.find(shard);
                begun = found == releases.end() ? begun : found->second.begun;
            }
        }
    }
    const auto local = data_centers_.at(global_leader_).global_voter.local_time(now_);
    const auto result = planner_->on_contact(request, view(), local);
    for (const auto& change : result.commands) {
        propose(change);
    }
    if (result.reply) {
        send(global_leader_, request.data_center,
             [this, name = request.data_center, reply = *result.reply] { receive_reply(name, reply); });
    }
}

void simulation::receive_reply(const std::string& name, const contact_reply& reply) {
    auto& it = data_centers_.at(name);
    if (!it.holder) {
        return;
    }
    const auto before = it.holder->last_contact();
    const auto assignment = it.holder->on_reply(reply);
    if (options_.injected.hold_from_receipt && it.holder->last_contact() != before) {
        it.receipt_error = now_ - it.sent[reply.number];
    }
    if (!assignment) {
        return;
    }
    schedule(random_duration(ms(20)), [this, &it, assignment = *assignment, term = it.term] {
        // Half of the entries of a former leader are lost.
        if (!it.alive || assignment.version < it.committed.version || (term != it.term && chance(0.5))) {
            return;
        }
        const auto shards = [](const data_center_assignment& record) {
            const auto assigned = record.services.find(service);
            return assigned == record.services.end() ? 0 : assigned->second.shards.size();
        };
        if (shards(assignment) >= shards(it.largest_assignment)) {
            it.largest_assignment = assignment;
        }
        it.committed = assignment;
        if (it.holder) {
            it.holder->on_committed(assignment);
        }
    });
}

void simulation::grant(data_center_model& it) {
    const auto& local = it.voters[it.leader].local;
    auto limit = it.holder->serve_until(service);
    if (limit == time_point{}) {
        return;
    }
    limit += options_.injected.hold_from_receipt ? it.receipt_error : duration::zero();
    limit += options_.injected.no_drift_margin ? drift_margin(options_.hold) : duration::zero();
    limit = options_.injected.serve_after_hold ? local.local_time(now_ + grant_lease) : limit;
    const auto end = std::min(local.true_time(limit), now_ + grant_lease);
    const auto assigned = it.holder->assignment().services.find(service);
    if (end <= now_ || assigned == it.holder->assignment().services.end()) {
        return;
    }
    for (const auto shard : assigned->second.shards) {
        auto& until = it.grants[shard];
        until = std::max(until, end);
    }
}

void simulation::check() {
    for (std::uint32_t shard = 0; shard < options_.shards; ++shard) {
        std::string holders;
        int count = 0;
        for (const auto& [name, it] : data_centers_) {
            const auto found = it.grants.find(shard);
            if (found != it.grants.end() && found->second > now_) {
                holders += " " + name;
                ++count;
            }
        }
        if (count > 1 && violations_.size() < 10) {
            violations_.push_back("shard " + std::to_string(shard) + " is served by" + holders + " at " +
                                  std::to_string(now_.time_since_epoch().count() / 1000) + " ms");
        }
    }
}

std::uint32_t simulation::shards_placed_in(const std::string& name) const {
    const auto found = state_.services.find(service);
    if (found == state_.services.end()) {
        return 0;
    }
    const auto& placement = found->second;
    return static_cast<std::uint32_t>(
        std::count_if(placement.placements.begin(), placement.placements.end(), [&](auto it) {
            return it != unplaced && placement.data_centers[static_cast<std::size_t>(it)] == name;
        }));
}

std::uint32_t simulation::shards_served_by(const std::string& name) const {
    const auto& grants = data_centers_.at(name).grants;
    return static_cast<std::uint32_t>(
        std::count_if(grants.begin(), grants.end(), [this](const auto& it) { return it.second > now_; }));
}

std::uint32_t simulation::shards_in_release() const {
    const auto found = state_.services.find(service);
    return found == state_.services.end() ? 0 : static_cast<std::uint32_t>(found->second.releases.size());
}

} // namespace kingcupseam::placement::test
