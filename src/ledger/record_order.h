#pragma once

#include <kingcupseam/ledger.h>

#include <tuple>

namespace kingcupseam::ledger {

/// Attempts of a key are ordered by the epoch of their gate, then by the attempt number of that gate.
inline bool same_attempt(const record& a, const record& b) {
    return a.epoch == b.epoch && a.attempt == b.attempt;
}
inline bool earlier_attempt(const record& a, const record& b) {
    return std::tie(a.epoch, a.attempt) < std::tie(b.epoch, b.attempt);
}

/// True if @p candidate is newer information about its key than @p known. An answer is final. Otherwise the
/// later attempt wins, since its gate began it only after ruling out that the earlier one had run. Within one
/// attempt `not_run` follows `begun`.
inline bool supersedes(const record& candidate, const record& known) {
    if (known.state == record_state::answered || candidate.state == record_state::answered) {
        return known.state != record_state::answered;
    }
    return earlier_attempt(known, candidate) ||
           (same_attempt(known, candidate) && candidate.state > known.state);
}

} // namespace kingcupseam::ledger
