// Duties of the global group's leader: forming data centre groups, placing shards in data centres, and
// replacing voters.
#include "app/instance/global_tier.h"

#include <kingcupseam/ownership.h>
#include <kingcupseam/profile.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr std::size_t data_center_voters = 3;
constexpr duration report_lifetime = std::chrono::seconds(1);
// Instances are asked whether they have a disk only while a voter is missing.
constexpr duration durable_poll_interval = std::chrono::milliseconds(300);
// Longer than a gate lease (600 ms) with its drift margin, so that all leases of the former generation have
// ended.
constexpr duration reformation_wait = std::chrono::milliseconds(1200);
// Time for all data centres to register their upstreams before shards are placed in them.
constexpr duration placement_wait = std::chrono::milliseconds(1500);

std::map<std::string, std::uint32_t>
slots_by_data_center(const std::map<std::string, wire::TableMirror>& mirrors, const std::string& service) {
    std::map<std::string, std::uint32_t> slots;
    for (const auto& [data_center, mirror] : mirrors) {
        const auto rows = ownership::decode_table(mirror.table);
        for (const auto& row : rows.upstreams) {
            if (row.service == service && row.condition != ownership::upstream_status::lost) {
                slots[data_center] += row.slots;
            }
        }
    }
    return slots;
}

/// Distributes shards over data centres in proportion to their slots, interleaved (smooth weighted round
/// robin).
wire::ServiceHomes spread_shards(const std::string& service, std::uint32_t shards,
                                 const std::map<std::string, std::uint32_t>& slots) {
    wire::ServiceHomes result;
    result.service_name = service;
    std::vector<double> credit;
    std::vector<double> weight;
    double total = 0;
    for (const auto& [data_center, count] : slots) {
        result.data_centers.push_back(data_center);
        weight.push_back(count);
        credit.push_back(0);
        total += count;
    }
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        for (std::size_t n = 0; n < credit.size(); ++n) {
            credit[n] += weight[n] / total;
        }
        const auto best = std::max_element(credit.begin(), credit.end()) - credit.begin();
        credit[static_cast<std::size_t>(best)] -= 1;
        result.homes.push_back(static_cast<std::int16_t>(best));
    }
    return result;
}

} // namespace

void global_tier::run_leader_duties(time_point now) {
    std::erase_if(ungrouped_, [now](const auto& it) { return now - it.second.last > report_lifetime; });
    if (!proposal_in_progress_) {
        form_groups(now);
        propose_placements(now);
    }
    replace_voters(now);
}

void global_tier::record_ungrouped(const wire::StateRequest& request, time_point now) {
    auto& report = ungrouped_[request.sender.name];
    const auto generation = static_cast<std::uint64_t>(request.generation);
    if (report.instance.incarnation != static_cast<std::uint64_t>(request.sender.incarnation) ||
        report.generation != generation) {
        report.since = now;
    }
    report.instance = from_wire(request.sender);
    report.generation = generation;
    report.data_center_size = static_cast<std::size_t>(std::max(1, request.data_center_size));
    report.last = now;
}

void global_tier::form_groups(time_point now) {
    std::set<std::string> data_centers;
    for (const auto& [name, it] : ungrouped_) {
        data_centers.insert(it.instance.data_center);
    }
    for (const auto& data_center : data_centers) {
        if (auto formation = formation_for(data_center, now)) {
            spdlog::info("forming data centre group data_center={} generation={}", data_center,
                         formation->generation);
            proposal_in_progress_ = true;
            group_->propose(encode_formation(*formation),
                            [this](const auto&) { proposal_in_progress_ = false; });
            return;
        }
    }
}

std::optional<wire::GroupFormation> global_tier::formation_for(const std::string& data_center,
                                                               time_point now) const {
    const auto current = known_.formations.find(data_center);
    const std::int64_t generation = current == known_.formations.end() ? 0 : current->second.generation;
    wire::GroupFormation formation;
    formation.data_center = data_center;
    formation.generation = generation + 1;
    std::size_t reports = 0;
    std::size_t size = 1;
    for (const auto& [name, it] : ungrouped_) {
        // An instance that does not know the current generation yet may still join it.
        if (it.instance.data_center != data_center ||
            it.generation != static_cast<std::uint64_t>(generation)) {
            continue;
        }
        if (generation > 0 && now - it.since < reformation_wait) {
            continue;
        }
        ++reports;
        size = std::max(size, it.data_center_size);
        if (formation.voters.size() < data_center_voters) {
            wire::Member voter;
            voter.name = name;
            voter.incarnation = static_cast<std::int64_t>(it.instance.incarnation);
            formation.voters.push_back(std::move(voter));
        }
    }
    // The first formation waits for as many instances as the group has voters, so that it starts complete.
    const bool enough = generation == 0 ? reports >= std::min(size, data_center_voters) : reports > size / 2;
    return enough ? std::optional(std::move(formation)) : std::nullopt;
}

void global_tier::propose_placements(time_point now) {
    if (known_.profiles.empty()) {
        return;
    }
    for (const auto& accepted : profile::store::decode(known_.profiles).all()) {
        for (const auto& service : profile::parse_profile(accepted.name, accepted.content).services) {
            if (known_.homes.count(service.name) != 0) {
                continue;
            }
            const auto slots = slots_by_data_center(machine_.mirrors(), service.name);
            if (slots.empty()) {
                continue;
            }
            const auto first_seen = service_first_seen_.emplace(service.name, now).first->second;
            if (now - first_seen < placement_wait) {
                continue;
            }
            spdlog::info("placing shards service={} data_centers={}", service.name, slots.size());
            proposal_in_progress_ = true;
            group_->propose(encode_placement(spread_shards(service.name, service.shards, slots)),
                            [this](const auto&) { proposal_in_progress_ = false; });
            return;
        }
    }
}

bool global_tier::voter_missing(const consensus::replacement_view& view, std::size_t wanted,
                                time_point now) const {
    const auto reachable = std::count_if(view.statuses.begin(), view.statuses.end(), [&](const auto& it) {
        const auto& voters = view.members.voters;
        return now - it.last_contact < report_lifetime &&
               std::find(voters.begin(), voters.end(), it.member) != voters.end();
    });
    return static_cast<std::size_t>(reachable) < wanted;
}

void global_tier::poll_durable_instances(time_point now) {
    if (now < next_durable_poll_) {
        return;
    }
    next_durable_poll_ = now + durable_poll_interval;
    for (const auto& [name, it] : shared_.instances) {
        wire::VoterStatusRequest request;
        request.sender = shared_.settings.name;
        shared_.link_to(name)->request(
            {transport::frame_type::voter_status_request, 0, transport::encode(request)},
            durable_poll_interval, [this, name = name](const transport::reply& reply) {
                if (!reply.answer) {
                    return;
                }
                const auto status = transport::decode<wire::VoterStatusReply>(reply.answer->payload);
                if (status.identity != 0) {
                    durable_instances_[name] = {{name, static_cast<std::uint64_t>(status.identity)},
                                                steady_now()};
                }
            });
    }
}

std::vector<consensus::member_id> global_tier::durable_spares(time_point now) const {
    // An instance with the name of a voter but another identity has lost its disk; it is preferred, to take
    // its own place again.
    const auto& voters = group_->node().members().voters;
    const auto has_voter_name = [&](const consensus::member_id& id) {
        return std::any_of(voters.begin(), voters.end(), [&](const auto& it) { return it.name == id.name; });
    };
    std::vector<consensus::member_id> spares;
    for (const auto& [name, it] : durable_instances_) {
        if (now - it.second < report_lifetime) {
            spares.push_back(it.first);
        }
    }
    std::stable_partition(spares.begin(), spares.end(), has_voter_name);
    return spares;
}

void global_tier::replace_voters(time_point now) {
    consensus::replacement_options options;
    options.voters = std::max<std::size_t>(1, shared_.settings.global_voters.size());
    auto view = consensus::replacement_view_of(group_->node(), group_->self(), {}, now);
    if (voter_missing(view, options.voters, now)) {
        poll_durable_instances(now);
        view.spares = durable_spares(now);
    }
    if (const auto change = consensus::replacement_policy(options).next(view, now)) {
        spdlog::info("changing global voters member={} change={}", change->member.name,
                     static_cast<int>(change->kind));
        group_->change_membership(*change);
    }
}

} // namespace kingcupseam::app
