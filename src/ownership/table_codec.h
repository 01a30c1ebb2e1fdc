#pragma once

#include <kingcupseam/ownership.h>

#include <ownership_types.h>

namespace kingcupseam::ownership {

/// Decoding accepts at most this many shards over all services, which bounds the memory that a short input
/// can claim.
inline constexpr std::uint32_t max_shards = 1U << 20U;

wire::UpstreamRow to_wire(const upstream_row& row);
/// @throws invalid_input
upstream_row from_wire(const std::string& source, const wire::UpstreamRow& row);
wire::LedgerGroup to_wire(const ledger_group& group);
ledger_group from_wire(const wire::LedgerGroup& group);
/// @throws invalid_input
upstream_status condition_of(const std::string& source, std::int8_t value);

} // namespace kingcupseam::ownership
