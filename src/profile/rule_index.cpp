#include "profile/pattern.h"

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <xxhash.h>

#include <unordered_map>

namespace kingcupseam::profile {

namespace {

/// Positions of the literals and placeholders in a path pattern. Rules are indexed by shape, and a request is
/// looked up once for each shape with its number of segments; real profiles have one or two shapes.
struct pattern_shape {
    std::size_t segments = 0;
    std::uint32_t literals = 0; ///< bit n: segment n is a literal
    std::size_t key_position = 0;
    bool operator==(const pattern_shape&) const = default;
};

struct indexed_rule {
    std::uint32_t shape_index = 0;
    const service* owning_service = nullptr;
    const rule* matched_rule = nullptr;
    segment_list segments; ///< views into matched_rule->path
};

pattern_shape shape_of(const segment_list& segments) {
    pattern_shape result{segments.count, 0, 0};
    for (std::size_t n = 0; n < segments.count; ++n) {
        if (segments.items[n] == key_placeholder) {
            result.key_position = n;
        } else if (!is_placeholder(segments.items[n])) {
            result.literals |= 1U << n;
        }
    }
    return result;
}

std::uint64_t hash_of(std::string_view method, const segment_list& segments, const pattern_shape& shape,
                      std::uint32_t shape_index) {
    std::uint64_t hash = XXH3_64bits_withSeed(method.data(), method.size(), shape_index);
    for (std::size_t n = 0; n < shape.segments; ++n) {
        if ((shape.literals >> n & 1U) != 0) {
            hash = XXH3_64bits_withSeed(segments.items[n].data(), segments.items[n].size(), hash);
        }
    }
    return hash;
}

bool literals_equal(const segment_list& request, const indexed_rule& candidate, const pattern_shape& shape) {
    for (std::size_t n = 0; n < shape.segments; ++n) {
        if ((shape.literals >> n & 1U) != 0 && request.items[n] != candidate.segments.items[n]) {
            return false;
        }
    }
    return true;
}

int hex_digit(char c) noexcept {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// nullopt when an escape sequence is malformed.
std::optional<std::string> percent_decode(std::string_view text) {
    std::string result;
    result.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            result.push_back(text[n]);
            continue;
        }
        const int high = n + 2 < text.size() ? hex_digit(text[n + 1]) : -1;
        const int low = n + 2 < text.size() ? hex_digit(text[n + 2]) : -1;
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        result.push_back(static_cast<char>(high * 16 + low));
        n += 2;
    }
    return result;
}

// The key is forwarded to the upstream in a header. Longer keys would exceed the limits of common HTTP
// servers.
constexpr std::size_t max_key_bytes = 1024;

bool is_dot_segment(std::string_view text) noexcept {
    return text == "." || text == "..";
}

bool is_valid_key(const std::string& key) noexcept {
    return key.size() <= max_key_bytes && !is_dot_segment(key) && is_plain_text(key);
}

bool placeholders_match(const segment_list& request, const pattern_shape& shape) {
    for (std::size_t n = 0; n < shape.segments; ++n) {
        const std::string_view it = request.items[n];
        if ((shape.literals >> n & 1U) == 0 && (it.empty() || is_dot_segment(it))) {
            return false;
        }
    }
    return true;
}

} // namespace

struct rule_index::state {
    std::vector<profile> profiles;
    std::map<std::string, const profile*> by_service;
    std::vector<pattern_shape> shapes;
    std::unordered_multimap<std::uint64_t, indexed_rule> rules;

    void check_profiles(const std::vector<accepted_profile>& sources);
    void add(const service& owning_service);
    std::uint32_t index_of(const pattern_shape& shape);
    const indexed_rule* find(std::string_view method, const segment_list& request,
                             std::uint32_t shape_index) const;
};

void rule_index::state::check_profiles(const std::vector<accepted_profile>& sources) {
    for (std::size_t a = 0; a < profiles.size(); ++a) {
        for (const auto& it : profiles[a].services) {
            if (!by_service.emplace(it.name, &profiles[a]).second) {
                throw invalid_input(sources[a].name, it.name, "is a service of two profiles");
            }
            for (std::size_t b = 0; b < a; ++b) {
                for (const auto& other : profiles[b].services) {
                    check_disjoint(sources[a].name, other, it);
                }
            }
        }
    }
}

std::uint32_t rule_index::state::index_of(const pattern_shape& shape) {
    for (std::size_t n = 0; n < shapes.size(); ++n) {
        if (shapes[n] == shape) {
            return static_cast<std::uint32_t>(n);
        }
    }
    shapes.push_back(shape);
    return static_cast<std::uint32_t>(shapes.size() - 1);
}

void rule_index::state::add(const service& owning_service) {
    for (const auto& it : owning_service.rules) {
        indexed_rule entry{0, &owning_service, &it, split_path(it.path)};
        const pattern_shape shape = shape_of(entry.segments);
        entry.shape_index = index_of(shape);
        rules.emplace(hash_of(it.method, entry.segments, shape, entry.shape_index), entry);
    }
}

const indexed_rule* rule_index::state::find(std::string_view method, const segment_list& request,
                                            std::uint32_t shape_index) const {
    const pattern_shape& shape = shapes[shape_index];
    const auto [first, last] = rules.equal_range(hash_of(method, request, shape, shape_index));
    for (auto it = first; it != last; ++it) {
        const indexed_rule& candidate = it->second;
        if (candidate.shape_index == shape_index && candidate.matched_rule->method == method &&
            literals_equal(request, candidate, shape)) {
            return &candidate;
        }
    }
    return nullptr;
}

rule_index::rule_index(const std::vector<accepted_profile>& profiles) {
    auto built = std::make_shared<state>();
    built->profiles.reserve(profiles.size());
    for (const auto& it : profiles) {
        built->profiles.push_back(parse_profile(it.name, it.content));
    }
    built->check_profiles(profiles);
    for (const auto& it : built->profiles) {
        for (const auto& service : it.services) {
            built->add(service);
        }
    }
    state_ = std::move(built);
}

std::optional<match> rule_index::find(std::string_view method, std::string_view path) const {
    const segment_list request = split_path(path);
    for (std::uint32_t n = 0; n < state_->shapes.size(); ++n) {
        const pattern_shape& shape = state_->shapes[n];
        if (shape.segments != request.count || !placeholders_match(request, shape)) {
            continue;
        }
        const indexed_rule* const found = state_->find(method, request, n);
        if (found == nullptr) {
            continue;
        }
        auto key = percent_decode(request.items[shape.key_position]);
        if (!key || !is_valid_key(*key)) {
            return std::nullopt;
        }
        return match{found->owning_service, found->matched_rule, std::move(*key)};
    }
    return std::nullopt;
}

const profile* rule_index::profile_of(const std::string& service) const {
    const auto it = state_->by_service.find(service);
    return it == state_->by_service.end() ? nullptr : it->second;
}

bool rule_index::empty() const noexcept {
    return state_->profiles.empty();
}

} // namespace kingcupseam::profile
