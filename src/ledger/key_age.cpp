#include <kingcupseam/ledger.h>

#include <algorithm>
#include <cctype>

namespace kingcupseam::ledger {
namespace {

bool has_uuid_form(const std::string& text) {
    if (text.size() != 36) {
        return false;
    }
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool dash = n == 8 || n == 13 || n == 18 || n == 23;
        if (dash ? text[n] != '-' : std::isxdigit(static_cast<unsigned char>(text[n])) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace

void guaranteed_retention::set_retention(duration retention, time_point now) {
    if (retention == retention_) {
        return;
    }
    // The first retention applies to empty windows, so no record was dropped under another one.
    before_ = retention_ == duration::zero() ? retention : std::min(at(now), retention);
    retention_ = retention;
    changed_ = now;
}

duration guaranteed_retention::at(time_point now) const {
    const duration grown = before_ + std::max(duration::zero(), now - changed_ - slack_);
    return std::min(retention_, grown);
}

std::optional<std::chrono::system_clock::time_point> creation_time(const std::string& idempotency_key) {
    if (!has_uuid_form(idempotency_key) || idempotency_key[14] != '7' ||
        std::string("89abAB").find(idempotency_key[19]) == std::string::npos) {
        return std::nullopt;
    }
    const std::string digits = idempotency_key.substr(0, 8) + idempotency_key.substr(9, 4);
    const std::chrono::milliseconds since_epoch(std::stoll(digits, nullptr, 16));
    // 48 bits of milliseconds exceed the range of the system clock, which counts nanoseconds.
    constexpr auto latest =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::duration::max());
    return std::chrono::system_clock::time_point(std::min(since_epoch, latest));
}

} // namespace kingcupseam::ledger
