#include "app/load_report.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr std::array<const char*, rank_count> rank_colours{"#c0392b", "#2471a3", "#7d8a2e"};
constexpr double chart_width_px = 900;
constexpr double chart_height_px = 240;
constexpr double margin_px = 50;

using time_series = std::vector<double>;

double quantile_ms(std::vector<std::uint32_t> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n] / 1000.0;
}

time_series p99_latency_ms(const rank_results& it) {
    time_series result;
    for (const auto& second : it.seconds) {
        result.push_back(quantile_ms(second.latencies, 0.99));
    }
    return result;
}

time_series answered_percent(const rank_results& it) {
    time_series result;
    for (const auto& second : it.seconds) {
        const auto answered = static_cast<double>(second.latencies.size());
        result.push_back(second.sent == 0 ? 100 : 100 * answered / static_cast<double>(second.sent));
    }
    return result;
}

std::string grid_and_axis_labels(double top, std::size_t seconds) {
    std::string out;
    for (int n = 0; n <= 4; ++n) {
        const double y = margin_px + chart_height_px * (4 - n) / 4;
        out += fmt::format("<line x1='{}' y1='{:.1f}' x2='{}' y2='{:.1f}' stroke='#ddd'/>"
                           "<text x='{}' y='{:.1f}' text-anchor='end'>{:.4g}</text>",
                           margin_px, y, margin_px + chart_width_px, y, margin_px - 6, y + 4, top * n / 4);
        out += fmt::format("<text x='{:.1f}' y='{}' text-anchor='middle'>{:.4g} s</text>",
                           margin_px + chart_width_px * n / 4, margin_px + chart_height_px + 18,
                           static_cast<double>(seconds) * n / 4);
    }
    return out;
}

std::string polyline(const time_series& values, double top, std::size_t seconds, const char* colour) {
    std::string points;
    for (std::size_t n = 0; n < values.size(); ++n) {
        const double x =
            margin_px + chart_width_px * (static_cast<double>(n) + 0.5) / static_cast<double>(seconds);
        const double y = margin_px + chart_height_px * (1 - std::min(values[n], top) / top);
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    return fmt::format("<polyline fill='none' stroke='{}' stroke-width='1.5' points='{}'/>", colour, points);
}

std::string line_chart(const std::string& title, const std::array<time_series, rank_count>& lines,
                       double top) {
    std::size_t seconds = 1;
    for (const auto& it : lines) {
        seconds = std::max(seconds, it.size());
    }
    std::string out =
        fmt::format("<h2>{}</h2><svg viewBox='0 0 {} {}' width='{}' role='img' aria-label='{}'>", title,
                    chart_width_px + 2 * margin_px, chart_height_px + 2 * margin_px,
                    chart_width_px + 2 * margin_px, title);
    out += grid_and_axis_labels(top, seconds);
    for (const rank priority : all_ranks) {
        const auto n = static_cast<std::size_t>(priority);
        out += polyline(lines.at(n), top, seconds, rank_colours.at(n));
        out +=
            fmt::format("<text x='{}' y='20' fill='{}'>{}</text>", margin_px + 110.0 * static_cast<double>(n),
                        rank_colours.at(n), to_string(priority));
    }
    return out + "</svg>\n";
}

/// At least 1, since the chart divides by it.
double max_value(const std::array<time_series, rank_count>& lines) {
    double result = 1;
    for (const auto& it : lines) {
        result = it.empty() ? result : std::max(result, *std::max_element(it.begin(), it.end()));
    }
    return result;
}

std::string escape_html(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

} // namespace

std::string format_html_report(const load_options& settings, const load_results& results) {
    std::array<time_series, rank_count> latency;
    std::array<time_series, rank_count> answered_shares;
    for (std::size_t n = 0; n < rank_count; ++n) {
        latency.at(n) = p99_latency_ms(results.ranks.at(n));
        answered_shares.at(n) = answered_percent(results.ranks.at(n));
    }
    std::string out =
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>Load report</title><style>"
        "body{font:14px sans-serif;margin:2em}svg text{font:12px sans-serif}</style></head><body>";
    out += fmt::format("<h1>Load report: {}</h1><p>{:.0f} s measured, seed {}</p>", settings.firm,
                       results.measured_seconds, settings.seed);
    out += "<pre>" + escape_html(format_table_report(results)) + "</pre>";
    out += line_chart("Latency, 99th percentile per second, ms", latency, max_value(latency));
    out += line_chart("Requests answered correctly, percent of each second", answered_shares, 100);
    return out + "</body></html>\n";
}

} // namespace kingcupseam::app
