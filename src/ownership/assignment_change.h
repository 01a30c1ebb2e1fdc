#pragma once

#include <kingcupseam/ownership.h>

namespace kingcupseam::ownership {

/// Applies one command to a table. Returns false, with the table unchanged, for a command that does not
/// apply.
class assignment_change {
public:
    assignment_change(table& rows, epoch_number epoch) : rows_(rows), epoch_(epoch) {}

    bool apply(const register_upstream& change);
    bool apply(const set_condition& change);
    bool apply(const set_gate& change);
    bool apply(const begin_move& change);
    bool apply(const complete_move& change);
    bool apply(const set_placement& change);
    bool apply(const set_ledger_group& change);

private:
    /// Creates the service if it is missing. @returns false if that is impossible without a number of shards
    bool create_service(const register_upstream& change);
    bool update_row(upstream_row& row, const upstream_row& announced);
    void add_row(const upstream_row& announced);
    /// True if a later incarnation of the upstream has registered.
    bool is_superseded(const upstream_row& announced) const;
    /// Index for a new row: a lost one that may be reused, or else the end of the list.
    std::uint32_t free_index(const std::string& name) const;
    /// Index of the row of @p upstream that is not lost; no_upstream when @p service has none.
    std::uint32_t target_index(const std::string& service, const std::string& upstream) const;
    /// Sets epoch and version of the upstream at @p index to the epoch of the command.
    void raise_epoch(std::uint32_t index);
    bool begin_row_move(shard_row& row, std::uint32_t to);
    bool begin_hot_key_move(service_rows& service, const std::string& key, std::uint32_t to);
    bool complete_row_move(shard_row& row, std::uint32_t to);
    bool complete_hot_key_move(service_rows& service, const std::string& key, std::uint32_t to);
    bool place_elsewhere(shard_row& row);
    bool place_here(shard_row& row);

    table& rows_;
    epoch_number epoch_;
};

} // namespace kingcupseam::ownership
