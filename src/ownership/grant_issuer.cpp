#include <kingcupseam/ownership.h>

#include <algorithm>
#include <deque>

namespace kingcupseam::ownership {

namespace {

// Pushes without an answer that are remembered. The callers settle each push, so only a few are ever open.
constexpr std::size_t max_open_pushes = 64;
// Failures in a row at which the gate reports the upstream as lost.
constexpr std::uint32_t failures_of_lost = 2;

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
    std::deque<time_point> open_pushes; ///< ends of dispatch, in the order of sending
    std::uint32_t failures = 0;
    time_point last_failure{};

    void start(epoch_number next_epoch, epoch_number next_version);
    duration lease_of(time_point now, time_point gate_lease_end) const;
    grant make_grant(duration length) const;
    void note_sent(duration length);
    time_point dispatch_end(duration length) const;
};

// An upstream that was reported as lost and gets a new epoch has registered again: failures from before would
// report it as lost at once. Below the limit they are kept, so that moves do not delay the detection of a
// loss.
void grant_issuer::state::start(epoch_number next_epoch, epoch_number next_version) {
    if (next_epoch > epoch && failures >= failures_of_lost) {
        failures = 0;
    }
    epoch = next_epoch;
    version = next_version;
    assigned = true;
    superseded = false;
    accepted = false;
    next_push = time_point::min();
    dispatch_until = time_point::min();
    open_pushes.clear();
}

// The lease is measured from the receipt of the token, which is later than its issue, and by a clock that may
// be slow. It is cut to whole milliseconds because the protocol states it so.
duration grant_issuer::state::lease_of(time_point now, time_point gate_lease_end) const {
    if (token.empty() || revoking || gate_lease_end <= now) {
        return duration::zero();
    }
    const duration room = gate_lease_end - token_received - max_clock_drift(lease);
    const auto length = std::chrono::floor<std::chrono::milliseconds>(std::min(lease, room));
    return token_received + length > now ? duration(length) : duration::zero();
}

grant_issuer::grant grant_issuer::state::make_grant(duration length) const {
    const bool usable = length > duration::zero();
    return {epoch, version, length, usable ? token : std::string(), !accepted, revoking};
}

time_point grant_issuer::state::dispatch_end(duration length) const {
    return length > duration::zero() ? token_requested + length - dispatch_margin(length) : time_point::min();
}

void grant_issuer::state::note_sent(duration length) {
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
    it.start(epoch, version);
    it.revoking = false;
}

// A revocation has no list of shards of its own, so its epoch, which is unique, is also its version.
void grant_issuer::revoke(epoch_number epoch) {
    auto& it = *state_;
    if (it.revoking && it.epoch == epoch) {
        return;
    }
    it.start(epoch, epoch);
    it.revoking = true;
}

std::optional<grant_issuer::grant> grant_issuer::poll(time_point now, time_point gate_lease_end) {
    auto& it = *state_;
    if (!it.assigned || it.superseded || now < it.next_push || (!it.revoking && gate_lease_end <= now)) {
        return std::nullopt;
    }
    it.next_push = now + it.interval;
    const duration length = it.lease_of(now, gate_lease_end);
    it.note_sent(length);
    if (it.open_pushes.size() < max_open_pushes) {
        it.open_pushes.push_back(it.dispatch_end(length));
    }
    return it.make_grant(length);
}

std::optional<grant_issuer::grant> grant_issuer::renew_with_request(time_point now,
                                                                    time_point gate_lease_end) {
    auto& it = *state_;
    const duration length = it.lease_of(now, gate_lease_end);
    if (!it.accepted || it.superseded || length == duration::zero()) {
        return std::nullopt;
    }
    it.note_sent(length);
    return it.make_grant(length);
}

// Without a usable token the upstream has no lease yet, so the next push does not wait for the interval.
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

// Answers may cross. Ends of dispatch rise in the order of sending, so n answers prove at least the n-th
// oldest.
void grant_issuer::on_accepted(epoch_number epoch, epoch_number version, time_point /*now*/) {
    auto& it = *state_;
    if (epoch != it.epoch || version != it.version) {
        return;
    }
    it.failures = 0;
    it.accepted = true;
    if (!it.open_pushes.empty()) {
        it.dispatch_until = std::max(it.dispatch_until, it.open_pushes.front());
        it.open_pushes.pop_front();
    }
}

void grant_issuer::on_shards_missing(time_point now) {
    auto& it = *state_;
    it.accepted = false;
    it.failures = 0;
    it.next_push = now;
    it.dispatch_until = time_point::min();
    if (!it.open_pushes.empty()) {
        it.open_pushes.pop_back();
    }
}

// The upstream replaced every grant of this gate when it saw the higher epoch.
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

// The newest push is dropped: when an older one failed instead, dispatch merely ends earlier.
// Changes of the assignment are pushed without waiting for the interval. Such pushes share the fate of their
// neighbour when messages are lost or late, so pushes that fail close together count once.
void grant_issuer::on_failure(time_point now) {
    auto& it = *state_;
    if (it.failures == 0 || now - it.last_failure >= it.interval / 2) {
        ++it.failures;
        it.last_failure = now;
    }
    if (!it.open_pushes.empty()) {
        it.open_pushes.pop_back();
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
