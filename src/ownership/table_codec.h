#pragma once

#include "ownership/codec.h"

#include <kingcupseam/ownership.h>

namespace kingcupseam::ownership {

/// Largest number of shards of all services that is decoded; bounds the memory that a short input can claim.
inline constexpr std::uint32_t max_shards = 1U << 20U;

void write(byte_writer& out, const upstream_row& row);
upstream_row read_upstream(byte_reader& in);
void write(byte_writer& out, const ledger_group& group);
ledger_group read_ledger_group(byte_reader& in);
void write(byte_writer& out, const std::vector<std::string>& list);
std::vector<std::string> read_texts(byte_reader& in);

} // namespace kingcupseam::ownership
