#pragma once

#include <kingcupseam/ledger.h>

#include <tuple>

namespace kingcupseam::ledger {

/// Attempts of one key are ordered by the epoch of their gate, then by the gate's own counter.
inline bool same_attempt(const record& a, const record& b) {
    return a.epoch == b.epoch && a.attempt == b.attempt;
}
inline bool earlier_attempt(const record& a, const record& b) {
    return std::tie(a.epoch, a.attempt) < std::tie(b.epoch, b.attempt);
}

/// True when @p candidate tells more about its key than @p known does. An answer is final. Otherwise the
/// later attempt counts: it was begun only after its gate had ruled out that the earlier one ran. For one
/// attempt `not_run` follows `begun`.
inline bool supersedes(const record& candidate, const record& known) {
    if (known.state == record_state::answered || candidate.state == record_state::answered) {
        return known.state != record_state::answered;
    }
    return earlier_attempt(known, candidate) ||
           (same_attempt(known, candidate) && candidate.state > known.state);
}

} // namespace kingcupseam::ledger
