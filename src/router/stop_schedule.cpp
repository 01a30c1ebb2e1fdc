#include "router/stop_schedule.h"

namespace kingcupseam::router {

namespace {

// The load balancer detects an unready entry by two checks that are a second apart.
constexpr duration min_unready_time = std::chrono::milliseconds(2600);
// Part of the grace period after which new requests are refused: they might not end before the process exits.
constexpr int grace_part_for_new_requests = 2; // half
// A busy process handles the stop signal late.
constexpr duration max_signal_delay = std::chrono::milliseconds(250);
// Time between the exit of the process and the kill signal.
constexpr duration stop_reserve = std::chrono::milliseconds(500);
// Time between the deadline of the last requests and the exit, for their answers.
constexpr duration last_answer_time = std::chrono::milliseconds(100);

} // namespace

duration stop_schedule::last_deadline() const {
    return grace_period_ - stop_reserve - last_answer_time;
}

stop_step stop_schedule::next(duration elapsed, bool idle) {
    const bool may_end = idle && elapsed > min_unready_time;
    if ((may_end && refusing_) || elapsed > grace_period_ - stop_reserve) {
        return stop_step::end;
    }
    const bool late = elapsed + max_signal_delay > grace_period_ / grace_part_for_new_requests;
    refusing_ = refusing_ || may_end || late;
    return refusing_ ? stop_step::refuse : stop_step::serve;
}

} // namespace kingcupseam::router
