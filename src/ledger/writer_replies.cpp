// Operations: sending, counting replies to a majority, and timeouts.
#include "ledger/record_order.h"
#include "ledger/writer_state.h"

#include <algorithm>
#include <utility>

namespace kingcupseam::ledger {

using phase = key_entry::phase;

namespace {

bool in_progress(const key_entry& entry) {
    return entry.stage == phase::writing || entry.stage == phase::dispatched;
}

} // namespace

bool operation::count_reply(const std::string& from, bool accepts) {
    const bool member = std::find(replicas.begin(), replicas.end(), from) != replicas.end();
    if (!member || !replied.insert(from).second) {
        return false;
    }
    if (accepts) {
        accepted.insert(from);
    }
    return true;
}

operation& writer::state::start_operation(operation new_operation, effects& out) {
    new_operation.id = ++last_operation_;
    new_operation.started = now;
    operation& stored = operations.emplace(new_operation.id, std::move(new_operation)).first->second;
    send(stored, out);
    if (stored.replicas.empty()) {
        evaluate(stored, out);
    }
    return stored;
}

void writer::state::send(const operation& to_send, effects& out) const {
    for (const auto& it : to_send.replicas) {
        if (to_send.replied.contains(it)) {
            continue;
        }
        replica_request message{to_send.id, it, {}, {}, to_send.epoch};
        if (to_send.kind == operation::type::fence) {
            message.fence = to_send.shard;
        } else {
            message.write = to_send.to_write;
        }
        out.messages.push_back(std::move(message));
    }
}

void writer::state::start_fence(gate_shard& shard, const shard_id& id, effects& out) {
    operation new_operation;
    new_operation.kind = operation::type::fence;
    new_operation.shard = id;
    new_operation.epoch = shard.epoch;
    new_operation.replicas = shard.replicas;
    shard.fence_operation = last_operation_ + 1;
    start_operation(std::move(new_operation), out);
}

void writer::state::on_write_reply(std::uint64_t id, const std::string& from, const write_result& reply,
                                   effects& out) {
    const auto it = operations.find(id);
    if (it == operations.end() || it->second.kind == operation::type::fence ||
        !it->second.count_reply(from, reply.accepted)) {
        return;
    }
    operation& current = it->second;
    if (current.kind == operation::type::begin && !reply.accepted) {
        if (reply.fenced_epoch > current.epoch) {
            end_as_stale(current, out);
            return;
        }
        if (reply.existing && reply.existing->state == record_state::answered) {
            end_with_existing(current, *reply.existing, out);
            return;
        }
        current.begun_elsewhere =
            current.begun_elsewhere || (reply.existing && reply.existing->state == record_state::begun);
    }
    evaluate(current, out);
}

void writer::state::on_fence_reply(std::uint64_t id, const std::string& from, const fence_result& reply,
                                   effects& out) {
    const auto it = operations.find(id);
    if (it == operations.end() || it->second.kind != operation::type::fence ||
        !it->second.count_reply(from, reply.accepted)) {
        return;
    }
    operation& current = it->second;
    if (!reply.accepted && reply.fenced_epoch > current.epoch && !current.decided) {
        end_as_stale(current, out);
        return;
    }
    for (const auto& seen : reply.window) {
        const auto known = current.window.find(seen.key);
        if (known == current.window.end() || supersedes(seen, known->second)) {
            current.window[seen.key] = seen;
        }
    }
    evaluate(current, out);
}

void writer::state::on_replica_failed(std::uint64_t id, const std::string& from, effects& out) {
    const auto it = operations.find(id);
    if (it != operations.end() && it->second.count_reply(from, false)) {
        evaluate(it->second, out);
    }
}

void writer::state::expire_operations(effects& out) {
    while (!operations.empty() && operations.begin()->second.started + operation_timeout <= now) {
        operation& oldest = operations.begin()->second;
        if (resend(oldest, out)) {
            continue;
        }
        oldest.replied.insert(oldest.replicas.begin(), oldest.replicas.end());
        evaluate(oldest, out);
    }
}

bool writer::state::resend(operation& current, effects& out) {
    if (current.resends_left == 0 || current.all_replied()) {
        return false;
    }
    operation again = current;
    --again.resends_left;
    operations.erase(operations.find(current.id));
    start_operation(std::move(again), out);
    return true;
}

void writer::state::evaluate(operation& current, effects& out) {
    switch (current.kind) {
    case operation::type::fence:
        evaluate_fence(current, out);
        break;
    case operation::type::begin:
        evaluate_begin(current, out);
        break;
    case operation::type::finish:
        evaluate_finish(current, out);
        break;
    case operation::type::cleanup:
        if (current.all_replied()) {
            operations.erase(operations.find(current.id));
        }
        break;
    }
}

void writer::state::evaluate_begin(operation& current, effects& out) {
    if (current.has_majority()) {
        key_entry& entry = shards.at(current.shard).keys.at(current.to_write.key);
        entry.stage = phase::dispatched;
        out.decide(entry.waiting.front(), verdict::dispatch, entry.known);
        entry.waiting.erase(entry.waiting.begin());
        operations.erase(operations.find(current.id));
        return;
    }
    if (!current.cannot_succeed()) {
        return;
    }
    const operation failed = std::move(current);
    operations.erase(failed.id);
    if (failed.begun_elsewhere) {
        settle_begin(failed, verdict::in_doubt, failed.to_write, out);
    } else {
        record given_up = failed.to_write;
        given_up.state = record_state::not_run;
        settle_begin(failed, verdict::unavailable, given_up, out);
        clean_up(failed, out);
    }
}

void writer::state::end_with_existing(operation& current, const record& existing, effects& out) {
    const operation ended = std::move(current);
    operations.erase(ended.id);
    const bool same = existing.digest == ended.to_write.digest;
    settle_begin(ended, same ? verdict::answer : verdict::conflict, existing, out);
}

void writer::state::settle_begin(const operation& current, verdict result, const record& known,
                                 effects& out) {
    gate_shard& shard = shards.at(current.shard);
    key_entry& entry = shard.keys.at(current.to_write.key);
    entry.known = known;
    entry.stage = phase::settled;
    for (const auto& waiter : std::exchange(entry.waiting, {})) {
        out.decide(waiter, result, result == verdict::conflict ? std::nullopt : std::optional(known));
    }
    schedule_expiry(shard, current.shard, current.to_write.key);
}

void writer::state::clean_up(const operation& failed, effects& out) {
    operation new_operation;
    new_operation.kind = operation::type::cleanup;
    new_operation.shard = failed.shard;
    new_operation.epoch = failed.epoch;
    new_operation.to_write = failed.to_write;
    new_operation.to_write.state = record_state::not_run;
    new_operation.replicas = failed.replicas;
    start_operation(std::move(new_operation), out);
}

void writer::state::end_as_stale(operation& current, effects& out) {
    const operation ended = std::move(current);
    operations.erase(ended.id);
    gate_shard& shard = shards.at(ended.shard);
    if (ended.kind == operation::type::fence) {
        reset_fence(shard, verdict::stale, out);
        return;
    }
    record given_up = ended.to_write;
    given_up.state = record_state::not_run;
    settle_begin(ended, verdict::stale, given_up, out);
    clean_up(ended, out);
}

void writer::state::evaluate_finish(operation& current, effects& out) {
    if (!current.has_majority() && !current.cannot_succeed()) {
        return;
    }
    const operation ended = std::move(current);
    operations.erase(ended.id);
    const bool recorded = ended.has_majority();
    auto& keys = shards.at(ended.shard).keys;
    const auto it = keys.find(ended.to_write.key);
    // An answer that the replicas do not store is dropped here too, so that their limits also bound this
    // memory.
    if (!recorded && ended.to_write.state == record_state::answered && it != keys.end() &&
        it->second.stage == phase::settled) {
        it->second.known.state = record_state::begun;
        it->second.known.answer.clear();
    }
    out.callbacks.emplace_back([done = ended.done, recorded] { done(recorded); });
}

void writer::state::evaluate_fence(operation& current, effects& out) {
    gate_shard& shard = shards.at(current.shard);
    if (!current.decided && current.cannot_succeed()) {
        operations.erase(operations.find(current.id));
        reset_fence(shard, verdict::in_doubt, out);
        return;
    }
    if (!current.has_majority()) {
        return;
    }
    const bool first = !current.decided;
    current.decided = true;
    merge_window(shard, current);
    const shard_id id = current.shard;
    if (current.all_replied()) {
        operations.erase(operations.find(current.id));
    }
    if (first) {
        shard.fenced = true;
        shard.fence_operation = 0;
        for (const auto& it : std::exchange(shard.waiting_for_fence, {})) {
            process_fenced_request(shard, id, it, out);
        }
    }
}

void writer::state::merge_window(gate_shard& shard, const operation& fence) {
    for (const auto& [key, seen] : fence.window) {
        const auto it = shard.keys.find(key);
        const bool unknown = it == shard.keys.end();
        // A window that arrives after the majority may only add answers: its `begun` records were never
        // dispatched, and later attempts may have begun after its `not_run` records.
        const bool late = shard.fenced && seen.state != record_state::answered;
        if (late || (!unknown && (in_progress(it->second) || !supersedes(seen, it->second.known)))) {
            continue;
        }
        shard.keys[key].known = seen;
        shard.keys[key].stage = phase::settled;
        schedule_expiry(shard, fence.shard, key);
    }
}

void writer::state::reset_fence(gate_shard& shard, verdict result, effects& out) {
    shard.fence_operation = 0;
    shard.fenced = false;
    for (const auto& it : std::exchange(shard.waiting_for_fence, {})) {
        out.decide(it.done, result);
    }
}

} // namespace kingcupseam::ledger
