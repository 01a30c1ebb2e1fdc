#include <kingcupseam/config.h>
#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <toml.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <set>
#include <sstream>

namespace kingcupseam::config {

namespace {

void check_size(const std::string& source, std::string_view text) {
    if (text.size() > max_text_bytes) {
        throw invalid_input(source, "text", "must be at most " + std::to_string(max_text_bytes) + " bytes");
    }
    std::size_t depth = 0;
    for (const char c : text) {
        if (c == '[' || c == '{') {
            ++depth;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        if (depth > max_nesting) {
            throw invalid_input(source, "text", "nests brackets deeper than " + std::to_string(max_nesting));
        }
    }
}

/// The parser accepts malformed UTF-8 and some control characters, which would break the JSON responses and
/// log lines that quote the text.
void check_characters(const std::string& source, std::string_view text) {
    std::size_t line = 1;
    while (!text.empty()) {
        const std::size_t n = utf8_length(text);
        const auto c = static_cast<unsigned char>(text[0]);
        const bool control = (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
        if (n == 0 || control) {
            throw invalid_input(source, "line " + std::to_string(line),
                                n == 0 ? "is not UTF-8" : "has a control character");
        }
        line += c == '\n' ? 1 : 0;
        text.remove_prefix(n);
    }
}

/// First line of a parser message. The other lines quote the file.
std::string first_line(const std::string& message) {
    std::string line = message.substr(0, message.find('\n'));
    constexpr std::string_view prefix = "[error] ";
    return line.rfind(prefix, 0) == 0 ? line.substr(prefix.size()) : line;
}

toml::value parse_toml(const std::string& source, std::string_view text) {
    check_size(source, text);
    check_characters(source, text);
    std::istringstream in{std::string(text)};
    try {
        return toml::parse(in, source);
    } catch (const toml::exception& e) {
        throw invalid_input(source, "line " + std::to_string(e.location().line()), first_line(e.what()));
    } catch (const std::exception& e) {
        // The parser reports some malformed numbers and characters as standard exceptions.
        throw invalid_input(source, "text", first_line(e.what()));
    }
}

std::size_t edit_distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row[b.size()];
}

std::string most_similar(const std::string& key, const std::set<std::string>& known) {
    const auto more_similar = [&](const std::string& a, const std::string& b) {
        return edit_distance(key, a) < edit_distance(key, b);
    };
    const auto it = std::min_element(known.begin(), known.end(), more_similar);
    return it == known.end() ? "" : *it;
}

std::string format_number(double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%g", value);
    return buf.data();
}

/// Truncates a key from the file and replaces its control characters, so that it fits into one log line.
std::string printable(const std::string& key) {
    std::string result = key.substr(0, 64);
    std::replace_if(
        result.begin(), result.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return result;
}

} // namespace

struct table::state {
    std::string source;
    std::string prefix; ///< dotted path of the table with a trailing dot; empty for the root
    toml::table values;
    std::set<std::string> known_keys;

    const toml::value* find(const std::string& key) {
        known_keys.insert(key);
        const auto it = values.find(key);
        return it == values.end() ? nullptr : &it->second;
    }
};

table table::parse(const std::string& source, std::string_view text) {
    auto root = std::make_shared<state>();
    root->source = source;
    root->values = parse_toml(source, text).as_table();
    return table(std::move(root));
}

std::string table::path(const std::string& key) const {
    return state_->prefix + printable(key);
}

const std::string& table::source() const noexcept {
    return state_->source;
}

void table::fail(const std::string& key, const std::string& problem) const {
    throw invalid_input(state_->source, path(key), problem);
}

bool table::has(const std::string& key) const {
    return state_->find(key) != nullptr;
}

std::string table::string(const std::string& key, std::size_t min_length, std::size_t max_length,
                          const std::optional<std::string>& fallback) const {
    const toml::value* const found = state_->find(key);
    const std::string range =
        "must be a text of " + std::to_string(min_length) + " to " + std::to_string(max_length) + " bytes";
    if (found == nullptr) {
        return fallback ? *fallback : (fail(key, "is missing; " + range), std::string());
    }
    if (!found->is_string() || found->as_string().str.size() < min_length ||
        found->as_string().str.size() > max_length) {
        fail(key, range);
    }
    return found->as_string().str;
}

std::int64_t table::integer(const std::string& key, std::int64_t min, std::int64_t max,
                            std::optional<std::int64_t> fallback) const {
    const toml::value* const found = state_->find(key);
    const std::string range = "must be an integer of " + std::to_string(min) + " to " + std::to_string(max);
    if (found == nullptr) {
        return fallback ? *fallback : (fail(key, "is missing; " + range), 0);
    }
    if (!found->is_integer() || found->as_integer() < min || found->as_integer() > max) {
        fail(key, range);
    }
    return found->as_integer();
}

double table::real(const std::string& key, double min, double max, std::optional<double> fallback) const {
    const toml::value* const found = state_->find(key);
    const std::string range = "must be a number of " + format_number(min) + " to " + format_number(max);
    if (found == nullptr) {
        return fallback ? *fallback : (fail(key, "is missing; " + range), 0.0);
    }
    if (!found->is_floating() && !found->is_integer()) {
        fail(key, range);
    }
    const double value =
        found->is_integer() ? static_cast<double>(found->as_integer()) : found->as_floating();
    if (std::isnan(value) || value < min || value > max) {
        fail(key, range);
    }
    return value;
}

bool table::boolean(const std::string& key, bool fallback) const {
    const toml::value* const found = state_->find(key);
    if (found != nullptr && !found->is_boolean()) {
        fail(key, "must be true or false");
    }
    return found == nullptr ? fallback : found->as_boolean();
}

duration table::milliseconds(const std::string& key, std::int64_t min, std::int64_t max,
                             std::optional<duration> fallback) const {
    using unit = std::chrono::milliseconds;
    const auto count = fallback ? std::optional(std::chrono::duration_cast<unit>(*fallback).count())
                                : std::optional<std::int64_t>();
    return unit(integer(key, min, max, count));
}

duration table::seconds(const std::string& key, std::int64_t min, std::int64_t max,
                        std::optional<duration> fallback) const {
    using unit = std::chrono::seconds;
    const auto count = fallback
                           ? std::optional<std::int64_t>(std::chrono::duration_cast<unit>(*fallback).count())
                           : std::optional<std::int64_t>();
    return unit(integer(key, min, max, count));
}

std::size_t table::choice(const std::string& key, const std::vector<std::string>& allowed,
                          std::optional<std::size_t> fallback) const {
    const toml::value* const found = state_->find(key);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    if (found != nullptr && found->is_string()) {
        const auto it = std::find(allowed.begin(), allowed.end(), found->as_string().str);
        if (it != allowed.end()) {
            return static_cast<std::size_t>(it - allowed.begin());
        }
    }
    std::string list;
    for (const auto& it : allowed) {
        list += (list.empty() ? "" : ", ") + it;
    }
    fail(key, (found == nullptr ? "is missing; must be one of " : "must be one of ") + list);
}

std::vector<std::string> table::strings(const std::string& key) const {
    const toml::value* const found = state_->find(key);
    std::vector<std::string> result;
    if (found == nullptr) {
        return result;
    }
    if (!found->is_array()) {
        fail(key, "must be a list of texts");
    }
    for (const auto& it : found->as_array()) {
        if (!it.is_string()) {
            fail(key, "must be a list of texts");
        }
        result.push_back(it.as_string().str);
    }
    return result;
}

std::vector<table> table::tables(const std::string& key) const {
    const toml::value* const found = state_->find(key);
    std::vector<table> result;
    if (found == nullptr) {
        return result;
    }
    if (!found->is_array()) {
        fail(key, "must be a list of tables");
    }
    for (const auto& it : found->as_array()) {
        if (!it.is_table()) {
            fail(key, "must be a list of tables");
        }
        const std::string prefix = path(key) + "[" + std::to_string(result.size()) + "].";
        result.push_back(table(std::make_shared<state>(state{state_->source, prefix, it.as_table(), {}})));
    }
    return result;
}

std::optional<table> table::subtable(const std::string& key) const {
    const toml::value* const found = state_->find(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_table()) {
        fail(key, "must be a table");
    }
    return table(std::make_shared<state>(state{state_->source, path(key) + ".", found->as_table(), {}}));
}

std::vector<std::string> table::keys() const {
    std::vector<std::string> result;
    for (const auto& [key, value] : state_->values) {
        state_->known_keys.insert(key);
        result.push_back(key);
    }
    std::sort(result.begin(), result.end());
    return result;
}

void table::reject_unknown_keys() const {
    // The table is unordered. Reporting the smallest unknown key makes the message deterministic.
    std::set<std::string> unknown;
    for (const auto& [key, value] : state_->values) {
        if (!state_->known_keys.contains(key)) {
            unknown.insert(key);
        }
    }
    if (!unknown.empty()) {
        const std::string suggestion = most_similar(*unknown.begin(), state_->known_keys);
        fail(*unknown.begin(), "is not a known key; the nearest known key is " + suggestion);
    }
}

} // namespace kingcupseam::config
