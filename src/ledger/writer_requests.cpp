// Calls of the gate: begin, look_up, finish and abandon.
#include "ledger/record_order.h"
#include "ledger/writer_state.h"

#include <utility>

namespace kingcupseam::ledger {

using phase = key_entry::phase;

void writer::state::effects::decide(const on_decision& done, verdict result, std::optional<record> known) {
    callbacks.emplace_back([done, outcome = decision{result, std::move(known)}] { done(outcome); });
}

std::vector<replica_request> writer::state::effects::run() {
    for (const auto& call : callbacks) {
        call();
    }
    return std::move(messages);
}

void writer::state::process_request(const key_request& request, const std::vector<std::string>& replicas,
                                    effects& out) {
    const shard_id id{request.wanted.service, request.wanted.shard};
    gate_shard& shard = shards[id];
    if (request.wanted.epoch < shard.epoch) {
        out.decide(request.done, verdict::stale);
        return;
    }
    if (request.wanted.epoch > shard.epoch || replicas != shard.replicas) {
        change_configuration(shard, id, request.wanted.epoch, replicas, out);
    }
    if (shard.fenced) {
        process_fenced_request(shard, id, request, out);
        return;
    }
    shard.waiting_for_fence.push_back(request);
    if (shard.fence_operation == 0) {
        start_fence(shard, id, out);
    }
}

void writer::state::change_configuration(gate_shard& shard, const shard_id& id, std::uint64_t epoch,
                                         const std::vector<std::string>& replicas, effects& out) {
    // Writes of results and cleanups continue; fences and begins of the former configuration end.
    for (auto it = operations.begin(); it != operations.end();) {
        const operation current = it->second;
        const bool obsolete = current.shard == id && (current.kind == operation::type::begin ||
                                                      current.kind == operation::type::fence);
        it = obsolete ? operations.erase(it) : std::next(it);
        if (obsolete && current.kind == operation::type::begin) {
            settle_begin(current, verdict::stale, current.to_write, out);
        }
    }
    reset_fence(shard, verdict::stale, out);
    std::erase_if(shard.keys, [](const auto& it) {
        return it.second.stage == phase::settled || it.second.stage == phase::writing;
    });
    shard.epoch = epoch;
    shard.replicas = replicas;
    shard.fenced = false;
}

void writer::state::process_fenced_request(gate_shard& shard, const shard_id& id, const key_request& request,
                                           effects& out) {
    if (request.lookup_only) {
        decide_lookup(shard, request, out);
        return;
    }
    const auto it = shard.keys.find(request.wanted.key);
    if (it == shard.keys.end()) {
        start_begin(shard, id, request, out);
        return;
    }
    key_entry& entry = it->second;
    const bool did_not_run = entry.stage == phase::settled && entry.known.state == record_state::not_run;
    if (did_not_run) {
        start_begin(shard, id, request, out);
    } else if (entry.known.digest != request.wanted.digest) {
        out.decide(request.done, verdict::conflict);
    } else if (entry.stage == phase::writing || entry.stage == phase::dispatched) {
        entry.waiting.push_back(request.done);
    } else if (entry.known.state == record_state::answered) {
        out.decide(request.done, verdict::answer, entry.known);
    } else {
        out.decide(request.done, verdict::in_doubt, entry.known);
    }
}

void writer::state::decide_lookup(const gate_shard& shard, const key_request& request, effects& out) {
    const auto it = shard.keys.find(request.wanted.key);
    if (it == shard.keys.end()) {
        out.decide(request.done, verdict::unavailable);
        return;
    }
    const key_entry& entry = it->second;
    const bool settled = entry.stage == phase::settled;
    if (settled && entry.known.state == record_state::not_run) {
        out.decide(request.done, verdict::unavailable, entry.known);
    } else if (entry.known.digest != request.wanted.digest) {
        out.decide(request.done, verdict::conflict);
    } else if (settled && entry.known.state == record_state::answered) {
        out.decide(request.done, verdict::answer, entry.known);
    } else {
        out.decide(request.done, verdict::in_doubt, entry.known);
    }
}

void writer::state::start_begin(gate_shard& shard, const shard_id& id, const key_request& request,
                                effects& out) {
    // Attempt numbers start from the clock, so that they stay distinct if a restarted process gets its old
    // epoch again.
    const auto clock = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.time_since_epoch().count()));
    last_attempt_ = std::max(last_attempt_ + 1, clock);
    key_entry& entry = shard.keys[request.wanted.key];
    entry.known = request.wanted;
    entry.known.state = record_state::begun;
    entry.known.attempt = last_attempt_;
    entry.stage = phase::writing;
    entry.waiting = {request.done};
    operation new_operation;
    new_operation.kind = operation::type::begin;
    new_operation.shard = id;
    new_operation.epoch = shard.epoch;
    new_operation.to_write = entry.known;
    new_operation.replicas = shard.replicas;
    start_operation(std::move(new_operation), out);
}

void writer::state::finish(const record& result, const on_done& done, effects& out) {
    const shard_id id{result.service, result.shard};
    const auto shard = shards.find(id);
    const bool is_result = result.state == record_state::answered || result.state == record_state::not_run;
    const auto it =
        shard == shards.end() ? decltype(shard->second.keys.end()){} : shard->second.keys.find(result.key);
    if (!is_result || shard == shards.end() || it == shard->second.keys.end() ||
        (it->second.stage != phase::dispatched && it->second.stage != phase::abandoned)) {
        out.callbacks.emplace_back([done] { done(false); });
        return;
    }
    key_entry& entry = it->second;
    entry.known.state = result.state;
    entry.known.status = result.status;
    entry.known.answer = result.answer;
    if (result.state == record_state::answered) {
        entry.known.epoch = shard->second.epoch;
    }
    entry.stage = phase::settled;
    const auto duplicate_verdict =
        result.state == record_state::answered ? verdict::answer : verdict::unavailable;
    for (const auto& waiter : std::exchange(entry.waiting, {})) {
        out.decide(waiter, duplicate_verdict, entry.known);
    }
    schedule_expiry(shard->second, id, result.key);
    operation new_operation;
    new_operation.kind = operation::type::finish;
    new_operation.shard = id;
    new_operation.epoch = entry.known.epoch;
    new_operation.to_write = entry.known;
    new_operation.replicas = shard->second.replicas;
    new_operation.resends_left = 2;
    new_operation.done = done;
    start_operation(std::move(new_operation), out);
}

void writer::state::abandon(const shard_id& id, const std::string& key, effects& out) {
    const auto shard = shards.find(id);
    if (shard == shards.end()) {
        return;
    }
    const auto it = shard->second.keys.find(key);
    if (it == shard->second.keys.end() || it->second.stage != phase::dispatched) {
        return;
    }
    it->second.stage = phase::abandoned;
    for (const auto& waiter : std::exchange(it->second.waiting, {})) {
        out.decide(waiter, verdict::in_doubt, it->second.known);
    }
    schedule_expiry(shard->second, id, key);
}

void writer::state::set_retention(duration replica_retention) {
    const duration next = replica_retention + replica_retention / 4;
    const duration added = next - retention;
    retention = next;
    if (added <= duration::zero()) {
        return;
    }
    for (auto& it : expiries_) {
        it.at += added;
    }
    for (auto& [id, shard] : shards) {
        for (auto& [key, entry] : shard.keys) {
            entry.expires += added;
        }
    }
}

void writer::state::schedule_expiry(gate_shard& shard, const shard_id& id, const std::string& key) {
    shard.keys.at(key).expires = now + retention;
    expiries_.push_back({now + retention, id, key});
}

void writer::state::drop_expired_keys() {
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const key_expiry oldest = std::move(expiries_.front());
        expiries_.pop_front();
        auto& keys = shards.at(oldest.shard).keys;
        const auto it = keys.find(oldest.key);
        if (it != keys.end() && it->second.expires <= now && it->second.stage != phase::writing &&
            it->second.stage != phase::dispatched) {
            keys.erase(it);
        }
    }
}

} // namespace kingcupseam::ledger
