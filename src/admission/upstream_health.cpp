#include <kingcupseam/admission.h>

#include <algorithm>

namespace kingcupseam::admission {
namespace {

// A report is ignored after this time.
constexpr duration report_validity = std::chrono::seconds(2);
// Time in which the used slots of a new or returned upstream rise linearly to their full number.
constexpr duration ramp_period = std::chrono::seconds(5);
constexpr double initial_fraction = 0.25;
// Each failure reduces the fraction by three tenths; each answer restores a tenth of what is missing.
constexpr double failure_factor = 0.7;
constexpr double recovery_step = 0.1;
constexpr double min_fraction = 0.1;

} // namespace

struct upstream_health::state {
    options settings;
    time_point ramp_start;
    std::optional<time_point> last_answer;
    std::optional<time_point> probe_sent;
    std::optional<time_point> probe_answered;
    std::optional<time_point> reported_unhealthy_at;
    std::optional<time_point> reported_load_at;
    double reported_fraction = 1;
    double outcome_factor = 1;
    std::uint32_t refused_connects = 0;

    void record_failure() { outcome_factor = std::max(min_fraction, outcome_factor * failure_factor); }
    bool is_recent(const std::optional<time_point>& at, time_point now) const {
        return at && now - *at < report_validity;
    }
    bool probe_failed(time_point now) const {
        return probe_sent && now - *probe_sent >= settings.probe_timeout;
    }
    /// Fraction allowed by reports; at least one half, so that a false report slows an upstream but does not
    /// stop it.
    double report_factor(time_point now) const {
        double factor = is_recent(reported_unhealthy_at, now) ? 0.5 : 1.0;
        if (is_recent(reported_load_at, now)) {
            factor = std::min(factor, std::max(0.5, reported_fraction));
        }
        return factor;
    }
};

upstream_health::upstream_health(options settings, time_point now) : state_(std::make_shared<state>()) {
    state_->settings = settings;
    state_->ramp_start = now;
}

void upstream_health::on_answer(duration /*service_time*/, time_point now) {
    auto& s = *state_;
    // An upstream that was frozen or dead may have cold caches, so its ramp starts again.
    if (s.probe_failed(now) || s.refused_connects >= s.settings.refused_before_dead) {
        s.ramp_start = now;
    }
    s.last_answer = now;
    s.probe_sent.reset();
    s.refused_connects = 0;
    // The constant lets the factor reach 1, which the steps alone only approach.
    s.outcome_factor = std::min(1.0, s.outcome_factor + recovery_step * (1 - s.outcome_factor) + 0.001);
}

void upstream_health::on_connect_refused(time_point /*now*/) {
    ++state_->refused_connects;
    state_->record_failure();
}

void upstream_health::on_connection_broken(time_point /*now*/) {
    state_->record_failure();
}

void upstream_health::on_timeout(time_point /*now*/) {
    state_->record_failure();
}

void upstream_health::on_reported_load(std::uint32_t in_flight, std::uint32_t slots, time_point now) {
    auto& s = *state_;
    s.reported_load_at = now;
    // A load up to the number of slots is normal; only the excess lowers the fraction.
    s.reported_fraction = slots == 0 ? 0.0 : std::min(1.0, double(slots) / std::max(1.0, double(in_flight)));
}

void upstream_health::on_reported_unhealthy(time_point now) {
    state_->reported_unhealthy_at = now;
}

bool upstream_health::probe_due(time_point oldest_in_flight, time_point now) const {
    const auto& s = *state_;
    if (s.probe_sent) {
        return false;
    }
    // Answers on other connections do not count, so that a single silent connection is found.
    const bool silent = now - oldest_in_flight >= s.settings.silence_before_probe;
    const bool probed_recently =
        s.probe_answered && now - *s.probe_answered < s.settings.silence_before_probe;
    return silent && !probed_recently;
}

void upstream_health::on_probe_sent(time_point now) {
    if (!state_->probe_sent) {
        state_->probe_sent = now;
    }
}

void upstream_health::on_probe_answered(time_point now) {
    auto& s = *state_;
    if (s.probe_failed(now) || s.refused_connects >= s.settings.refused_before_dead) {
        s.ramp_start = now;
    }
    s.probe_sent.reset();
    s.probe_answered = now;
    // The upstream accepts connections again; that says nothing about requests, so outcome_factor stays.
    s.refused_connects = 0;
}

upstream_health::status upstream_health::current(time_point now) const {
    const auto& s = *state_;
    if (s.refused_connects >= s.settings.refused_before_dead) {
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
    const status health = current(now);
    if (health == status::dead || health == status::frozen) {
        return 0;
    }
    const double age =
        std::clamp(double((now - s.ramp_start).count()) / double(ramp_period.count()), 0.0, 1.0);
    const double ramp = initial_fraction + (1 - initial_fraction) * age;
    return std::max(min_fraction, ramp * s.outcome_factor * s.report_factor(now));
}

} // namespace kingcupseam::admission
