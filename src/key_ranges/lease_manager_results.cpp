#include <kingcupseam/key_ranges.h>

#include <algorithm>

// Results of calls and commands.

namespace kingcupseam::key_ranges {

namespace {

/// Renewals within one lease time: two may fail before the lease ends.
constexpr int renewals_per_lease = 3;

} // namespace

void lease_manager::on_result(std::uint64_t call_id, call_result result, const std::string& handover,
                              time_point now) {
    const auto known = calls_.find(call_id);
    if (known == calls_.end()) {
        return;
    }
    lease* const held = find(known->second.first, known->second.second);
    calls_.erase(known);
    if (held == nullptr) {
        return;
    }
    if (held->open_call == call_id) {
        on_grant_result(*held, result, now);
        return;
    }
    if (held->open_release == call_id) {
        held->open_release = 0;
        held->next_release = now + settings_.retry_delay;
        if (result == call_result::done || result == call_result::wrong_upstream) {
            held->answered_until = {}; // only unanswered grants can still take effect
        }
        return;
    }
    const auto part = std::find_if(held->parts.begin(), held->parts.end(),
                                   [&](const move_part& it) { return it.open_call == call_id; });
    if (part == held->parts.end()) {
        return;
    }
    on_release_result(*held, *part, result, handover, now);
    if (result == call_result::not_sent && !part->release_sent) {
        // The owner still holds it: the move is dropped, so that the lease is renewed and others may move.
        held->parts.erase(part);
    }
}

void lease_manager::on_release_result(lease& held, move_part& part, call_result result,
                                      const std::string& handover, time_point now) const {
    part.open_call = 0;
    part.next_call = now + settings_.retry_delay;
    part.release_sent = part.release_sent || result != call_result::not_sent;
    part.released = result == call_result::done;
    part.handover = handover;
    held.unreachable = result == call_result::not_sent;
}

void lease_manager::on_grant_result(lease& held, call_result result, time_point now) const {
    held.open_call = 0;
    held.next_call = now + settings_.retry_delay;
    held.unreachable = result == call_result::not_sent;
    if (result == call_result::done) {
        held.answered_until = now + max_lease_duration(held.requested_time);
        held.lower_epochs_until = {};
        held.confirmed = true;
        held.failed_calls = 0;
        held.handover.clear();
        held.next_call = held.requested_time < settings_.lease_time
                             ? now
                             : now + settings_.lease_time / renewals_per_lease;
        return;
    }
    ++held.failed_calls;
    if (result == call_result::unanswered) {
        held.unanswered_until =
            std::max(held.unanswered_until, now + max_lease_duration(held.requested_time));
    }
}

void lease_manager::on_command(bool committed) {
    command_open_ = false;
    if (!renumbered_) {
        renumbered_ = committed;
        renumber_proposed_ = committed;
    }
}

time_point lease_manager::may_hold_until(const std::string& service, key_number key) const {
    const auto map = leases_.find(service);
    if (map == leases_.end() || map->second.empty()) {
        return {};
    }
    auto it = map->second.upper_bound(key);
    if (it == map->second.begin()) {
        return {};
    }
    --it;
    return it->second.range.last >= key ? it->second.may_hold_until() : time_point{};
}

} // namespace kingcupseam::key_ranges
