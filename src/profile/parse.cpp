#include "profile/pattern.h"

#include <kingcupseam/config.h>
#include <kingcupseam/error.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace kingcupseam::profile {

namespace {

using config::table;

constexpr std::size_t max_services_per_profile = 16;
constexpr std::size_t max_rules_per_service = 64;
// Urgent requests are served first. The capacity outside the guaranteed shares is what they can rely on
// during a flood.
constexpr double max_share_sum = 0.9;

const std::vector<std::string>& allowed_methods() {
    static const std::vector<std::string> names{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    return names;
}

std::string read_name(const table& input, const std::string& key) {
    std::string name = input.string(key, 1, 64);
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    if (!std::all_of(name.begin(), name.end(), allowed)) {
        input.fail(key, "must consist of [A-Za-z0-9._-]");
    }
    return name;
}

bool is_valid_literal(std::string_view segment) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 ||
               std::string_view("-._~!$&'()*+,;=:@").find(static_cast<char>(c)) != std::string_view::npos;
    };
    return !segment.empty() && segment != "." && segment != ".." &&
           std::all_of(segment.begin(), segment.end(), allowed);
}

std::string read_path(const table& input) {
    std::string path = input.string("path", 2, 512);
    const segment_list segments = split_path(path);
    if (segments.count == 0) {
        input.fail("path",
                   "must start with / and have at most " + std::to_string(max_segments) + " segments");
    }
    std::size_t key_count = 0;
    for (std::size_t n = 0; n < segments.count; ++n) {
        const std::string_view it = segments.items[n];
        key_count += it == key_placeholder ? 1 : 0;
        if (!is_placeholder(it) && !is_valid_literal(it)) {
            input.fail("path", "a segment must be {key}, {any} or unescaped path characters");
        }
    }
    if (key_count != 1) {
        input.fail("path", "must have exactly one {key}");
    }
    return path;
}

rule read_rule(const table& input) {
    rule result;
    result.method = allowed_methods()[input.choice("method", allowed_methods())];
    result.path = read_path(input);
    result.priority = static_cast<rank>(input.choice("rank", {"urgent", "standard", "deferrable"}));
    result.runs = static_cast<execution>(input.choice("runs", {"idempotent", "at-most-once"}));
    result.deadline = input.milliseconds("deadline_ms", 1, 60'000, result.deadline);
    result.max_body_bytes = static_cast<std::size_t>(
        input.integer("max_body_bytes", 0, 1'048'576, static_cast<std::int64_t>(result.max_body_bytes)));
    input.reject_unknown_keys();
    return result;
}

service read_service(const table& input) {
    service result;
    result.name = read_name(input, "name");
    result.shards =
        static_cast<std::uint32_t>(input.integer("shards", 1, 65'536, std::int64_t{result.shards}));
    const auto rules = input.tables("rules");
    if (rules.empty() || rules.size() > max_rules_per_service) {
        input.fail("rules", "must have 1 to " + std::to_string(max_rules_per_service) + " entries");
    }
    for (const auto& it : rules) {
        result.rules.push_back(read_rule(it));
    }
    input.reject_unknown_keys();
    return result;
}

std::vector<service> read_services(const table& root) {
    const auto entries = root.tables("services");
    if (entries.empty() || entries.size() > max_services_per_profile) {
        root.fail("services", "must have 1 to " + std::to_string(max_services_per_profile) + " entries");
    }
    std::vector<service> result;
    std::set<std::string> names;
    for (const auto& it : entries) {
        result.push_back(read_service(it));
        if (!names.insert(result.back().name).second) {
            it.fail("name", "is used by two services");
        }
    }
    return result;
}

void check_rules(const std::string& source, const std::vector<service>& services) {
    for (std::size_t a = 0; a < services.size(); ++a) {
        for (std::size_t b = a; b < services.size(); ++b) {
            check_disjoint(source, services[a], services[b]);
        }
    }
}

rank_settings read_rank(const table& input) {
    rank_settings result;
    result.guaranteed_share = input.real("guaranteed_share", 0, max_share_sum, result.guaranteed_share);
    result.max_waiting =
        static_cast<std::uint32_t>(input.integer("max_waiting", 1, 65'536, std::int64_t{result.max_waiting}));
    input.reject_unknown_keys();
    return result;
}

void read_ranks(const table& root, profile& result) {
    const auto ranks = root.subtable("ranks");
    if (!ranks) {
        return;
    }
    double sum = 0;
    for (const rank it : all_ranks) {
        if (const auto settings = ranks->subtable(std::string(to_string(it)))) {
            result.ranks[static_cast<std::size_t>(it)] = read_rank(*settings);
        }
        sum += result.ranks[static_cast<std::size_t>(it)].guaranteed_share;
    }
    ranks->reject_unknown_keys();
    // The tolerance covers the rounding of decimal fractions in binary.
    if (sum > max_share_sum + 1e-9) {
        root.fail("ranks", "the guaranteed shares must sum to at most 0.9");
    }
}

void read_retries(const table& root, profile& result) {
    const auto retries = root.subtable("retries");
    if (!retries) {
        return;
    }
    retry_settings& settings = result.retries;
    settings.budget_fraction = retries->real("budget_fraction", 0, 1, settings.budget_fraction);
    settings.max_attempts = static_cast<std::uint32_t>(
        retries->integer("max_attempts", 1, 10, std::int64_t{settings.max_attempts}));
    settings.first_backoff = retries->milliseconds("first_backoff_ms", 1, 10'000, settings.first_backoff);
    settings.max_backoff = retries->milliseconds("max_backoff_ms", 1, 60'000, settings.max_backoff);
    retries->reject_unknown_keys();
    if (settings.first_backoff > settings.max_backoff) {
        retries->fail("first_backoff_ms", "must be at most max_backoff_ms");
    }
}

void check_retention(const table& root, const profile& parsed) {
    for (const auto& it : parsed.services) {
        for (const auto& rule : it.rules) {
            if (rule.runs == execution::at_most_once && rule.deadline > parsed.ledger_retention) {
                root.fail("ledger_retention_s", "must cover the longest deadline of at-most-once work, or a "
                                                "request could outlive its record");
            }
        }
    }
}

} // namespace

profile parse_profile(const std::string& source, const std::string& text) {
    if (text.size() > max_content_bytes) {
        throw invalid_input(source, "text",
                            "must be at most " + std::to_string(max_content_bytes) + " bytes");
    }
    const table root = table::parse(source, text);
    profile result;
    result.name = read_name(root, "name");
    result.ledger_retention = root.seconds("ledger_retention_s", 1, 86'400, result.ledger_retention);
    result.home_hold = root.seconds("home_hold_s", 1, 604'800, result.home_hold);
    read_ranks(root, result);
    read_retries(root, result);
    result.services = read_services(root);
    root.reject_unknown_keys();
    check_rules(source, result.services);
    check_retention(root, result);
    return result;
}

} // namespace kingcupseam::profile
