#include <kingcupseam/admission.h>

#include <algorithm>

namespace kingcupseam::admission {
namespace {

constexpr std::size_t period_seconds = 10;

struct second_counts {
    std::int64_t second = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
};

} // namespace

struct retry_budget::state {
    retry_policy settings;
    std::mt19937_64 random;
    std::array<second_counts, period_seconds> seconds{};

    static std::int64_t second_of(time_point now) {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }
    second_counts& counts_at(time_point now) {
        const auto second = second_of(now);
        auto& it = seconds[static_cast<std::size_t>(second) % period_seconds];
        if (it.second != second) {
            it = {second, 0, 0};
        }
        return it;
    }
    bool within_budget(time_point now) {
        double first_attempts = 0;
        double retries = 0;
        for (const auto& it : seconds) {
            if (it.second > second_of(now) - std::int64_t(period_seconds)) {
                first_attempts += double(it.first_attempts);
                retries += double(it.retries);
            }
        }
        // The minimum lets a service with few requests retry at all. It applies to each second, so that it
        // cannot accumulate and be used in one burst.
        const bool within_minimum = counts_at(now).retries < settings.min_per_second;
        return within_minimum || retries + 1 <= settings.budget_fraction * first_attempts;
    }
    duration backoff(std::uint32_t attempt) {
        const auto doublings = std::min<std::uint32_t>(attempt - 1, 20);
        const auto limit =
            std::min<std::int64_t>(settings.first_backoff.count() << doublings, settings.max_backoff.count());
        // Half fixed, half random: spreads the retries after a common failure, and none is immediate.
        std::uniform_int_distribution<std::int64_t> spread(limit / 2, std::max<std::int64_t>(limit, 1));
        return duration(spread(random));
    }
};

retry_budget::retry_budget(retry_policy settings, std::uint64_t seed)
    : state_(std::make_shared<state>(state{settings, std::mt19937_64(seed), {}})) {}

void retry_budget::on_first_attempt(time_point now) {
    ++state_->counts_at(now).first_attempts;
}

std::optional<duration> retry_budget::try_retry(std::uint32_t attempt, time_point deadline, time_point now) {
    if (attempt == 0 || attempt >= state_->settings.max_attempts) {
        return std::nullopt;
    }
    const duration wait = state_->backoff(attempt);
    if (now + wait >= deadline || !state_->within_budget(now)) {
        return std::nullopt;
    }
    ++state_->counts_at(now).retries;
    return wait;
}

} // namespace kingcupseam::admission
