#include "ownership/assignment_change.h"

#include <kingcupseam/ownership.h>

#include <atomic>

namespace kingcupseam::ownership {

assignment_state::assignment_state(std::string data_center, std::uint64_t generation)
    : table_(std::make_shared<table>()) {
    table_->data_center = std::move(data_center);
    table_->generation = generation;
}

assignment_state::assignment_state(table rows) : table_(std::make_shared<table>(std::move(rows))) {}

bool assignment_state::apply(const command& change, std::uint64_t index) {
    // A command that was applied already is a replay after a snapshot; its epoch must not be used twice.
    if (index <= table_->version) {
        return false;
    }
    auto next = table_;
    if (table_.use_count() > 2) {
        next = std::make_shared<table>(*table_);
    } else {
        // use_count() is a relaxed load: the fence orders the reads of the last reader before the change.
        std::atomic_thread_fence(std::memory_order_acquire);
    }
    assignment_change editor(*next, make_epoch(next->generation, index));
    const bool changed = std::visit([&editor](const auto& it) { return editor.apply(it); }, change);
    if (changed) {
        next->version = index;
        table_ = next;
    }
    return changed;
}

std::shared_ptr<const table> assignment_state::current() const {
    return table_;
}

} // namespace kingcupseam::ownership
