#include <kingcupseam/ownership.h>

#include <algorithm>
#include <deque>

namespace kingcupseam::ownership {

namespace {

// Upper bound of pending_pushes. Callers report the result of each push, so only a few are pending at a time.
constexpr std::size_t max_pending_pushes = 64;
// Consecutive failures after which the gate reports the upstream as lost.
constexpr std::uint32_t failures_until_lost = 2;

} // namespace

struct grant_issuer::state {
    duration lease{};
    duration interval{};
    epoch_number epoch = 0;
    epoch_number version = 0;
    bool assigned = false;
    bool revoking = false;
    bool superseded = false; ///< the upstream has seen a higher epoch
    bool accepted = false;   ///< the upstream holds the assigned epoch and version
    std::string token;
    time_point token_received{};
    time_point token_requested{};
    time_point next_push = time_point::min();
    time_point live_until{}; ///< not min(), so that callers can subtract from it
    time_point dispatch_until = time_point::min();
    std::deque<time_point> pending_pushes; ///< dispatch_until after each unanswered push, oldest first
    std::uint32_t failures = 0;
    time_point last_failure{};

    void start_epoch(epoch_number next_epoch, epoch_number next_version);
    duration usable_lease(time_point now, time_point gate_lease_end) const;
    grant make_grant(duration length) const;
    void record_sent(duration length);
    time_point dispatch_end(duration length) const;
};

// An upstream that was reported as lost and gets a new epoch has registered again: the old failures must not
// report it as lost at once. Fewer failures are kept, so that moves do not delay the detection of a loss.
void grant_issuer::state::start_epoch(epoch_number next_epoch, epoch_number next_version) {
    if (next_epoch > epoch && failures >= failures_until_lost) {
        failures = 0;
    }
    epoch = next_epoch;
    version = next_version;
    assigned = true;
    superseded = false;
    accepted = false;
    next_push = time_point::min();
    dispatch_until = time_point::min();
    pending_pushes.clear();
}

// The lease is counted here from the receipt of the token, which is later than its issue, and on a clock that
// may be slow, so the drift is subtracted. The protocol states leases in whole milliseconds.
duration grant_issuer::state::usable_lease(time_point now, time_point gate_lease_end) const {
    if (token.empty() || revoking || gate_lease_end <= now) {
        return duration::zero();
    }
    const duration remaining = gate_lease_end - token_received - max_clock_drift(lease);
    const auto length = std::chrono::floor<std::chrono::milliseconds>(std::min(lease, remaining));
    return token_received + length > now ? duration(length) : duration::zero();
}

grant_issuer::grant grant_issuer::state::make_grant(duration length) const {
    const bool usable = length > duration::zero();
    return {epoch, version, length, usable ? token : std::string(), !accepted, revoking};
}

time_point grant_issuer::state::dispatch_end(duration length) const {
    return length > duration::zero() ? token_requested + length - dispatch_margin(length) : time_point::min();
}

void grant_issuer::state::record_sent(duration length) {
    if (length > duration::zero()) {
        live_until = std::max(live_until, token_received + length + max_clock_drift(length));
    }
}

grant_issuer::grant_issuer(duration lease, duration interval) : state_(std::make_shared<state>()) {
    state_->lease = lease;
    state_->interval = interval;
}

void grant_issuer::assign(epoch_number epoch, epoch_number version) {
    auto& it = *state_;
    if (it.assigned && !it.revoking && it.epoch == epoch && it.version == version) {
        return;
    }
    it.start_epoch(epoch, version);
    it.revoking = false;
}

// A revocation has no list of shards; its epoch, which is unique, serves as its version.
void grant_issuer::revoke(epoch_number epoch) {
    auto& it = *state_;
    if (it.revoking && it.epoch == epoch) {
        return;
    }
    it.start_epoch(epoch, epoch);
    it.revoking = true;
}

std::optional<grant_issuer::grant> grant_issuer::poll(time_point now, time_point gate_lease_end) {
    auto& it = *state_;
    if (!it.assigned || it.superseded || now < it.next_push || (!it.revoking && gate_lease_end <= now)) {
        return std::nullopt;
    }
    it.next_push = now + it.interval;
    const duration length = it.usable_lease(now, gate_lease_end);
    it.record_sent(length);
    if (it.pending_pushes.size() < max_pending_pushes) {
        it.pending_pushes.push_back(it.dispatch_end(length));
    }
    return it.make_grant(length);
}

std::optional<grant_issuer::grant> grant_issuer::renew_with_request(time_point now,
                                                                    time_point gate_lease_end) {
    auto& it = *state_;
    const duration length = it.usable_lease(now, gate_lease_end);
    if (!it.accepted || it.superseded || length == duration::zero()) {
        return std::nullopt;
    }
    it.record_sent(length);
    return it.make_grant(length);
}

// Without a usable token the upstream has no lease yet, so the next push is sent at once.
void grant_issuer::on_token(const std::string& token, time_point received,
                            std::optional<time_point> requested) {
    auto& it = *state_;
    if (it.token.empty() || it.token_received + it.lease <= received || it.dispatch_until <= received) {
        it.next_push = std::min(it.next_push, received);
    }
    it.token = token;
    it.token_received = received;
    it.token_requested = requested.value_or(received);
}

// Answers may arrive in another order than the pushes were sent. Since dispatch_until rises in the order of
// sending, n answers confirm at least the value of the n-th oldest push.
void grant_issuer::on_accepted(epoch_number epoch, epoch_number version, time_point /*now*/) {
    auto& it = *state_;
    if (epoch != it.epoch || version != it.version) {
        return;
    }
    it.failures = 0;
    it.accepted = true;
    if (!it.pending_pushes.empty()) {
        it.dispatch_until = std::max(it.dispatch_until, it.pending_pushes.front());
        it.pending_pushes.pop_front();
    }
}

void grant_issuer::on_shards_missing(time_point now) {
    auto& it = *state_;
    it.accepted = false;
    it.failures = 0;
    it.next_push = now;
    it.dispatch_until = time_point::min();
    if (!it.pending_pushes.empty()) {
        it.pending_pushes.pop_back();
    }
}

// The higher epoch has ended every grant of this gate at the upstream.
void grant_issuer::on_higher_epoch(epoch_number epoch, time_point now) {
    auto& it = *state_;
    if (epoch <= it.epoch) {
        return;
    }
    it.superseded = true;
    it.accepted = false;
    it.failures = 0;
    it.dispatch_until = time_point::min();
    it.live_until = std::min(it.live_until, now);
}

// Drops the newest pending push. If an older one failed instead, dispatch ends earlier than necessary.
// A change of the assignment is pushed without waiting for the interval. One disturbance of the network then
// makes several pushes fail, so failures less than half an interval apart count once.
void grant_issuer::on_failure(time_point now) {
    auto& it = *state_;
    if (it.failures == 0 || now - it.last_failure >= it.interval / 2) {
        ++it.failures;
        it.last_failure = now;
    }
    if (!it.pending_pushes.empty()) {
        it.pending_pushes.pop_back();
    }
}

bool grant_issuer::may_dispatch(time_point now) const {
    return state_->accepted && !state_->revoking && !state_->superseded && now < state_->dispatch_until;
}

time_point grant_issuer::may_live_until() const noexcept {
    return state_->live_until;
}

bool grant_issuer::revoked(time_point now) const {
    return state_->revoking && (state_->accepted || state_->superseded || now >= state_->live_until);
}

bool grant_issuer::acknowledged() const noexcept {
    return state_->accepted;
}

std::uint32_t grant_issuer::failures() const noexcept {
    return state_->failures;
}

} // namespace kingcupseam::ownership
