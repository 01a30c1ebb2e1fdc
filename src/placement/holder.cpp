#include <kingcupseam/placement.h>

#include <algorithm>

namespace kingcupseam::placement {

placement_holder::placement_holder(const holder_options& options, std::uint64_t id,
                                   data_center_assignment committed, std::optional<time_point> last_contact)
    : options_(options), id_(id), committed_(std::move(committed)), contact_(last_contact) {}

std::map<std::string, duration> placement_holder::holds() const {
    std::map<std::string, duration> result;
    for (const auto& [service, it] : committed_.services) {
        result[service] = it.hold;
    }
    return result;
}

std::optional<contact_request> placement_holder::poll(const shard_sets& held, time_point now) {
    if (next_request_ && now < *next_request_) {
        return std::nullopt;
    }
    next_request_ = now + options_.contact_interval;
    contact_request result{options_.data_center, id_, ++last_number_, committed_.version, holds(), {}};
    for (const auto& [service, assigned] : committed_.services) {
        const auto live = held.find(service);
        confirm_release done{service, options_.data_center, {}};
        for (const auto& [shard, begun] : assigned.releasing) {
            if (live == held.end() || live->second.count(shard) == 0) {
                done.begun[shard] = begun;
            }
        }
        if (!done.begun.empty()) {
            result.released.push_back(std::move(done));
        }
    }
    open_requests_[result.number] = {now, committed_.version, result.holds};
    // A reply that arrives this many intervals late brings no later contact than the replies since.
    constexpr std::size_t max_open = 64;
    if (open_requests_.size() > max_open) {
        open_requests_.erase(open_requests_.begin());
    }
    return result;
}

std::optional<data_center_assignment> placement_holder::on_reply(const contact_reply& reply) {
    const auto found = open_requests_.find(reply.number);
    if (reply.holder != id_ || found == open_requests_.end()) {
        return std::nullopt;
    }
    const auto request = found->second;
    // A reply that arrives after a newer one could restore a longer hold, so older requests are dropped.
    open_requests_.erase(open_requests_.begin(), std::next(found));
    if (!reply.assigned) {
        if (request.version == committed_.version && request.holds == holds()) {
            contact_ = std::max(contact_.value_or(request.sent), request.sent);
        }
        return std::nullopt;
    }
    if (reply.assigned->version < committed_.version) {
        return std::nullopt;
    }
    if (*reply.assigned == committed_) {
        contact_ = std::max(contact_.value_or(request.sent), request.sent);
        return std::nullopt;
    }
    uncommitted_ = uncommitted_assignment{*reply.assigned, request.sent};
    return reply.assigned;
}

void placement_holder::on_committed(const data_center_assignment& committed) {
    committed_ = committed;
    if (uncommitted_ && uncommitted_->assignment == committed) {
        contact_ = std::max(contact_.value_or(uncommitted_->contact), uncommitted_->contact);
        uncommitted_.reset();
    }
}

time_point placement_holder::serve_until(const std::string& service) const {
    const auto assigned = committed_.services.find(service);
    if (!contact_ || assigned == committed_.services.end()) {
        return time_point{};
    }
    return *contact_ + assigned->second.hold - drift_margin(assigned->second.hold);
}

bool placement_holder::may_serve(const std::string& service, std::uint32_t shard, time_point now) const {
    const auto assigned = committed_.services.find(service);
    return assigned != committed_.services.end() && assigned->second.shards.count(shard) != 0 &&
           now < serve_until(service);
}

std::optional<duration> placement_holder::contact_age(time_point now) const {
    if (!contact_) {
        return std::nullopt;
    }
    return now - *contact_ + duration(1);
}

void contact_observer::on_contact_age(time_point asked, duration age) {
    // The leader measured the age on its own clock, and both clocks drift.
    const auto contact = asked - age - 2 * drift_margin(age);
    contact_ = std::max(contact_.value_or(contact), contact);
}

} // namespace kingcupseam::placement
