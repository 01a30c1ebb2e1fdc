#include "app/load_report.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr std::array<const char*, rank_count> colours{"#c0392b", "#2471a3", "#7d8a2e"};
constexpr double chart_width = 900;
constexpr double chart_height = 240;
constexpr double margin = 50;

using series = std::vector<double>;

double quantile_ms(std::vector<std::uint32_t> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n] / 1000.0;
}

series latency_series(const rank_results& it) {
    series result;
    for (const auto& second : it.seconds) {
        result.push_back(quantile_ms(second.latencies, 0.99));
    }
    return result;
}

series service_series(const rank_results& it) {
    series result;
    for (const auto& second : it.seconds) {
        const auto answered = static_cast<double>(second.latencies.size());
        result.push_back(second.sent == 0 ? 100 : 100 * answered / static_cast<double>(second.sent));
    }
    return result;
}

std::string axis_labels(double top, std::size_t seconds) {
    std::string out;
    for (int n = 0; n <= 4; ++n) {
        const double y = margin + chart_height * (4 - n) / 4;
        out += fmt::format("<line x1='{}' y1='{:.1f}' x2='{}' y2='{:.1f}' stroke='#ddd'/>"
                           "<text x='{}' y='{:.1f}' text-anchor='end'>{:.4g}</text>",
                           margin, y, margin + chart_width, y, margin - 6, y + 4, top * n / 4);
        out += fmt::format("<text x='{:.1f}' y='{}' text-anchor='middle'>{:.4g} s</text>",
                           margin + chart_width * n / 4, margin + chart_height + 18,
                           static_cast<double>(seconds) * n / 4);
    }
    return out;
}

std::string line(const series& values, double top, std::size_t seconds, const char* colour) {
    std::string points;
    for (std::size_t n = 0; n < values.size(); ++n) {
        const double x = margin + chart_width * (static_cast<double>(n) + 0.5) / static_cast<double>(seconds);
        const double y = margin + chart_height * (1 - std::min(values[n], top) / top);
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    return fmt::format("<polyline fill='none' stroke='{}' stroke-width='1.5' points='{}'/>", colour, points);
}

std::string chart(const std::string& title, const std::array<series, rank_count>& lines, double top) {
    std::size_t seconds = 1;
    for (const auto& it : lines) {
        seconds = std::max(seconds, it.size());
    }
    std::string out =
        fmt::format("<h2>{}</h2><svg viewBox='0 0 {} {}' width='{}' role='img' aria-label='{}'>", title,
                    chart_width + 2 * margin, chart_height + 2 * margin, chart_width + 2 * margin, title);
    out += axis_labels(top, seconds);
    for (const rank priority : all_ranks) {
        const auto n = static_cast<std::size_t>(priority);
        out += line(lines.at(n), top, seconds, colours.at(n));
        out += fmt::format("<text x='{}' y='20' fill='{}'>{}</text>", margin + 110.0 * static_cast<double>(n),
                           colours.at(n), to_string(priority));
    }
    return out + "</svg>\n";
}

double highest(const std::array<series, rank_count>& lines) {
    double result = 1;
    for (const auto& it : lines) {
        result = it.empty() ? result : std::max(result, *std::max_element(it.begin(), it.end()));
    }
    return result;
}

std::string escaped(const std::string& text) {
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
    std::array<series, rank_count> latency;
    std::array<series, rank_count> service;
    for (std::size_t n = 0; n < rank_count; ++n) {
        latency.at(n) = latency_series(results.ranks.at(n));
        service.at(n) = service_series(results.ranks.at(n));
    }
    std::string out =
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>Load report</title><style>"
        "body{font:14px sans-serif;margin:2em}svg text{font:12px sans-serif}</style></head><body>";
    out += fmt::format("<h1>Load report: {}</h1><p>{:.0f} s measured, seed {}</p>", settings.firm,
                       results.measured_seconds, settings.seed);
    out += "<pre>" + escaped(format_table_report(results)) + "</pre>";
    out += chart("Latency, 99th percentile per second, ms", latency, highest(latency));
    out += chart("Requests answered once and correctly, per cent of each second", service, 100);
    return out + "</body></html>\n";
}

} // namespace kingcupseam::app
