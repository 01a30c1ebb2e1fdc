#include "router/leader_notices.h"

#include <algorithm>

namespace kingcupseam::router {

bool leader_notices::add(const leader_notice& notice) {
    if (notice.name.empty() || notice.term < newest_.term) {
        return false;
    }
    if (notice.term == newest_.term) {
        newest_.heard = std::max(newest_.heard, notice.heard);
        return false;
    }
    newest_ = notice;
    return true;
}

std::optional<leader_notice> leader_notices::current(time_point now) const {
    return newest_.name.empty() || now - newest_.heard > max_age_ ? std::nullopt : std::optional(newest_);
}

} // namespace kingcupseam::router
