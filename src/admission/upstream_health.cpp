#include <kingcupseam/admission.h>

#include <algorithm>

namespace kingcupseam::admission {
namespace {

// A report describes the moment it was made; after this time it is ignored.
constexpr duration report_validity = std::chrono::seconds(2);
// A new or returned upstream reaches its full slots after this time, in proportion to its age.
constexpr duration ramp_period = std::chrono::seconds(5);
constexpr double first_fraction = 0.25;
// A failure takes three tenths of the slots; an answer gives back a tenth of what is missing.
constexpr double failure_factor = 0.7;
constexpr double recovery_step = 0.1;
constexpr double min_fraction = 0.1;

} // namespace

struct upstream_health::state {
    options settings;
    time_point ramp_from;
    std::optional<time_point> last_answer;
    std::optional<time_point> probe_sent;
    std::optional<time_point> probe_answered;
    std::optional<time_point> reported_bad;
    std::optional<time_point> reported_load_at;
    double reported_free = 1;
    double outcome_factor = 1;
    std::uint32_t refused = 0;

    void failure() { outcome_factor = std::max(min_fraction, outcome_factor * failure_factor); }
    bool recent(const std::optional<time_point>& at, time_point now) const {
        return at && now - *at < report_validity;
    }
    bool probe_failed(time_point now) const {
        return probe_sent && now - *probe_sent >= settings.probe_timeout;
    }
    /// Lowest fraction that reports may impose; a lying report slows an upstream but does not stop it.
    double report_factor(time_point now) const {
        double factor = recent(reported_bad, now) ? 0.5 : 1.0;
        if (recent(reported_load_at, now)) {
            factor = std::min(factor, std::max(0.5, reported_free));
        }
        return factor;
    }
};

upstream_health::upstream_health(options settings, time_point now) : state_(std::make_shared<state>()) {
    state_->settings = settings;
    state_->ramp_from = now;
}

void upstream_health::on_answer(duration /*service_time*/, time_point now) {
    auto& s = *state_;
    // An upstream that was frozen or dead comes back with cold caches and ramps up again.
    if (s.probe_failed(now) || s.refused >= s.settings.refused_before_dead) {
        s.ramp_from = now;
    }
    s.last_answer = now;
    s.probe_sent.reset();
    s.refused = 0;
    s.outcome_factor = std::min(1.0, s.outcome_factor + recovery_step * (1 - s.outcome_factor) + 0.001);
}

void upstream_health::on_connect_refused(time_point /*now*/) {
    ++state_->refused;
    state_->failure();
}

void upstream_health::on_connection_broken(time_point /*now*/) {
    state_->failure();
}

void upstream_health::on_timeout(time_point /*now*/) {
    state_->failure();
}

void upstream_health::on_reported_load(std::uint32_t in_flight, std::uint32_t slots, time_point now) {
    auto& s = *state_;
    s.reported_load_at = now;
    // A load at or below the slots is normal use. Only the excess lowers the judgement.
    s.reported_free = slots == 0 ? 0.0 : std::min(1.0, double(slots) / std::max(1.0, double(in_flight)));
}

void upstream_health::on_reported_unhealthy(time_point now) {
    state_->reported_bad = now;
}

bool upstream_health::probe_due(time_point oldest_in_flight, time_point now) const {
    const auto& s = *state_;
    if (s.probe_sent) {
        return false;
    }
    // Other answers do not count: one silent connection is found while the others work.
    const bool silent = now - oldest_in_flight >= s.settings.silence_before_probe;
    const bool asked_lately = s.probe_answered && now - *s.probe_answered < s.settings.silence_before_probe;
    return silent && !asked_lately;
}

void upstream_health::on_probe_sent(time_point now) {
    if (!state_->probe_sent) {
        state_->probe_sent = now;
    }
}

void upstream_health::on_probe_answered(time_point now) {
    auto& s = *state_;
    if (s.probe_failed(now) || s.refused >= s.settings.refused_before_dead) {
        s.ramp_from = now;
    }
    s.probe_sent.reset();
    s.probe_answered = now;
    // Accepting a connection disproves refusal; it says nothing about requests, so the outcomes stay.
    s.refused = 0;
}

upstream_health::status upstream_health::current(time_point now) const {
    const auto& s = *state_;
    if (s.refused >= s.settings.refused_before_dead) {
        return status::dead;
    }
    if (s.probe_failed(now)) {
        return status::frozen;
    }
    const bool answered_since = s.last_answer && s.probe_answered && *s.last_answer > *s.probe_answered;
    if (s.probe_answered && !answered_since && now - *s.probe_answered < s.settings.probe_timeout) {
        return status::silent_connection;
    }
    return s.outcome_factor < 0.7 || s.report_factor(now) < 1 ? status::degraded : status::healthy;
}

double upstream_health::slot_fraction(time_point now) const {
    const auto& s = *state_;
    const status judged = current(now);
    if (judged == status::dead || judged == status::frozen) {
        return 0;
    }
    const double age =
        std::clamp(double((now - s.ramp_from).count()) / double(ramp_period.count()), 0.0, 1.0);
    const double ramp = first_fraction + (1 - first_fraction) * age;
    return std::max(min_fraction, ramp * s.outcome_factor * s.report_factor(now));
}

} // namespace kingcupseam::admission
