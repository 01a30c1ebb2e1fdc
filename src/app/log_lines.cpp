#include "app/log_lines.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>

namespace kingcupseam::app {

namespace {

std::optional<log_line::timestamp> parse_time(const std::string& text) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hours = 0;
    int minutes = 0;
    int seconds = 0;
    int ms = 0;
    constexpr int part_count = 7;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%d", &year, &month, &day, &hours, &minutes, &seconds,
                    &ms) != part_count) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    return std::chrono::sys_days(date) + std::chrono::hours(hours) + std::chrono::minutes(minutes) +
           std::chrono::seconds(seconds) + std::chrono::milliseconds(ms);
}

/// Removes the next word from @p rest and returns it without quotes. Quoted spaces do not end a word.
std::string take_word(std::string_view& rest) {
    std::string word;
    bool quoted = false;
    std::size_t n = 0;
    for (; n < rest.size() && (quoted || rest[n] != ' '); ++n) {
        if (rest[n] == '"') {
            quoted = !quoted;
        } else {
            word.push_back(rest[n]);
        }
    }
    rest.remove_prefix(std::min(n + 1, rest.size()));
    return word;
}

/// Splits the message into its event and its fields.
void parse_message(log_line& line) {
    std::string_view rest = line.message;
    while (!rest.empty()) {
        const std::string word = take_word(rest);
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            line.fields.emplace(word.substr(0, equals), word.substr(equals + 1));
        } else if (line.fields.empty() && !word.empty()) {
            line.event += (line.event.empty() ? "" : " ") + word;
        }
    }
}

} // namespace

std::string log_line::field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<log_line> parse_log_line(std::string_view text) {
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto object = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto string_value = [&](const char* key) {
        const auto it = object.find(key);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    const auto time = parse_time(string_value("time"));
    if (!time) {
        return std::nullopt;
    }
    log_line result{*time, string_value("level"), string_value("process"), string_value("message"), {}, {}};
    parse_message(result);
    return result;
}

std::string format_time_of_day(log_line::timestamp time) {
    const std::chrono::hh_mm_ss parts(time - std::chrono::floor<std::chrono::days>(time));
    return fmt::format("{:02}:{:02}:{:02}.{:03}", parts.hours().count(), parts.minutes().count(),
                       parts.seconds().count(), parts.subseconds().count());
}

} // namespace kingcupseam::app
