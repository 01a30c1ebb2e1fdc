#include "app/instance/replicated_group.h"

#include <kingcupseam/lifecycle.h>

#include <utility>
#include <vector>

namespace kingcupseam::app {

namespace {

using lifecycle::run_or_end_process;

// A step that ended halfway may have lost committed entries, which other members have applied.
constexpr const char* step_name = "replicated group";
constexpr std::uint64_t entries_before_snapshot = 1000;
// Each entry may hold a whole configuration of some MiB, and at a start the log is in memory twice.
constexpr std::size_t entry_bytes_before_snapshot = std::size_t{16} * 1024 * 1024;
constexpr duration proposal_timeout = std::chrono::seconds(2);

/// Restores the state machine from the stored snapshot before the node delivers the entries after it, and
/// returns @p settings unchanged.
consensus::options restore_snapshot(const consensus::options& settings, const storage::log_store& store,
                                    state_machine& machine, std::uint64_t& applied) {
    if (const auto saved = store.load_snapshot(); saved && saved->index > 0) {
        if (!saved->data.empty()) {
            machine.restore(saved->data);
        }
        applied = saved->index;
    }
    return settings;
}

} // namespace

replicated_group::replicated_group(const consensus::options& settings,
                                   std::unique_ptr<storage::log_store> store, state_machine& machine,
                                   sender send)
    : self_(settings.self), store_(std::move(store)), machine_(machine), send_(std::move(send)),
      node_(restore_snapshot(settings, *store_, machine_, applied_), *store_, steady_now()) {}

void replicated_group::receive(const consensus::message& received) {
    run_or_end_process(step_name, [&] { apply_effects(node_.receive(received, steady_now())); });
}

void replicated_group::tick() {
    run_or_end_process(step_name, [&] {
        const time_point now = steady_now();
        apply_effects(node_.tick(now));
        expire_proposals(now);
    });
}

void replicated_group::propose(std::string command, on_result done) {
    run_or_end_process(step_name, [&] { append(std::move(command), std::move(done)); });
}

void replicated_group::append(std::string command, on_result done) {
    consensus::effects effects;
    try {
        const auto index = node_.propose(std::move(command), steady_now(), effects);
        // A proposal of an earlier term may be pending at this index; its entry has been replaced.
        const auto replaced = std::exchange(proposals_[index], {node_.term(), steady_now(), std::move(done)});
        if (replaced.done) {
            replaced.done(std::nullopt);
        }
    } catch (const consensus::not_leader&) {
        done(std::nullopt);
        return;
    }
    apply_effects(std::move(effects));
}

bool replicated_group::change_membership(const consensus::membership_change& wanted) {
    bool accepted = false;
    run_or_end_process(step_name, [&] { accepted = append(wanted); });
    return accepted;
}

bool replicated_group::append(const consensus::membership_change& wanted) {
    consensus::effects effects;
    try {
        node_.change_membership(wanted, steady_now(), effects);
    } catch (const consensus::not_leader&) {
        return false;
    } catch (const consensus::change_refused&) {
        return false;
    }
    apply_effects(std::move(effects));
    return true;
}

bool replicated_group::leads() const {
    // Until an entry of its own term is committed, a new leader does not know which older entries are
    // committed, and its state machine may lack some of them.
    return node_.current_role() == consensus::role::leader && steady_now() < node_.leadership_valid_until() &&
           store_->term_at(node_.commit_index()) == node_.term();
}

void replicated_group::apply_effects(consensus::effects effects) {
    for (const auto& it : effects.messages) {
        send_(it);
    }
    if (effects.install) {
        machine_.restore(effects.install->data);
        applied_ = effects.install->index;
    }
    for (const auto& it : effects.committed) {
        apply(it);
    }
    compact_if_needed();
}

void replicated_group::apply(const storage::entry& committed) {
    std::string result;
    if (committed.kind == storage::entry_kind::command) {
        result = machine_.apply(committed.data, committed.index);
    }
    applied_ = committed.index;
    const auto it = proposals_.find(committed.index);
    if (it == proposals_.end()) {
        return;
    }
    // If the terms differ, another leader's entry has this index, and the proposal was lost.
    const bool own = it->second.term == committed.term;
    const auto done = std::move(it->second.done);
    proposals_.erase(it);
    done(own ? std::optional(std::move(result)) : std::nullopt);
}

void replicated_group::compact_if_needed() {
    const bool many = applied_ + 1 > store_->first_index() + entries_before_snapshot;
    const bool large =
        applied_ >= store_->first_index() && store_->entry_bytes() > entry_bytes_before_snapshot;
    if (many || large) {
        node_.compact(applied_, machine_.save());
    }
}

void replicated_group::abandon_proposals() {
    for (const auto& [index, it] : std::exchange(proposals_, {})) {
        it.done(std::nullopt);
    }
}

void replicated_group::expire_proposals(time_point now) {
    std::vector<on_result> expired;
    std::erase_if(proposals_, [&](auto& it) {
        if (now - it.second.since < proposal_timeout) {
            return false;
        }
        expired.push_back(std::move(it.second.done));
        return true;
    });
    for (const auto& it : expired) {
        it(std::nullopt);
    }
}

} // namespace kingcupseam::app
