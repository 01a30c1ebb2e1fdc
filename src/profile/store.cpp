#include "profile/pattern.h"

#include <kingcupseam/error.h>
#include <kingcupseam/wire.h>

#include <profile_types.h>
#include <xxhash.h>

#include <algorithm>

namespace kingcupseam::profile {

namespace {

constexpr std::size_t max_change_id_bytes = 64;
// A remembered conflict includes the content that won; this limit bounds their size in the snapshot. A change
// that is forgotten early gets a conflict when it is resent, since its base version is no longer current.
constexpr std::size_t max_recent_bytes = 8'388'608;
constexpr std::size_t max_distinct_services = 4096; // including services that were removed since

bool valid_change_id(const std::string& id) {
    return !id.empty() && id.size() <= max_change_id_bytes &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::uint64_t digest_of(const change& proposed) {
    const std::string bytes = encode(proposed);
    return XXH3_64bits(bytes.data(), bytes.size());
}

change_result invalid_result(const std::string& problem) {
    return {change_status::invalid, {}, problem};
}

wire::AcceptedProfile to_wire(const accepted_profile& value) {
    wire::AcceptedProfile result;
    result.name = value.name;
    result.version = static_cast<std::int64_t>(value.version);
    result.content = value.content;
    result.change_id = value.change_id;
    return result;
}

accepted_profile from_wire(const wire::AcceptedProfile& value) {
    return {value.name, static_cast<std::uint64_t>(value.version), value.content, value.change_id};
}

change_status status_of(std::int8_t value) {
    if (value < 0 || value > static_cast<std::int8_t>(change_status::invalid)) {
        throw invalid_input("profile store", "status", "must be 0 to 2");
    }
    return static_cast<change_status>(value);
}

std::shared_ptr<const profile> try_parse(const accepted_profile& source) {
    try {
        return std::make_shared<const profile>(parse_profile(source.name, source.content));
    } catch (const invalid_input&) {
        // The content was valid when it was accepted. A snapshot must stay readable when a later release is
        // stricter; rule_index then reports the reason when the profile is used.
        return nullptr;
    }
}

} // namespace

store::store() = default;

change_result store::apply(const change& proposed) {
    if (!valid_change_id(proposed.change_id)) {
        return invalid_result("change_id must be 1 to 64 visible ASCII characters");
    }
    const std::uint64_t digest = digest_of(proposed);
    for (const auto& it : recent_) {
        if (it.change_id != proposed.change_id) {
            continue;
        }
        if (it.digest != digest) {
            return invalid_result("change_id was already used for another change");
        }
        change_result result = it.result;
        if (result.status == change_status::accepted) {
            result.in_force.content = proposed.content;
        }
        return result;
    }
    change_result result = decide(proposed);
    if (result.status == change_status::accepted) {
        const auto parsed = try_parse(result.in_force);
        for (const auto& it : parsed->services) {
            shard_counts_.emplace(it.name, it.shards);
        }
        profiles_[proposed.name] = {result.in_force, parsed};
    }
    remember(proposed, result);
    return result;
}

change_result store::decide(const change& proposed) const {
    const auto it = profiles_.find(proposed.name);
    const std::uint64_t version = it == profiles_.end() ? 0 : it->second.accepted.version;
    if (proposed.base_version != version) {
        accepted_profile in_force = it == profiles_.end() ? accepted_profile{} : it->second.accepted;
        return {change_status::conflict, std::move(in_force), "base_version is not the version in force"};
    }
    try {
        check_against_others(proposed.name, parse_profile(proposed.name, proposed.content));
    } catch (const invalid_input& e) {
        return invalid_result(e.what());
    }
    return {change_status::accepted, {proposed.name, version + 1, proposed.content, proposed.change_id}, ""};
}

void store::check_against_others(const std::string& name, const profile& proposed) const {
    if (proposed.name != name) {
        throw invalid_input(name, "name", "must be the name under which the profile is accepted");
    }
    std::size_t others = 0;
    for (const auto& [other_name, other] : profiles_) {
        if (other_name == name) {
            continue;
        }
        ++others;
        for (const auto& other_service : other.parsed ? other.parsed->services : std::vector<service>{}) {
            for (const auto& own_service : proposed.services) {
                if (other_service.name == own_service.name) {
                    throw invalid_input(proposed.name, own_service.name,
                                        "is already a service of profile " + other_name);
                }
                check_disjoint(proposed.name, other_service, own_service);
            }
        }
    }
    if (others >= max_profiles) {
        throw invalid_input(proposed.name, "name", "there are already 64 profiles");
    }
    std::size_t new_services = 0;
    for (const auto& it : proposed.services) {
        const auto known = shard_counts_.find(it.name);
        new_services += known == shard_counts_.end() ? 1 : 0;
        if (known != shard_counts_.end() && known->second != it.shards) {
            throw invalid_input(proposed.name, it.name + ".shards",
                                "is fixed at " + std::to_string(known->second) +
                                    " since the service was first accepted");
        }
    }
    if (shard_counts_.size() + new_services > max_distinct_services) {
        throw invalid_input(proposed.name, "services", "the system has had 4096 services already");
    }
}

void store::remember(const change& proposed, const change_result& result) {
    remembered_change kept{proposed.change_id, digest_of(proposed), result};
    if (result.status == change_status::accepted) {
        kept.result.in_force.content.clear();
    }
    recent_bytes_ += kept.result.in_force.content.size();
    recent_.push_back(std::move(kept));
    while (recent_.size() > max_remembered_changes || recent_bytes_ > max_recent_bytes) {
        recent_bytes_ -= recent_.front().result.in_force.content.size();
        recent_.pop_front();
    }
}

std::vector<accepted_profile> store::all() const {
    std::vector<accepted_profile> result;
    result.reserve(profiles_.size());
    for (const auto& [name, it] : profiles_) {
        result.push_back(it.accepted);
    }
    return result;
}

std::optional<accepted_profile> store::find(const std::string& name) const {
    const auto it = profiles_.find(name);
    return it == profiles_.end() ? std::nullopt : std::optional(it->second.accepted);
}

std::string store::encode() const {
    wire::ProfileStore out;
    for (const auto& [name, it] : profiles_) {
        out.profiles.push_back(to_wire(it.accepted));
    }
    for (const auto& [name, shards] : shard_counts_) {
        auto& count = out.shard_counts.emplace_back();
        count.service_name = name;
        count.shards = static_cast<std::int32_t>(shards);
    }
    for (const auto& it : recent_) {
        auto& kept = out.recent.emplace_back();
        kept.change_id = it.change_id;
        kept.digest = static_cast<std::int64_t>(it.digest);
        kept.status = static_cast<std::int8_t>(it.result.status);
        kept.in_force = to_wire(it.result.in_force);
        kept.problem = it.result.problem;
    }
    return wire::to_bytes(out);
}

store store::decode(const std::string& bytes) {
    const auto in = wire::parse_exact<wire::ProfileStore>("profile store", bytes);
    store result;
    for (const auto& it : in.profiles) {
        const auto accepted = from_wire(it);
        result.profiles_[it.name] = {accepted, try_parse(accepted)};
    }
    for (const auto& it : in.shard_counts) {
        result.shard_counts_[it.service_name] = static_cast<std::uint32_t>(it.shards);
    }
    for (const auto& it : in.recent) {
        result.recent_.push_back({it.change_id,
                                  static_cast<std::uint64_t>(it.digest),
                                  {status_of(it.status), from_wire(it.in_force), it.problem}});
        result.recent_bytes_ += it.in_force.content.size();
    }
    return result;
}

std::string encode(const change& proposed) {
    wire::ProfileChange out;
    out.name = proposed.name;
    out.base_version = static_cast<std::int64_t>(proposed.base_version);
    out.change_id = proposed.change_id;
    out.content = proposed.content;
    return wire::to_bytes(out);
}

change decode_change(const std::string& bytes) {
    const auto in = wire::parse_exact<wire::ProfileChange>("profile change", bytes);
    return {in.name, static_cast<std::uint64_t>(in.base_version), in.change_id, in.content};
}

} // namespace kingcupseam::profile
